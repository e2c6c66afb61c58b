//! The server process: starts a service for each configured front and runs the services until the
//! shutdown. Client connections are in `net::clients`, connections to servers in `net::node_client`
//! and `net::feature_client`, and the decisions in the coordinator.
//!
//! `COUNTERS` stays global, as the documentation of `net` explains; all other state is passed to
//! the services in a `ProcessContext`.

mod coordinator_loop;
mod error;
mod generations;
mod listeners;
mod process;
mod reload;
mod service;
mod shutdown;
mod signals;
mod startup;
mod wiring;

pub use error::{ReloadError, ServerError};

use super::admin::{self, AdminEndpoint};
use super::config::Config;
use super::handover::{self, ListeningSocket};
use crate::coordinator::{Metrics, COUNTERS};
use crate::front::ogc::config::EdgeConfig;
use crate::time::Clock;
use generations::ProcessGenerations;
use listeners::{OpenListener, SharedListener};
use process::ProcessContext;
use service::{RunningService, Service};
use signals::Signals;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;

/// Runs the configured fronts (the platform's, the one for feature queries, or both) until a
/// requested shutdown is complete.
///
/// # Errors
/// Fails if a service cannot be started, or if its coordinator panicked.
pub fn run(platform: Option<Config>, edge: Option<EdgeConfig>) -> Result<(), ServerError> {
    // A coordinator uses one core. It is not pinned to it, since other processes may use the same
    // core.
    may::config().set_workers(1).set_worker_pin(false);
    let clock = Clock::start();
    let signals = Signals::listen(clock)?;
    let metrics = Arc::new(Metrics::default());
    let admin = admin_config(platform.as_ref(), edge.as_ref());
    // Before the services are built, since a process with a predecessor builds them differently.
    let mut inherited = request_handover(platform.as_ref(), edge.as_ref());
    let process = ProcessContext::new(clock, signals, inherited.generations);
    let services = build_services(platform, edge, &process, &metrics)?;
    let listeners = open_listeners(&services, &mut inherited.sockets)?;
    if let Some(path) = inherited.path {
        let shared = shared_listeners(&services, &listeners);
        listeners::offer_to_successor(path, shared, process.generations.clone())?;
    }
    let running: Vec<_> = services
        .into_iter()
        .zip(listeners)
        .map(|(service, listener)| service.start(listener, process.clone()))
        .collect::<Result<_, _>>()?;
    if let Some(admin) = admin {
        start_admin(admin, &running, &metrics);
    }
    for service in running {
        service
            .coordinator
            .join()
            .map_err(|_| ServerError::CoordinatorPanicked)?;
    }
    COUNTERS.log();
    Ok(())
}

/// The configuration of the admin endpoint.
struct AdminConfig {
    /// The address to listen on.
    address: SocketAddr,
    /// The maximum number of descriptors of the process, a share of which is reserved for the
    /// endpoint.
    max_descriptors: usize,
}

/// Returns the configuration of the admin endpoint, of which a process has only one. If both fronts
/// configure one, the platform's takes precedence.
fn admin_config(platform: Option<&Config>, edge: Option<&EdgeConfig>) -> Option<AdminConfig> {
    let platform_admin = platform.and_then(|config| {
        Some(AdminConfig {
            address: config.admin?,
            max_descriptors: config.max_descriptors,
        })
    });
    platform_admin.or_else(|| {
        edge.and_then(|edge| {
            Some(AdminConfig {
                address: edge.mgmt?,
                max_descriptors: edge.max_descriptors,
            })
        })
    })
}

/// The result of requesting the listening sockets of a predecessor.
struct InheritedSockets {
    /// The path of the Unix socket at which this process waits for its own successor; `None` if
    /// there is no safe directory for it.
    path: Option<PathBuf>,
    /// The listening sockets received from the predecessor.
    sockets: Vec<ListeningSocket<TcpListener>>,
    /// The predecessor and the successor of this process.
    generations: Arc<ProcessGenerations>,
}

/// Requests the listening sockets of the predecessor, if there is one.
fn request_handover(platform: Option<&Config>, edge: Option<&EdgeConfig>) -> InheritedSockets {
    let address = platform
        .map(|config| config.listen)
        .or(edge.map(|edge| edge.listen));
    let path = address.and_then(handover::socket_path);
    let (sockets, predecessor) = match path.as_deref().and_then(handover::request_handover) {
        Some(handover) => (handover.sockets, Some(handover.predecessor)),
        None => (Vec::new(), None),
    };
    InheritedSockets {
        path,
        sockets,
        generations: Arc::new(ProcessGenerations::new(predecessor)),
    }
}

/// Builds the configured services, which share the descriptors and the memory of the process.
fn build_services(
    platform: Option<Config>,
    edge: Option<EdgeConfig>,
    process: &ProcessContext,
    metrics: &Arc<Metrics>,
) -> Result<Vec<Service>, ServerError> {
    let mut services = Vec::new();
    if let Some(config) = platform {
        let has_predecessor = process.generations.has_predecessor();
        services.push(wiring::platform_service(
            &config,
            process.clock,
            metrics,
            has_predecessor,
        )?);
    }
    if let Some(edge) = edge {
        services.push(wiring::feature_service(edge, process.clock, metrics)?);
    }
    let fronts = services.len();
    services
        .iter_mut()
        .for_each(|service| service.share_limits(fronts));
    Ok(services)
}

fn open_listeners(
    services: &[Service],
    inherited: &mut Vec<ListeningSocket<TcpListener>>,
) -> Result<Vec<OpenListener>, ServerError> {
    services
        .iter()
        .map(|service| listeners::listener_for(service.listen_address(), inherited))
        .collect()
}

fn shared_listeners(
    services: &[Service],
    listeners: &[OpenListener],
) -> Vec<ListeningSocket<SharedListener>> {
    let share = |(service, open_listener): (&Service, &OpenListener)| ListeningSocket {
        address: service.listen_address(),
        socket: SharedListener::new(open_listener.listener.clone()),
    };
    services.iter().zip(listeners).map(share).collect()
}

/// Starts the admin endpoint. A failure is only logged, since clients can be served without the
/// endpoint.
fn start_admin(config: AdminConfig, services: &[RunningService], metrics: &Arc<Metrics>) {
    let fronts: Vec<_> = services
        .iter()
        .map(|service| service.clients.clone())
        .collect();
    let endpoint = AdminEndpoint {
        metrics: metrics.clone(),
        health: Box::new(move || {
            fronts
                .iter()
                .try_for_each(|clients| clients.lifecycle().health())
        }),
        max_callers: admin::reserved_descriptors(config.max_descriptors) - 1,
    };
    if let Err(e) = admin::start(config.address, endpoint) {
        tracing::warn!(error = %e, "admin endpoint not started");
    }
}
