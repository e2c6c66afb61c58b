//! The startup of a service: it ends once the endpoint list is known, or was waited for long enough.

use crate::net::lifecycle::{Lifecycle, StartupPhase};
use crate::time::Micros;
use std::sync::Arc;

/// Without a message from discovery, the process counts as ready with the cached endpoint list after this time.
const MAX_WAIT_FOR_ENDPOINTS: Micros = Micros::from_millis(400);
/// The health check waits this long for discovery: the platform starts coordinators while discovery is down, too.
const MAX_WAIT_FOR_DISCOVERY: Micros = Micros::from_millis(3_000);

/// The startup of one service.
pub(super) struct Startup {
    lifecycle: Arc<Lifecycle>,
    started_at: Micros,
}

impl Startup {
    /// A startup that begins at this time.
    pub(super) fn new(lifecycle: Arc<Lifecycle>, started_at: Micros) -> Self {
        Startup {
            lifecycle,
            started_at,
        }
    }

    /// Moves on to the phase of this time, after a turn of the coordinator.
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
