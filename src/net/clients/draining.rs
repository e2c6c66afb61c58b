//! Draining of client connections after a shutdown was requested. The schedule is in
//! `net::server::shutdown`.

use super::ClientConnections;
use crate::net::lifecycle::ShutdownEvent;
use crate::sync;
use crate::time::Micros;

/// The time from the accept in which the client of a new connection must send its first request
/// while connections are closed.
const FIRST_REQUEST_TIMEOUT: Micros = Micros::from_millis(300);

impl ClientConnections {
    /// Starts or updates the draining after a shutdown was requested. Idle connections stay open,
    /// since their clients may be about to send a request. While a successor accepts at the same
    /// listening socket, this process accepts no connections, and each response closes its
    /// connection. If the successor exits first, this process accepts again.
    pub fn drain(&self, successor_accepts: bool) {
        let before = self.lifecycle.service_phase();
        let event = if successor_accepts {
            ShutdownEvent::DrainWithSuccessor
        } else {
            ShutdownEvent::DrainWithoutSuccessor
        };
        let after = self.lifecycle.handle_shutdown_event(event);
        if before.accepts_connections() && !after.accepts_connections() {
            self.listener.waker().wakeup();
        }
    }

    /// Closes idle connections, and each other connection after its next response. New connections
    /// are still accepted and served: the kernel completes them in any case, and would reset them
    /// when the process exits.
    pub fn close_idle(&self, now: Micros) {
        self.lifecycle.handle_shutdown_event(ShutdownEvent::Close);
        for connection in sync::lock(&self.connections).values() {
            let mut state = connection.lock();
            if state.received_request || now.since(state.accepted_at) > FIRST_REQUEST_TIMEOUT {
                state.close_when_idle();
            }
        }
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        sync::lock(&self.connections).len()
    }

    /// Returns the number of open connections whose clients are sending a request, await the
    /// response, or have not read all of it.
    pub fn connections_with_pending_request(&self) -> usize {
        sync::lock(&self.connections)
            .values()
            .filter(|c| c.lock().has_pending_request())
            .count()
    }

    /// Returns the number of open connections whose clients have sent a complete request, and await
    /// the response or have not read all of it.
    pub fn connections_with_complete_request(&self) -> usize {
        sync::lock(&self.connections)
            .values()
            .filter(|c| c.lock().has_complete_request())
            .count()
    }
}
