//! The state of one client connection, and its reads and writes on the socket.

use super::activity::ConnectionActivity;
use crate::coordinator::{Token, COUNTERS};
use crate::front::Render;
use crate::net::{try_read, try_write, IoOutcome};
use crate::proto::http::ServerConnection;
use crate::sync;
use crate::time::{Clock, Micros};
use may::io::WaitIoWaker;
use std::net::{Shutdown, TcpStream};
use std::sync::{Mutex, MutexGuard};

/// Most bytes of input that are read and discarded after an error response.
const MAX_LINGER_BYTES: usize = 1024 * 1024;

/// One client connection, shared by its coroutine and whoever gives it a response or closes it.
#[derive(Default)]
pub(super) struct Connection {
    state: Mutex<ConnectionState>,
}

impl Connection {
    /// A connection in this state.
    pub(super) fn new(state: ConnectionState) -> Self {
        Connection {
            state: Mutex::new(state),
        }
    }

    /// Locks its state.
    pub(super) fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        sync::lock(&self.state)
    }

    /// What evictions and time-outs depend on.
    pub(super) fn activity(&self) -> ConnectionActivity {
        self.lock().activity()
    }
}

/// A request that was submitted to the coordinator and has no response yet.
pub(super) struct AwaitedResponse {
    /// The request.
    pub(super) token: Token,
    /// Turns the coordinator's answer into a response.
    pub(super) render: Render,
}

/// Input that is read and discarded after the last response, which is an error.
#[derive(Clone, Copy)]
pub(super) struct Linger {
    since: Micros,
    discarded_bytes: usize,
}

/// The state of a client connection.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// The HTTP protocol's state, with its input and output.
    pub(super) http: ServerConnection,
    /// Wakes the connection's coroutine; `None` once that has ended.
    pub(super) waker: Option<WaitIoWaker>,
    /// The request that the coordinator is to answer.
    pub(super) awaited: Option<AwaitedResponse>,
    /// When the first byte of the present request came; `None` between requests.
    pub(super) request_started_at: Option<Micros>,
    /// When bytes were last read or written, or a response was last given.
    pub(super) last_activity_at: Micros,
    /// When it was accepted.
    pub(super) accepted_at: Micros,
    /// At least one complete request has come.
    pub(super) received_request: bool,
    /// At least one request was submitted to the coordinator, and not answered at once.
    pub(super) submitted_query: bool,
    /// Set once the last response was an error, and input is discarded.
    pub(super) linger: Option<Linger>,
    /// Memory for input and output, as last counted.
    pub(super) buffered_bytes: usize,
    /// It is to close now, whatever is in progress.
    pub(super) abort_requested: bool,
}

impl ConnectionState {
    /// What evictions and time-outs depend on.
    pub(super) fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            accepted_at: self.accepted_at,
            last_activity_at: self.last_activity_at,
            request_started_at: self.request_started_at,
            lingering_since: self.linger.map(|linger| linger.since),
            received_request: self.received_request,
            submitted_query: self.submitted_query,
            busy: self.http.awaits_response(),
            idle: self.http.is_idle(),
            output_pending: !self.http.output().is_empty(),
            closing: self.http.is_draining(),
            aborted: self.abort_requested,
            buffered_bytes: self.buffered_bytes,
        }
    }

    /// Whether input is discarded after an error response.
    pub(super) fn is_lingering(&self) -> bool {
        self.linger.is_some()
    }

    /// Whether its client sends a request, awaits the response or has not read it.
    pub(super) fn is_owed_response(&self) -> bool {
        !self.is_lingering()
            && (self.http.awaits_response()
                || self.http.has_partial_request()
                || !self.http.output().is_empty())
    }

    /// Wakes the connection's coroutine.
    pub(super) fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    /// Closes the connection, whatever is in progress.
    pub(super) fn abort(&mut self) {
        self.abort_requested = true;
        self.wake();
    }

    /// Closes the connection as soon as no request is in progress.
    pub(super) fn close_when_idle(&mut self) {
        self.http.close_when_idle();
        self.wake();
    }

    /// Closes the connection to make room. A request that is in the socket but not read yet is still taken.
    pub(super) fn evict(&mut self) {
        COUNTERS.connections_evicted.increment();
        if self.received_request && self.http.is_idle() {
            self.close_when_idle();
        } else {
            self.abort();
        }
    }

    /// Counts the time of a request that came, at least in part, behind the one just answered from the last activity on.
    pub(super) fn restart_request_time(&mut self) {
        self.request_started_at = self
            .http
            .has_partial_request()
            .then_some(self.last_activity_at);
    }

    /// Reads once, and notes the time if bytes came.
    pub(super) fn read_input(&mut self, socket: &TcpStream, clock: &Clock) -> IoOutcome {
        let outcome = try_read(socket, self.http.input().free_space());
        if let IoOutcome::Transferred(bytes) = outcome {
            self.http.input().commit(bytes);
            self.last_activity_at = clock.now();
            self.request_started_at = self.request_started_at.or(Some(self.last_activity_at));
        }
        outcome
    }

    /// Writes output until there is none or the socket takes no more. Returns whether the connection is sound.
    pub(super) fn write_output(&mut self, socket: &TcpStream, clock: &Clock) -> bool {
        while !self.http.output().is_empty() {
            match try_write(socket, self.http.output()) {
                IoOutcome::Transferred(bytes) => {
                    self.http.advance_output(bytes);
                    self.last_activity_at = clock.now();
                }
                IoOutcome::WouldBlock => return true,
                IoOutcome::EndOfStream | IoOutcome::Broken => return false,
            }
        }
        true
    }

    /// Closes the sending side after the last response. Returns whether input has to be discarded: closing a socket with
    /// unread input sends a reset, on which the client may lose the response.
    pub(super) fn begin_linger(&mut self, socket: &TcpStream, clock: &Clock) -> bool {
        if self.is_lingering() {
            return true;
        }
        if !self.http.must_linger() || socket.shutdown(Shutdown::Write).is_err() {
            return false;
        }
        self.linger = Some(Linger {
            since: clock.now(),
            discarded_bytes: 0,
        });
        true
    }

    /// Discards what comes after the last response. Returns whether more may come: not once the client has closed, or
    /// has sent more than the bound.
    pub(super) fn discard_input(&mut self, socket: &TcpStream) -> bool {
        let Some(mut linger) = self.linger else {
            return false;
        };
        let open = loop {
            let input = self.http.input();
            let unread = input.data().len();
            input.consume(unread);
            match try_read(socket, input.free_space()) {
                IoOutcome::Transferred(bytes) => {
                    linger.discarded_bytes += bytes;
                    if linger.discarded_bytes > MAX_LINGER_BYTES {
                        break false;
                    }
                }
                IoOutcome::WouldBlock => break true,
                IoOutcome::EndOfStream | IoOutcome::Broken => break false,
            }
        };
        self.linger = Some(linger);
        open
    }
}
