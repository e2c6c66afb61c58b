//! The life cycle of one front: its startup and its shutdown, as far as they are visible to clients
//! and operators.
//!
//! Startup and shutdown are two independent state machines: a shutdown may be requested before the
//! endpoint list is received, and a process that waits for its predecessor to exit still has to
//! receive the list. The coordinator's coroutine makes the transitions, except that the discovery
//! watch advances the startup to [`StartupPhase::EndpointsReceived`]. The coroutines of client
//! connections and the admin endpoint's thread only read the phases.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering::Relaxed};
use thiserror::Error;

/// A phase of the startup. Phases only advance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartupPhase {
    /// The endpoint list has not been received. The readiness check of the fronts fails.
    Starting,
    /// The readiness check of the fronts succeeds. Requests may be served with the endpoint list
    /// that was cached at the start.
    Ready,
    /// Discovery's endpoint list is in the coordinator's inbox, before all requests that are
    /// submitted from now on.
    EndpointsReceived,
    /// The coordinator has processed the endpoint list, or the time to wait for it is over.
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
    /// accepts no connections, and each response closes its connection. The phase returns to
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
    /// A shutdown was requested, and no successor accepts at the listening socket, or it has
    /// exited.
    DrainWithoutSuccessor,
    /// A shutdown was requested, and a successor accepts at the same listening socket.
    DrainWithSuccessor,
    /// Idle connections are closed from now on.
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

    /// Returns the phase after an event. Every event is valid in every phase. No event leads back
    /// to [`ServicePhase::Serving`] or out of the closing phases.
    #[must_use]
    pub fn next(self, event: ShutdownEvent) -> ServicePhase {
        use ServicePhase::{Closing, ClosingHandedOver, Draining, HandedOver, Serving};
        match (self, event) {
            (Serving | Draining | HandedOver, ShutdownEvent::DrainWithoutSuccessor) => Draining,
            (Serving | Draining | HandedOver, ShutdownEvent::DrainWithSuccessor) => HandedOver,
            (Serving | Draining, ShutdownEvent::Close) => Closing,
            (HandedOver, ShutdownEvent::Close) => ClosingHandedOver,
            (Closing | ClosingHandedOver, ShutdownEvent::DrainWithoutSuccessor) => Closing,
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

/// The reason why the health check fails. Its text is part of the admin endpoint's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Unhealthy {
    /// A shutdown was requested.
    #[error("it is told to end")]
    Draining,
    /// No endpoint list was received from discovery, and the time to wait for it is not over.
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
    /// Whether the predecessor or the successor runs at the same time, so that each process has
    /// half of the limits.
    limits_shared: AtomicBool,
}

impl Lifecycle {
    /// Advances the startup to `phase`. Does nothing if the startup has reached a later phase.
    pub fn advance_startup(&self, phase: StartupPhase) {
        self.startup.fetch_max(phase as u8, Relaxed);
    }

    /// Moves the service to the phase after an event, and returns that phase.
    pub fn handle_shutdown_event(&self, event: ShutdownEvent) -> ServicePhase {
        let next = self.service_phase().next(event);
        self.service.store(next as u8, Relaxed);
        next
    }

    /// Records whether the predecessor or the successor runs at the same time.
    pub fn set_limits_shared(&self, shared: bool) {
        self.limits_shared.store(shared, Relaxed);
    }

    /// Returns whether this process has half of the limits, since another one runs at the same
    /// time.
    pub fn limits_shared(&self) -> bool {
        self.limits_shared.load(Relaxed)
    }

    /// Returns the current phase of the service.
    pub fn service_phase(&self) -> ServicePhase {
        ServicePhase::ALL[usize::from(self.service.load(Relaxed))]
    }

    /// Returns whether the readiness check of the front succeeds: the startup has reached
    /// [`StartupPhase::Ready`] and no shutdown was requested.
    pub fn is_ready(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::Ready as u8
            && !self.service_phase().is_draining()
    }

    /// Returns whether discovery's endpoint list was received.
    pub fn endpoints_received(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::EndpointsReceived as u8
    }

    /// Returns whether the coordinator has processed discovery's endpoint list, or the time to wait
    /// for it is over.
    pub fn endpoints_known(&self) -> bool {
        self.startup.load(Relaxed) >= StartupPhase::EndpointsKnown as u8
    }

    /// Runs the health check of the admin endpoint.
    ///
    /// # Errors
    /// Fails during a shutdown, and until the startup has reached
    /// [`StartupPhase::EndpointsKnown`].
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
