//! Building the services that are configured.

use super::coordinator_loop::CoordinatorParts;
use super::reload::{InventoryReload, PlatformReload, Reload};
use super::service::Service;
use super::shutdown::longest_deadline;
use super::ServerError;
use crate::coordinator::{Coordinator, Input, Metrics};
use crate::front::ogc::config::EdgeConfig;
use crate::front::ogc::cursor::CursorKey;
use crate::front::ogc::{FrontDependencies, OgcFront, SharedCatalog};
use crate::front::platform::{Platform, PlatformCatalog};
use crate::limits::ServerCapacity;
use crate::net::clients::ClientLimits;
use crate::net::config::Config;
use crate::net::feature_client::FeatureClient;
use crate::net::lifecycle::{Lifecycle, StartupPhase};
use crate::net::node_client::NodeClient;
use crate::net::{spawn, watch, LARGE_STACK_WORDS};
use crate::proto::discovery::parse_cached_endpoint_list;
use crate::time::{unix_ms, Clock};
use may::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex};

/// Builds the service that speaks the platform's protocol, and starts to watch discovery.
pub(super) fn platform_service(
    config: &Config,
    clock: Clock,
    metrics: &Arc<Metrics>,
    has_predecessor: bool,
) -> Result<Service, ServerError> {
    let (inbox, arrivals) = channel();
    let revision = load_known_endpoints(config, clock, &inbox);
    let settings = &config.settings;
    let source = watch::DiscoverySource::new(config.discovery, settings.policy.max_poll_interval);
    let lifecycle = Arc::new(Lifecycle::default());
    watch_discovery(config, clock, revision, &source, &inbox, &lifecycle)?;
    let catalog = Arc::new(Mutex::new(PlatformCatalog::new(settings)));
    // In an upgrade both processes have one seed; with the same one they would choose the same servers in step.
    let seed = if has_predecessor {
        config.seed ^ (u64::from(std::process::id()) << 32)
    } else {
        config.seed
    };
    Ok(Service {
        name: config.name.clone(),
        listen: config.listen,
        limits: ClientLimits::new(config.max_descriptors, config.max_memory),
        front: Box::new(Platform::new(catalog.clone())),
        coordinator: CoordinatorParts {
            coordinator: Coordinator::new(
                settings.policy.clone(),
                settings.max_in_flight,
                seed,
                clock.now(),
                metrics.clone(),
            ),
            upstream: Box::new(NodeClient::new(settings, inbox.clone(), clock)),
            arrivals,
            reload: Box::new(PlatformReload::new(
                config,
                source,
                catalog,
                metrics.clone(),
            )),
            longest_deadline: longest_deadline(&settings.policy),
        },
        lifecycle,
        inbox,
    })
}

/// Sends the endpoint list of the configuration to the coordinator and returns its revision, 0 if there is none.
fn load_known_endpoints(config: &Config, clock: Clock, inbox: &Sender<Input>) -> u64 {
    match parse_cached_endpoint_list(&config.known_endpoints, clock.now(), unix_ms()) {
        Ok(known) => {
            let _ = inbox.send(Input::EndpointUpdate(known.update));
            known.revision
        }
        Err(e) => {
            tracing::warn!(error = %e, "cached endpoint list rejected");
            0
        }
    }
}

fn watch_discovery(
    config: &Config,
    clock: Clock,
    revision: u64,
    source: &watch::DiscoverySource,
    inbox: &Sender<Input>,
    lifecycle: &Arc<Lifecycle>,
) -> Result<(), ServerError> {
    let watcher = watch::Watcher {
        source: source.clone(),
        revision,
        inbox: inbox.clone(),
        clock,
        lifecycle: lifecycle.clone(),
        backoff: watch::Backoff::new(config.seed),
    };
    spawn(LARGE_STACK_WORDS, move || watcher.run())
        .map(drop)
        .map_err(ServerError::Coroutine)
}

/// Builds the service for feature queries.
pub(super) fn feature_service(
    edge: EdgeConfig,
    clock: Clock,
    metrics: &Arc<Metrics>,
) -> Result<Service, ServerError> {
    let (inbox, arrivals) = channel();
    let catalog = SharedCatalog::default();
    let mut reload = InventoryReload::new(edge.clone(), catalog.clone());
    let _ = inbox.send(reload.reload(clock.now())?.input);
    let lifecycle = Arc::new(Lifecycle::default());
    lifecycle.advance_startup(StartupPhase::EndpointsReceived);
    let capacity = Arc::new(ServerCapacity::default());
    let key = CursorKey::new(&edge.cursor_key()?);
    // Two edges that start at the same time must not choose the same servers in step.
    let seed = unix_ms() ^ (u64::from(std::process::id()) << 40);
    Ok(Service {
        name: "feature queries".to_owned(),
        listen: edge.listen,
        limits: ClientLimits::new(edge.max_descriptors, edge.memory_mb * 1024 * 1024),
        coordinator: CoordinatorParts {
            coordinator: Coordinator::new(
                edge.settings(),
                edge.max_in_flight,
                seed,
                clock.now(),
                metrics.clone(),
            ),
            upstream: Box::new(FeatureClient::new(
                &edge,
                inbox.clone(),
                clock,
                capacity.clone(),
            )),
            arrivals,
            reload: Box::new(reload),
            longest_deadline: longest_deadline(&edge.settings()),
        },
        front: Box::new(OgcFront::new(FrontDependencies {
            edge,
            catalog,
            cursor_key: key,
            metrics: metrics.clone(),
            server_capacity: capacity,
        })),
        lifecycle,
        inbox,
    })
}
