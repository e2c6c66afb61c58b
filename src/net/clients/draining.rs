//! Draining client connections once a shutdown was requested.

use super::ClientConnections;
use crate::net::lifecycle::ShutdownEvent;
use crate::sync;
use crate::time::Micros;
use may::io::WaitIo;

/// A connection that was accepted while connections are closed has this time to send its request, which was on its way.
const MIN_FIRST_REQUEST: Micros = Micros::from_millis(300);

impl ClientConnections {
    /// Drains, as a shutdown was requested. Connections between requests stay open, since their clients may be about to
    /// send one. Where a successor accepts at the listening socket, nothing is accepted here any more and each response
    /// closes its connection; if the successor exits first, the backlog is this process's again.
    pub fn drain(&self, successor_accepts: bool) {
        let before = self.lifecycle.service_phase();
        let event = if successor_accepts {
            ShutdownEvent::DrainWithSuccessor
        } else {
            ShutdownEvent::DrainAlone
        };
        let after = self.lifecycle.shut_down(event);
        if before.accepts_connections() && !after.accepts_connections() {
            self.listener.waker().wakeup();
        }
    }

    /// Closes connections between requests, and from now on each other one with its response. New connections are still
    /// accepted and answered: the kernel completes them in any case, and would reset them when the process exits.
    pub fn close_idle(&self, now: Micros) {
        self.lifecycle.shut_down(ShutdownEvent::Close);
        for connection in sync::lock(&self.connections).values() {
            let mut state = connection.lock();
            if state.received_request || now.since(state.accepted_at) > MIN_FIRST_REQUEST {
                state.close_when_idle();
            }
        }
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        sync::lock(&self.connections).len()
    }

    /// The number of open connections whose clients send a request, await its response or have not read it.
    pub fn owed_connections(&self) -> usize {
        sync::lock(&self.connections)
            .values()
            .filter(|c| c.lock().is_owed_response())
            .count()
    }
}
