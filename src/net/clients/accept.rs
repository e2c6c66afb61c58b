//! The accept loop for client connections, and the coroutine that serves each of them.

use super::connection::{Connection, ConnectionState, NextStep};
use super::{ClientConnections, ConnectionId};
use crate::coordinator::{log_throttled, COUNTERS};
use crate::net::{sleep, spawn, PolledSocket};
use crate::sync;
use may::coroutine;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The pause before accepting a connection is retried.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The pause while every connection is needed. Short, since the backlog fills meanwhile, and the
/// kernel repeats a connect that finds it full only after 1 s.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// The number of connections that are accepted before others take their turn.
const MAX_ACCEPTS_PER_TURN: usize = 128;
/// The number of connections that are accepted one after the other from which the backlog counts as
/// crowded.
const CROWDED_ACCEPTS: usize = 32;

/// The pause of a connection's coroutine between two turns. A coroutine that only yields is resumed
/// before the sockets of others are polled.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// The pause of a connection's coroutine after it has discarded many bytes.
const DISCARD_PAUSE: Duration = Duration::from_millis(10);

/// The reason why accepting connections is interrupted.
enum AcceptEnd {
    /// Others have to take their turn.
    TurnOver,
    /// No connection waits in the backlog.
    BacklogEmpty,
    /// The limit on connections is reached, and none can be evicted.
    Full,
    /// The system call failed.
    Failed(io::Error),
}

impl ClientConnections {
    /// Accepts connections for as long as the process runs. While `is_predecessor_running` returns
    /// true, the predecessor accepts at the same address, and this process does not accept before
    /// its startup has ended.
    pub fn accept(self: &Arc<Self>, is_predecessor_running: impl Fn() -> bool) {
        while is_predecessor_running() && !self.lifecycle.endpoints_known() {
            sleep(ACCEPT_RETRY_INTERVAL);
        }
        let mut crowded = false;
        loop {
            if !self.lifecycle.service_phase().accepts_connections() {
                sleep(ACCEPT_RETRY_INTERVAL);
                continue;
            }
            let end = self.accept_several(crowded);
            crowded = !matches!(end, AcceptEnd::BacklogEmpty);
            self.evict_excess_idle();
            match end {
                AcceptEnd::TurnOver => sleep(Duration::ZERO),
                AcceptEnd::BacklogEmpty => self.listener.wait(),
                AcceptEnd::Full => self.wait_for_capacity(),
                AcceptEnd::Failed(error) => self.recover_from(&error),
            }
        }
    }

    /// Accepts connections until others have to take their turn. `crowded` states that the backlog was
    /// not empty at the end of the last turn.
    fn accept_several(self: &Arc<Self>, crowded: bool) -> AcceptEnd {
        for accepted in 0..MAX_ACCEPTS_PER_TURN {
            if self.open_connections() >= self.limits().connections {
                if !self.evict_one() {
                    return AcceptEnd::Full;
                }
                // The evicted connection is closed by its own coroutine.
                coroutine::yield_now();
                continue;
            }
            match self.listener.socket().accept() {
                Ok((stream, _))
                    if (crowded || accepted >= CROWDED_ACCEPTS) && has_left(&stream) =>
                {
                    COUNTERS.connections_accepted.increment();
                    COUNTERS.connections_left_unread.increment();
                }
                Ok((stream, _)) => self.serve(stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return AcceptEnd::BacklogEmpty,
                Err(e) => return AcceptEnd::Failed(e),
            }
        }
        AcceptEnd::TurnOver
    }

    /// Pauses while no connection can be evicted. New connections stay in the backlog: the kernel has
    /// already established them, so they must not be closed.
    fn wait_for_capacity(&self) {
        log_throttled(&COUNTERS.accept_pauses, || {
            let open = self.open_connections();
            tracing::warn!(
                open,
                "new client connections wait, since none can be closed"
            );
        });
        sleep(FULL_RETRY_INTERVAL);
    }

    /// Pauses after a connection could not be accepted. The most likely reason is that no descriptor
    /// is left (EMFILE). Evicting a connection frees one.
    fn recover_from(&self, error: &io::Error) {
        log_throttled(
            &COUNTERS.accept_errors,
            || tracing::warn!(%error, "accepting a client connection failed"),
        );
        self.evict_one();
        sleep(ACCEPT_RETRY_INTERVAL);
    }

    /// Serves a connection: handles what has arrived, and starts a coroutine for the connection if it
    /// stays open. Many clients of a flood have left by now and need none.
    fn serve(self: &Arc<Self>, stream: TcpStream) {
        COUNTERS.connections_accepted.increment();
        // Without this option responses are only delayed, so an error is ignored.
        let _ = stream.set_nodelay(true);
        if let Err(e) = stream.set_nonblocking(true) {
            return log_unserved(&e);
        }
        let connection = Arc::new(Connection::new(self.accepted_state()));
        if !self.drive(&connection, &stream) {
            return self.end(&connection, &stream);
        }
        self.free_memory();
        let stream = match PolledSocket::new(stream) {
            Ok(stream) => stream,
            Err(e) => {
                self.report_disconnect(&connection);
                return log_unserved(&e);
            }
        };
        connection.lock().begin_polling(&stream);
        let id = ConnectionId(self.next_id());
        sync::lock(&self.connections).insert(id, connection.clone());
        if let Err(e) = self.spawn_connection(id, connection.clone(), stream) {
            self.report_disconnect(&connection);
            sync::lock(&self.connections).remove(&id);
            log_unserved(&e);
        }
    }

    /// Returns the state of a connection that was just accepted.
    fn accepted_state(&self) -> ConnectionState {
        let accepted_at = self.clock.now();
        let mut state = ConnectionState {
            accepted_at,
            last_activity_at: accepted_at,
            last_write_at: accepted_at,
            ..ConnectionState::default()
        };
        state.http.set_max_body(self.front.max_body());
        state
    }

    /// Starts the coroutine of a connection, which drives the connection whenever it has an event and
    /// finally removes it from the open connections.
    fn spawn_connection(
        self: &Arc<Self>,
        id: ConnectionId,
        connection: Arc<Connection>,
        stream: PolledSocket<TcpStream>,
    ) -> io::Result<()> {
        let clients = self.clone();
        spawn(self.front.stack_words(), move || {
            loop {
                // The lock is released before the coroutine waits.
                let next_step = connection.lock().next_step();
                match next_step {
                    NextStep::Pause => sleep(DISCARD_PAUSE),
                    NextStep::Yield => sleep(TURN_PAUSE),
                    NextStep::Wait => stream.wait(),
                }
                if !clients.drive(&connection, stream.socket()) {
                    break;
                }
                clients.free_memory();
            }
            clients.end(&connection, stream.socket());
            sync::lock(&clients.connections).remove(&id);
        })
        .map(drop)
    }

    /// Ends a connection after its last turn.
    fn end(&self, connection: &Connection, socket: &TcpStream) {
        self.report_disconnect(connection);
        let _ = socket.shutdown(Shutdown::Both);
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

/// Returns whether the client of a new connection has closed it already, which it may have done after
/// sending a request.
fn has_left(stream: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = poll(&mut descriptors, Some(&Timespec::default()));
    polled.is_ok() && descriptors[0].revents().contains(PollFlags::RDHUP)
}

fn log_unserved(error: &io::Error) {
    log_throttled(
        &COUNTERS.accept_errors,
        || tracing::warn!(%error, "client connection cannot be served"),
    );
}
