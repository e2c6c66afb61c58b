//! The startup of a service, which ends once the endpoint list was received from discovery or the
//! time to wait for it is over.

use crate::net::lifecycle::{Lifecycle, StartupPhase};
use crate::time::Micros;
use std::sync::Arc;

/// The time after which a process that has not received an endpoint list from discovery is ready
/// with the cached list.
const MAX_WAIT_FOR_ENDPOINTS: Micros = Micros::from_millis(400);
/// The time after which the health check succeeds even without a list from discovery: the platform
/// may start coordinators while discovery is down.
const MAX_WAIT_FOR_DISCOVERY: Micros = Micros::from_millis(3_000);

/// The startup of one service.
pub(super) struct Startup {
    lifecycle: Arc<Lifecycle>,
    started_at: Micros,
}

impl Startup {
    /// Creates the state of a startup that begins at `started_at`.
    pub(super) fn new(lifecycle: Arc<Lifecycle>, started_at: Micros) -> Self {
        Startup {
            lifecycle,
            started_at,
        }
    }

    /// Advances the startup to the phase at the time `now`. Called after each turn of the
    /// coordinator.
    pub(super) fn advance(&self, now: Micros) {
        self.lifecycle.advance_startup(self.phase(now));
    }

    fn phase(&self, now: Micros) -> StartupPhase {
        let elapsed = now.since(self.started_at);
        if self.lifecycle.endpoints_received() || elapsed >= MAX_WAIT_FOR_DISCOVERY {
            StartupPhase::EndpointsKnown
        } else if elapsed >= MAX_WAIT_FOR_ENDPOINTS {
            StartupPhase::Ready
        } else {
            StartupPhase::Starting
        }
    }
}

#[cfg(test)]
mod tests;
