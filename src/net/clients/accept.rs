//! The accept loop for client connections, and the coroutine that serves each of them.

use super::connection::{Connection, ConnectionState, NextStep};
use super::{ClientConnections, ConnectionId};
use crate::coordinator::{log_throttled, COUNTERS};
use crate::net::{sleep, spawn, PolledSocket};
use crate::sync;
use may::coroutine;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The pause before accepting a connection is retried.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The pause of a connection's coroutine between two turns. A coroutine that only yields is resumed
/// before the sockets of others are polled.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// The pause of a connection's coroutine after it has discarded many bytes.
const DISCARD_PAUSE: Duration = Duration::from_millis(10);

impl ClientConnections {
    /// Accepts connections for as long as the process runs. While `is_predecessor_running` returns
    /// true, the predecessor accepts at the same address, and this process does not accept before
    /// its startup has ended.
    pub fn accept(self: &Arc<Self>, is_predecessor_running: impl Fn() -> bool) {
        while is_predecessor_running() && !self.lifecycle.endpoints_known() {
            sleep(ACCEPT_RETRY_INTERVAL);
        }
        loop {
            if !self.lifecycle.service_phase().accepts_connections() {
                sleep(ACCEPT_RETRY_INTERVAL);
            } else if self.open_connections() >= self.limits().connections {
                self.evict_or_wait();
            } else {
                self.accept_one();
            }
        }
    }

    /// Evicts a connection, or pauses if none can be evicted.
    fn evict_or_wait(&self) {
        if self.evict_one() {
            // The evicted connection is closed by its own coroutine.
            coroutine::yield_now();
        } else {
            // New connections stay in the backlog. The kernel has already established them, so they
            // must not be closed.
            sleep(ACCEPT_RETRY_INTERVAL);
        }
    }

    /// Accepts a connection, or waits until there is one to accept.
    fn accept_one(self: &Arc<Self>) {
        match self.listener.socket().accept() {
            Ok((stream, _)) => {
                self.serve(stream);
                self.evict_excess_idle();
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.listener.wait();
            }
            Err(e) => {
                // The most likely reason is that no descriptor is left (EMFILE). Evicting a
                // connection frees one.
                log_throttled(
                    &COUNTERS.accept_errors,
                    || tracing::warn!(error = %e, "accepting a client connection failed"),
                );
                self.evict_one();
                sleep(ACCEPT_RETRY_INTERVAL);
            }
        }
    }

    /// Serves a connection on its own coroutine.
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        COUNTERS.connections_accepted.increment();
        let _ = stream.set_nodelay(true);
        let stream = match PolledSocket::new(stream) {
            Ok(stream) => stream,
            Err(e) => {
                return log_throttled(&COUNTERS.accept_errors, || {
                    tracing::warn!(error = %e, "client connection cannot be polled");
                });
            }
        };
        let connection = Arc::new(Connection::new(self.accepted_state(&stream)));
        let id = ConnectionId(self.next_id());
        sync::lock(&self.connections).insert(id, connection.clone());
        if let Err(e) = self.spawn_connection(id, connection, stream) {
            log_throttled(&COUNTERS.accept_errors, || {
                tracing::warn!(error = %e, "coroutine for a client connection cannot be started");
            });
            sync::lock(&self.connections).remove(&id);
        }
    }

    /// Returns the state of a connection that was just accepted.
    fn accepted_state(&self, stream: &PolledSocket<TcpStream>) -> ConnectionState {
        let accepted_at = self.clock.now();
        let mut state = ConnectionState {
            accepted_at,
            last_activity_at: accepted_at,
            last_write_at: accepted_at,
            waker: Some(stream.waker()),
            ..ConnectionState::default()
        };
        state.http.set_max_body(self.front.max_body());
        state
    }

    /// Starts the coroutine of a connection, which drives the connection and finally removes it
    /// from the open connections.
    fn spawn_connection(
        self: &Arc<Self>,
        id: ConnectionId,
        connection: Arc<Connection>,
        stream: PolledSocket<TcpStream>,
    ) -> io::Result<()> {
        let clients = self.clone();
        spawn(self.front.stack_words(), move || {
            while clients.drive(&connection, &stream) {
                clients.free_memory();
                // The lock is released before the coroutine waits.
                let next_step = connection.lock().next_step();
                match next_step {
                    NextStep::Pause => sleep(DISCARD_PAUSE),
                    NextStep::Yield => sleep(TURN_PAUSE),
                    NextStep::Wait => stream.wait(),
                }
            }
            clients.report_disconnect(&connection);
            let _ = stream.socket().shutdown(Shutdown::Both);
            sync::lock(&clients.connections).remove(&id);
        })
        .map(drop)
    }

    /// Returns whether the backlog of the listening socket is empty. If it is not, accepts a
    /// connection from it, since the kernel would reset that connection when the process exits.
    /// Also returns true if a successor accepts at the same socket.
    pub fn backlog_is_empty(self: &Arc<Self>) -> bool {
        if !self.lifecycle.service_phase().accepts_connections() {
            return true;
        }
        match self.listener.socket().accept() {
            Ok((stream, _)) => {
                self.serve(stream);
                false
            }
            Err(_) => true,
        }
    }
}
