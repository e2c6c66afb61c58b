//! The life cycle of the process as seen by its clients and operators.
//!
//! Startup and shutdown are two independent state machines: a shutdown may be requested before the
//! endpoint list is known, and a process that waits for its predecessor to exit still has to
//! receive the list. The coordinator's coroutine makes the transitions, except that the discovery
//! watch advances the startup to [`StartupPhase::EndpointsReceived`]. Client connections and the
//! admin thread only read the phases.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use thiserror::Error;

/// A phase of the startup. Phases only advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartupPhase {
    /// The endpoint list has not been received.
    Starting,
    /// Requests are served, possibly with the endpoint list that was cached at the start.
    Ready,
    /// Discovery's endpoint list is in the coordinator's inbox, ahead of all requests from now on.
    EndpointsReceived,
    /// The coordinator has the endpoint list, or the time to wait for it is over.
    EndpointsKnown,
}

/// A phase of the service with respect to its shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServicePhase {
    /// No shutdown was requested.
    Serving,
    /// A shutdown was requested: the health check fails, and requests are served as before.
    Draining,
    /// A shutdown was requested, and a successor accepts at the same listening socket. This process
    /// accepts nothing, and each response closes its connection. Returns to
    /// [`ServicePhase::Draining`] if the successor exits first.
    HandedOver,
    /// The process is about to exit. Connections are still accepted, since the kernel would reset
    /// those in the backlog, and each response closes its connection.
    Closing,
    /// The process is about to exit while a successor accepts.
    ClosingHandedOver,
}

/// An event that moves a process from one [`ServicePhase`] to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownEvent {
    /// A shutdown was requested, and no successor (or none any more) has the listening socket.
    DrainAlone,
    /// A shutdown was requested, and a successor accepts at the same listening socket.
    DrainWithSuccessor,
    /// The time for new requests on open connections is over.
    Close,
}

impl ServicePhase {
    /// All phases, in the order of their discriminants.
    const ALL: [ServicePhase; 5] = [
        ServicePhase::Serving,
        ServicePhase::Draining,
        ServicePhase::HandedOver,
        ServicePhase::Closing,
        ServicePhase::ClosingHandedOver,
    ];

    /// Returns the phase after an event. Every event is valid in every phase; none leads back to
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

    /// Returns whether a shutdown was requested.
    #[must_use]
    pub fn is_draining(self) -> bool {
        self != ServicePhase::Serving
    }

    /// Returns whether new connections are accepted.
    #[must_use]
    pub fn accepts_connections(self) -> bool {
        !matches!(
            self,
            ServicePhase::HandedOver | ServicePhase::ClosingHandedOver
        )
    }

    /// Returns whether each response closes its connection.
    #[must_use]
    pub fn closes_after_response(self) -> bool {
        !matches!(self, ServicePhase::Serving | ServicePhase::Draining)
    }
}

/// The reason why the health check fails. Its text is the reply to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unhealthy {
    /// A shutdown was requested.
    #[error("it is told to end")]
    Draining,
    /// No endpoint list was received from discovery.
    #[error("the servers are not known yet")]
    EndpointsUnknown,
}

/// The current phases of one front, which any thread may read.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// The [`StartupPhase`], as its discriminant.
    startup: AtomicU8,
    /// The [`ServicePhase`], as its discriminant.
    service: AtomicU8,
    /// Whether another process serves beside this one, so that each has half of the limits.
    limits_shared: AtomicBool,
}

impl Lifecycle {
    /// Advances the startup to a phase. Ignores an earlier phase.
    pub fn advance_startup(&self, phase: StartupPhase) {
        self.startup.fetch_max(phase as u8, Relaxed);
    }

    /// Makes the transition for an event and returns the new phase.
    pub fn shut_down(&self, event: ShutdownEvent) -> ServicePhase {
        let next = self.service_phase().next(event);
        self.service.store(next as u8, Relaxed);
        next
    }

    /// Records whether another process serves beside this one.
    pub fn set_limits_shared(&self, shared: bool) {
        self.limits_shared.store(shared, Relaxed);
    }

    /// Returns whether each of two processes has half of the limits.
    pub fn limits_shared(&self) -> bool {
        self.limits_shared.load(Relaxed)
    }

    /// Returns the current phase of the service.
    pub fn service_phase(&self) -> ServicePhase {
        ServicePhase::ALL[usize::from(self.service.load(Relaxed))]
    }

    /// Returns whether the startup is complete enough to serve requests and no shutdown was
    /// requested.
    pub fn is_ready(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::Ready as u8
            && !self.service_phase().is_draining()
    }

    /// Returns whether discovery's endpoint list was received.
    pub fn endpoints_received(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::EndpointsReceived as u8
    }

    /// Returns whether discovery's endpoint list is known, or the time to wait for it is over.
    pub fn endpoints_known(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::EndpointsKnown as u8
    }

    /// Checks whether client requests are served.
    ///
    /// # Errors
    /// Fails with the reason if they are not.
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
