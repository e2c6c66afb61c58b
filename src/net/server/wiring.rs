//! Construction of the configured services from their configuration.

use super::coordinator_loop::CoordinatorComponents;
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

/// The number of bytes in a mebibyte, the unit of the memory in settings.
const BYTES_PER_MIB: usize = 1024 * 1024;

/// Builds the service for the platform's protocol, and starts the discovery watch.
pub(super) fn platform_service(
    config: &Config,
    clock: Clock,
    metrics: &Arc<Metrics>,
    has_predecessor: bool,
) -> Result<Service, ServerError> {
    let (inbox, inbox_receiver) = channel();
    let revision = load_cached_endpoints(config, clock, &inbox);
    let settings = &config.settings;
    let source = watch::DiscoverySource::new(config.discovery, settings.policy.max_poll_interval);
    let lifecycle = Arc::new(Lifecycle::default());
    watch_discovery(config, clock, revision, &source, &inbox, &lifecycle)?;
    let catalog = Arc::new(Mutex::new(PlatformCatalog::new(settings)));
    let upstream = NodeClient::new(settings, inbox.clone(), clock);
    let reload = PlatformReload::new(config, source, catalog.clone(), metrics.clone());
    let coordinator = Coordinator::new(
        settings.policy.clone(),
        settings.max_in_flight,
        platform_seed(config, has_predecessor),
        clock.now(),
        metrics.clone(),
    );
    Ok(Service::new(
        config.name.clone(),
        config.listen,
        ClientLimits::new(config.max_descriptors, config.max_memory_bytes),
        Box::new(Platform::new(catalog)),
        lifecycle,
        inbox,
        CoordinatorComponents::new(
            coordinator,
            Box::new(upstream),
            inbox_receiver,
            Box::new(reload),
            longest_deadline(&settings.policy),
        ),
    ))
}

/// Returns the seed of the policy. A process with a predecessor modifies the configured seed, since
/// with one seed both processes of an upgrade would choose the same servers at the same time.
fn platform_seed(config: &Config, has_predecessor: bool) -> u64 {
    if has_predecessor {
        config.seed ^ (u64::from(std::process::id()) << 32)
    } else {
        config.seed
    }
}

/// Sends the cached endpoint list to the coordinator and returns its revision. Returns 0 if the
/// list is rejected, which is logged.
fn load_cached_endpoints(config: &Config, clock: Clock, inbox: &Sender<Input>) -> u64 {
    match parse_cached_endpoint_list(&config.cached_endpoints, clock.now(), unix_ms()) {
        Ok(cached) => {
            let _ = inbox.send(Input::EndpointUpdate(cached.update));
            cached.revision
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
    let (inbox, inbox_receiver) = channel();
    let catalog = SharedCatalog::default();
    let mut reload = InventoryReload::new(edge.clone(), catalog.clone());
    let _ = inbox.send(reload.reload(clock.now())?.input);
    let lifecycle = Arc::new(Lifecycle::default());
    lifecycle.advance_startup(StartupPhase::EndpointsReceived);
    let capacity = Arc::new(ServerCapacity::default());
    let key = CursorKey::new(&edge.cursor_key()?);
    let upstream = FeatureClient::new(&edge, inbox.clone(), clock, capacity.clone());
    let components = CoordinatorComponents::new(
        feature_coordinator(&edge, clock, metrics),
        Box::new(upstream),
        inbox_receiver,
        Box::new(reload),
        longest_deadline(&edge.settings()),
    );
    Ok(Service::new(
        "feature queries".to_owned(),
        edge.listen,
        ClientLimits::new(edge.max_descriptors, edge.memory_mb * BYTES_PER_MIB),
        Box::new(OgcFront::new(FrontDependencies {
            edge,
            catalog,
            cursor_key: key,
            metrics: metrics.clone(),
            server_capacity: capacity,
        })),
        lifecycle,
        inbox,
        components,
    ))
}

/// Creates the coordinator of the service for feature queries.
fn feature_coordinator(edge: &EdgeConfig, clock: Clock, metrics: &Arc<Metrics>) -> Coordinator {
    // Two processes that start at the same time must not choose the same servers at the same time.
    let seed = unix_ms() ^ (u64::from(std::process::id()) << 40);
    Coordinator::new(
        edge.settings(),
        edge.max_in_flight,
        seed,
        clock.now(),
        metrics.clone(),
    )
}
