//! The life cycle of the process as its clients and operators see it.
//!
//! Startup and shutdown are two independent state machines: a shutdown may be requested before the servers
//! are known, and a process that waits for its predecessor to exit still has to learn them. The coordinator's
//! coroutine makes the transitions, except that the watch on discovery advances the startup to
//! [`StartupPhase::EndpointsReceived`]; connections and the admin thread only read.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use thiserror::Error;

/// How far the startup has come. A phase is never left for an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartupPhase {
    /// The endpoint list is still waited for.
    Starting,
    /// Requests are served, perhaps from the endpoint list that was cached at the start.
    Ready,
    /// Discovery's list is in the coordinator's inbox, ahead of all requests from now on.
    EndpointsReceived,
    /// The coordinator has the endpoint list, or has waited for it as long as it may take.
    EndpointsKnown,
}

/// How far the shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServicePhase {
    /// No shutdown was requested.
    Serving,
    /// A shutdown was requested: the health check fails, all else goes on as before.
    Draining,
    /// A shutdown was requested, and a successor accepts at the same listening socket: nothing is accepted
    /// here, and each response closes its connection. Returns to [`ServicePhase::Draining`] if the successor
    /// exits first.
    HandedOver,
    /// About to exit: connections are still accepted, since the kernel would reset those in the backlog, and each response
    /// closes its connection.
    Closing,
    /// About to exit, while a successor accepts.
    ClosingHandedOver,
}

/// What moves a process from one [`ServicePhase`] to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownEvent {
    /// A shutdown was requested, and no successor has the listening socket (any more).
    DrainAlone,
    /// A shutdown was requested, and a successor accepts at the same listening socket.
    DrainWithSuccessor,
    /// The time for new requests on connections that are open is over.
    Close,
}

impl ServicePhase {
    const ALL: [ServicePhase; 5] = [
        ServicePhase::Serving,
        ServicePhase::Draining,
        ServicePhase::HandedOver,
        ServicePhase::Closing,
        ServicePhase::ClosingHandedOver,
    ];

    /// The phase that follows on an event. Every event is legal in every phase; none leads back to
    /// [`ServicePhase::Serving`] or out of the closing phases.
    #[must_use]
    pub fn next(self, event: ShutdownEvent) -> ServicePhase {
        use ServicePhase::{Closing, ClosingHandedOver, Draining, HandedOver, Serving};
        match (self, event) {
            (Serving | Draining | HandedOver, ShutdownEvent::DrainAlone) => Draining,
            (Serving | Draining | HandedOver, ShutdownEvent::DrainWithSuccessor) => HandedOver,
            (Serving | Draining, ShutdownEvent::Close) => Closing,
            (HandedOver, ShutdownEvent::Close) => ClosingHandedOver,
            (Closing | ClosingHandedOver, ShutdownEvent::DrainAlone) => Closing,
            (Closing | ClosingHandedOver, ShutdownEvent::DrainWithSuccessor) => ClosingHandedOver,
            (Closing | ClosingHandedOver, ShutdownEvent::Close) => self,
        }
    }

    /// Whether a shutdown was requested.
    #[must_use]
    pub fn is_draining(self) -> bool {
        self != ServicePhase::Serving
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn accepts_connections(self) -> bool {
        !matches!(
            self,
            ServicePhase::HandedOver | ServicePhase::ClosingHandedOver
        )
    }

    /// Whether each response closes its connection.
    #[must_use]
    pub fn closes_after_response(self) -> bool {
        !matches!(self, ServicePhase::Serving | ServicePhase::Draining)
    }
}

/// Why the health check fails; the texts are the reply to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unhealthy {
    /// A shutdown was requested.
    #[error("it is told to end")]
    Draining,
    /// No endpoint list has come from discovery.
    #[error("the servers are not known yet")]
    EndpointsUnknown,
}

/// The present phases of one front, readable from any thread.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// A [`StartupPhase`] as its discriminant.
    startup: AtomicU8,
    /// A [`ServicePhase`] as its discriminant.
    service: AtomicU8,
    /// Another process serves beside this one, so each has half of the limits.
    limits_shared: AtomicBool,
}

impl Lifecycle {
    /// Moves the startup on to a phase; an earlier one changes nothing.
    pub fn advance_startup(&self, phase: StartupPhase) {
        self.startup.fetch_max(phase as u8, Relaxed);
    }

    /// Makes the transition of an event and returns the phase that it leads to.
    pub fn shut_down(&self, event: ShutdownEvent) -> ServicePhase {
        let next = self.service_phase().next(event);
        self.service.store(next as u8, Relaxed);
        next
    }

    /// Notes whether another process serves beside this one.
    pub fn set_limits_shared(&self, shared: bool) {
        self.limits_shared.store(shared, Relaxed);
    }

    /// Whether each of two processes has half of the limits.
    pub fn limits_shared(&self) -> bool {
        self.limits_shared.load(Relaxed)
    }

    /// The present phase of the shutdown.
    pub fn service_phase(&self) -> ServicePhase {
        ServicePhase::ALL[usize::from(self.service.load(Relaxed))]
    }

    /// Whether requests are served as those of a ready process.
    pub fn is_ready(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::Ready as u8
            && !self.service_phase().is_draining()
    }

    /// Whether discovery's list has been received.
    pub fn endpoints_received(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::EndpointsReceived as u8
    }

    /// Whether discovery's endpoint list is known, or not waited for any more.
    pub fn endpoints_known(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::EndpointsKnown as u8
    }

    /// Whether a client's request would be served.
    ///
    /// # Errors
    /// Why it would not.
    pub fn health(&self) -> Result<(), Unhealthy> {
        if self.service_phase().is_draining() {
            return Err(Unhealthy::Draining);
        }
        if !self.endpoints_known() {
            return Err(Unhealthy::EndpointsUnknown);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
