//! The state of one client connection, and its reads and writes on the socket. Requests are handled
//! in [`super::requests`].

use super::activity::ConnectionActivity;
use crate::coordinator::{Input, Token, COUNTERS};
use crate::front::Render;
use crate::net::{try_read, try_write, IoOutcome, PolledSocket};
use crate::proto::http::ServerConnection;
use crate::sync;
use crate::time::{Clock, Micros};
use may::io::WaitIoWaker;
use rustix::io::ioctl_fionread;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};

/// The maximum length of the input that is discarded after an error response, in bytes.
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// The number of bytes that are read from a connection before others take their turn.
const MAX_READ_BYTES_PER_TURN: usize = 256 * 1024;
/// The number of requests of a connection that are handled before others take their turn.
const MAX_REQUESTS_PER_TURN: usize = 16;
/// The number of bytes after a request in progress that are discarded between two pauses. The
/// pauses limit the worker's time that a client takes by sending without end.
const MAX_DISCARDED_BYTES: usize = 2 * 1024 * 1024;

/// A client connection, shared by its own coroutine and those that answer its requests or close it.
#[derive(Default)]
pub(super) struct Connection {
    state: Mutex<ConnectionState>,
}

impl Connection {
    /// Creates a connection in this state.
    pub(super) fn new(state: ConnectionState) -> Self {
        Connection {
            state: Mutex::new(state),
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        sync::lock(&self.state)
    }

    /// Returns the activity on which evictions and timeouts depend.
    pub(super) fn activity(&self) -> ConnectionActivity {
        self.lock().activity()
    }
}

/// A request that was submitted to the coordinator and has no response yet.
pub(super) struct AwaitedResponse {
    /// The token of the request.
    pub(super) token: Token,
    /// The function that renders the coordinator's answer as a response.
    pub(super) render: Render,
    /// The memory that the request's payload holds until the answer, in bytes.
    pub(super) payload_memory: usize,
}

/// The progress of a lingering close: input is discarded after the last response, which is an
/// error.
#[derive(Clone, Copy)]
pub(super) struct Linger {
    /// The time of the last response.
    since: Micros,
    /// The number of bytes discarded so far.
    discarded_bytes: usize,
}

/// What a connection may still read and handle before others take their turn.
#[derive(Debug, Clone, Copy)]
pub(super) struct TurnBudget {
    read_bytes: usize,
    requests: usize,
}

impl TurnBudget {
    /// Returns the budget at the beginning of a turn.
    pub(super) fn new() -> Self {
        TurnBudget {
            read_bytes: MAX_READ_BYTES_PER_TURN,
            requests: MAX_REQUESTS_PER_TURN,
        }
    }

    /// Returns whether the turn ends.
    pub(super) fn is_spent(self) -> bool {
        self.read_bytes == 0 || self.requests == 0
    }

    pub(super) fn count_read(&mut self, bytes: usize) {
        self.read_bytes = self.read_bytes.saturating_sub(bytes);
    }

    pub(super) fn count_request(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }
}

/// The state of a client connection.
#[derive(Default)]
pub(super) struct ConnectionState {
    /// The state of the HTTP protocol, with input and output.
    pub(super) http: ServerConnection,
    /// The waker of the connection's coroutine; `None` once the coroutine has ended.
    pub(super) waker: Option<WaitIoWaker>,
    /// The socket; `None` before the connection is polled and once its coroutine has ended.
    pub(super) socket: Option<Arc<TcpStream>>,
    /// Whether the last check found input that no turn has read since.
    pub(super) unread_at_last_check: bool,
    /// The request that awaits the coordinator's answer.
    pub(super) awaited: Option<AwaitedResponse>,
    /// The input that submits this request, until the end of the turn shows that the client is still
    /// there.
    pub(super) submission: Option<Input>,
    /// The time of the current request's first byte; `None` between requests.
    pub(super) request_started_at: Option<Micros>,
    /// The time of the last read, write or response.
    pub(super) last_activity_at: Micros,
    /// The time of the last write; before the first write, that of the accept.
    pub(super) last_write_at: Micros,
    /// The time of the accept.
    pub(super) accepted_at: Micros,
    /// Whether a read has found no input, so that all later input arrived after that read.
    pub(super) waited_for_input: bool,
    /// Whether at least one complete request was received.
    pub(super) received_request: bool,
    /// Whether at least one request was submitted to the coordinator as a query.
    pub(super) submitted_query: bool,
    /// The lingering close; `None` until it begins.
    pub(super) linger: Option<Linger>,
    /// The memory for input and output when last counted, in bytes.
    pub(super) buffered_bytes: usize,
    /// Whether the connection closes now, even with a request in progress.
    pub(super) abort_requested: bool,
    /// Whether reading continues only after a pause, since many bytes were discarded.
    pub(super) discard_paused: bool,
    /// Whether the last turn ended before all input was read and handled that can be. No event of the
    /// socket announces the rest, since it has arrived already.
    pub(super) has_more_input: bool,
}

/// What a connection's coroutine does after a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NextStep {
    /// It waits for the socket, or until it is woken.
    Wait,
    /// It lets others take their turn and continues.
    Yield,
    /// It pauses, since the client has sent much input that was discarded.
    Pause,
}

impl ConnectionState {
    /// Returns what the connection's coroutine does after a turn.
    pub(super) fn next_step(&self) -> NextStep {
        if self.discard_paused {
            NextStep::Pause
        } else if self.has_more_input {
            NextStep::Yield
        } else {
            NextStep::Wait
        }
    }

    /// Returns the activity on which evictions and timeouts depend.
    pub(super) fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            accepted_at: self.accepted_at,
            last_activity_at: self.last_activity_at,
            request_started_at: self.request_started_at,
            lingering_since: self.linger.map(|linger| linger.since),
            received_request: self.received_request,
            submitted_query: self.submitted_query,
            busy: self.http.awaits_response(),
            unread_bytes: self.http.unread_memory(),
            idle: self.http.is_idle(),
            output_pending: !self.http.output().is_empty(),
            closing: self.http.is_draining(),
            aborted: self.abort_requested,
            buffered_bytes: self.buffered_bytes,
        }
    }

    /// Records that the coroutine of the connection waits for events of this socket.
    pub(super) fn begin_polling(&mut self, socket: &PolledSocket<TcpStream>) {
        self.waker = Some(socket.waker());
        self.socket = Some(socket.share());
    }

    /// Releases the socket at the end of the coroutine.
    pub(super) fn end_polling(&mut self) {
        self.waker = None;
        self.socket = None;
    }

    /// Returns whether input is discarded after an error response.
    pub(super) fn is_lingering(&self) -> bool {
        self.linger.is_some()
    }

    /// Returns whether the client is sending a request, awaits the response, or has not read all of
    /// it.
    pub(super) fn has_pending_request(&self) -> bool {
        let receiving = !self.is_lingering() && self.http.has_partial_request();
        receiving || self.has_complete_request()
    }

    /// Returns whether the client awaits the response to a complete request, or has not read all of
    /// it.
    pub(super) fn has_complete_request(&self) -> bool {
        let unanswered = self.http.awaits_response() || !self.http.output().is_empty();
        unanswered && !self.is_lingering()
    }

    /// Checks whether input lies unread although the connection waits for it. Returns whether it has
    /// since the last check: the worker polls the sockets many times in between.
    pub(super) fn has_missed_input(&mut self) -> bool {
        let waits_for_input = !self.http.awaits_response()
            && self.http.output().is_empty()
            && !self.is_lingering()
            && self.next_step() == NextStep::Wait;
        let socket = self.socket.as_ref().filter(|_| waits_for_input);
        let unread = socket.is_some_and(|s| ioctl_fionread(s).is_ok_and(|bytes| bytes > 0));
        std::mem::replace(&mut self.unread_at_last_check, unread) && unread
    }

    /// Wakes the connection's coroutine.
    pub(super) fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    /// Closes the connection, even with a request in progress.
    pub(super) fn abort(&mut self) {
        self.abort_requested = true;
        self.wake();
    }

    /// Closes the connection as soon as no request is in progress.
    pub(super) fn close_when_idle(&mut self) {
        self.http.close_when_idle();
        self.wake();
    }

    /// Closes the connection so that another one can be accepted. A request that is in the socket
    /// but not read yet is still served.
    pub(super) fn evict(&mut self) {
        COUNTERS.connections_evicted.increment();
        if self.received_request && self.http.is_idle() {
            self.close_when_idle();
        } else {
            self.abort();
        }
    }

    /// Resets the time of the last activity if a read returned only empty lines, which are ignored
    /// before a request (RFC 9112, section 2.2) and must not keep a connection open.
    pub(super) fn ignore_empty_lines(&mut self) {
        if self.http.is_idle() {
            self.last_activity_at = self.last_write_at;
            self.request_started_at = None;
        }
    }

    /// Sets the start of the current request after a response. If part of the next request was
    /// received before the response, that request counts from the last activity.
    pub(super) fn restart_request_time(&mut self) {
        self.request_started_at = self
            .http
            .has_partial_request()
            .then_some(self.last_activity_at);
    }

    /// Prepares a read. Returns whether input can be read now. If no more input can be buffered,
    /// makes room by discarding bytes after the request in progress, and adds their number to
    /// `discarded_bytes`. Requests a pause if that number has reached [`MAX_DISCARDED_BYTES`].
    pub(super) fn prepare_read(&mut self, discarded_bytes: &mut usize) -> bool {
        self.discard_paused = *discarded_bytes >= MAX_DISCARDED_BYTES;
        if self.discard_paused {
            return false;
        }
        if self.http.accepts_input() {
            return true;
        }
        let discarded = self.http.discard_excess();
        *discarded_bytes += discarded;
        discarded > 0
    }

    /// Reads once. Records the time if bytes were received.
    pub(super) fn read_input(&mut self, socket: &TcpStream, clock: &Clock) -> IoOutcome {
        let outcome = try_read(socket, self.http.input().free_space());
        if let IoOutcome::Transferred(bytes) = outcome {
            self.http.input().commit(bytes);
            self.last_activity_at = clock.now();
            self.request_started_at = self.request_started_at.or(Some(self.last_activity_at));
        }
        self.waited_for_input |= matches!(outcome, IoOutcome::WouldBlock);
        outcome
    }

    /// Returns an estimate of the time at which the client sent the request that is complete now:
    /// the time of the last read, or that of the accept if the request may have arrived before the
    /// first read.
    pub(super) fn request_sent_at(&self) -> Micros {
        if self.waited_for_input {
            self.last_activity_at
        } else {
            self.accepted_at
        }
    }

    /// Writes output until none is left or the socket would block. Returns false if the connection
    /// has failed.
    pub(super) fn write_output(&mut self, socket: &TcpStream, clock: &Clock) -> bool {
        while !self.http.output().is_empty() {
            match try_write(socket, self.http.output()) {
                IoOutcome::Transferred(bytes) => {
                    self.http.advance_output(bytes);
                    self.last_activity_at = clock.now();
                    self.last_write_at = self.last_activity_at;
                }
                IoOutcome::WouldBlock => return true,
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => return false,
            }
        }
        true
    }

    /// Starts a lingering close after the last response, if necessary. Returns whether input has to
    /// be discarded: closing a socket with unread input sends a reset, which can destroy the
    /// response in transit.
    pub(super) fn begin_linger(&mut self, socket: &TcpStream, clock: &Clock) -> bool {
        if self.is_lingering() {
            return true;
        }
        if !self.http.needs_lingering_close() || socket.shutdown(Shutdown::Write).is_err() {
            return false;
        }
        self.linger = Some(Linger {
            since: clock.now(),
            discarded_bytes: 0,
        });
        true
    }

    /// Discards input after the last response. Returns whether more may arrive. Returns false once
    /// the client has closed the connection or has sent more than [`MAX_LINGER_BYTES`].
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
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => break false,
            }
        };
        self.linger = Some(linger);
        open
    }
}
