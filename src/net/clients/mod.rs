//! The connections of one front's clients, which are accepted, served, evicted and drained here.
//! HTTP is in `proto::http`, the meaning of requests in `front`, and the decisions about queries in
//! the coordinator.
//!
//! The counters of connections, by which log lines are throttled, are global, as the documentation
//! of `net` explains.

mod accept;
mod activity;
mod connection;
mod draining;
mod eviction;
mod limits;
mod requests;
mod timeouts;

pub use limits::ClientLimits;

use super::lifecycle::Lifecycle;
use super::PolledSocket;
use crate::coordinator::{log_throttled, Input, Token, COUNTERS};
use crate::front::Front;
use crate::proto::http::HttpError;
use crate::sync;
use crate::time::{Clock, Micros};
use connection::{Connection, ConnectionState};
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use timeouts::Timeout;

/// The id of a client connection, unique within its front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ConnectionId(u64);

/// The client connections of one front.
pub struct ClientConnections {
    /// The open connections by their ids.
    connections: Mutex<HashMap<ConnectionId, Arc<Connection>>>,
    /// The connections that await the coordinator's answer, by the tokens of their requests.
    awaiting: Mutex<HashMap<Token, Arc<Connection>>>,
    /// The next number, which becomes the id of a connection or the token of a request.
    next_id: AtomicU64,
    limits: ClientLimits,
    /// The listening socket. It is kept until the process exits: the runtime's record of a socket
    /// that another process shares must exist for as long as the socket is in use.
    listener: Arc<PolledSocket<TcpListener>>,
    /// The memory that all connections hold for input and output, in bytes.
    buffered_bytes: AtomicUsize,
    /// The memory that the payloads of all requests in progress hold, in bytes.
    payload_bytes: AtomicUsize,
    front: Box<dyn Front>,
    inbox: Sender<Input>,
    clock: Clock,
    lifecycle: Arc<Lifecycle>,
}

impl ClientConnections {
    /// Creates the record of a front's connections, which is empty. `limits` applies to the
    /// connections that are accepted later.
    pub fn new(
        front: Box<dyn Front>,
        listener: Arc<PolledSocket<TcpListener>>,
        limits: ClientLimits,
        inbox: Sender<Input>,
        clock: Clock,
        lifecycle: Arc<Lifecycle>,
    ) -> Arc<Self> {
        Arc::new(ClientConnections {
            connections: Mutex::default(),
            awaiting: Mutex::default(),
            next_id: AtomicU64::new(1),
            limits,
            listener,
            buffered_bytes: AtomicUsize::new(0),
            payload_bytes: AtomicUsize::new(0),
            front,
            inbox,
            clock,
            lifecycle,
        })
    }

    /// Returns the life cycle of this front.
    pub fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }

    /// Returns the stack that requests of the front need, in words of eight bytes.
    pub fn stack_words(&self) -> usize {
        self.front.stack_words()
    }

    /// Returns the current limits.
    fn limits(&self) -> ClientLimits {
        if self.lifecycle.limits_shared() {
            self.limits.halved()
        } else {
            self.limits
        }
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Relaxed)
    }

    /// Evicts a connection to make room for another one. Returns whether there was one to evict.
    fn evict_one(&self) -> bool {
        let now = self.clock.now();
        let connections = sync::lock(&self.connections);
        let first = eviction::first_to_evict(connections.values(), now, |c| c.activity());
        let Some(connection) = first else {
            return false;
        };
        connection.lock().evict();
        true
    }

    /// Evicts the connections that have been idle longest, as many as exceed the limit on idle
    /// connections.
    fn evict_excess_idle(&self) {
        let now = self.clock.now();
        let connections = sync::lock(&self.connections);
        let excess = eviction::excess_idle(connections.values(), now, self.limits().idle, |c| {
            c.activity()
        });
        excess
            .into_iter()
            .for_each(|connection| connection.lock().evict());
    }

    /// Frees memory while the buffers of all connections together exceed their limit: evicts the
    /// connections with the largest buffers, then discards input behind requests in progress.
    fn free_memory(&self) {
        while self.buffered_bytes.load(Relaxed) > self.limits().bytes {
            let connections = sync::lock(&self.connections);
            let largest = eviction::largest_buffers(connections.values(), |c| c.activity());
            let Some(connection) = largest else {
                return;
            };
            let mut state = connection.lock();
            if !state.http.awaits_response() {
                COUNTERS.connections_evicted.increment();
                state.abort();
            }
            // The memory is freed here and not by the connection's own coroutine, which may run only
            // after many others have read more.
            state.http.discard_unread();
            self.count_memory(&mut state, true);
        }
    }

    /// Closes connections that have exceeded a time limit or the limit on idle connections, and wakes
    /// those whose input was not noticed.
    pub fn reap(&self, now: Micros) {
        self.evict_excess_idle();
        let connections = sync::lock(&self.connections);
        let idle_timeout = timeouts::idle_timeout(connections.len(), self.limits().connections);
        for (id, connection) in connections.iter() {
            let mut state = connection.lock();
            if state.has_missed_input() {
                report_missed_input(*id);
                state.wake();
            }
            if let Some(timeout) = timeouts::exceeded(&state.activity(), now, idle_timeout) {
                self.time_out(&mut state, timeout);
            }
        }
    }

    /// Closes a connection that has exceeded a time limit, after an error response if the client
    /// has sent part of a request.
    fn time_out(&self, state: &mut ConnectionState, timeout: Timeout) {
        match timeout {
            Timeout::Linger => state.abort(),
            Timeout::Idle => state.close_when_idle(),
            Timeout::Response | Timeout::FirstByte => {
                COUNTERS.client_timeouts.increment();
                state.abort();
            }
            Timeout::Request => {
                COUNTERS.client_timeouts.increment();
                state
                    .http
                    .respond_and_close(self.front.malformed_response(HttpError::TooSlow));
                state.wake();
            }
        }
    }
}

fn report_missed_input(connection: ConnectionId) {
    log_throttled(&COUNTERS.client_input_missed, || {
        tracing::warn!(
            connection = connection.0,
            "input of a client connection was not noticed"
        );
    });
}

#[cfg(test)]
mod tests;
