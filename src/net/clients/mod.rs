//! The connections of one front's clients: accepting, serving, evicting and draining them.

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
use crate::coordinator::{Input, Token, COUNTERS};
use crate::front::Front;
use crate::proto::http::HttpError;
use crate::sync;
use crate::time::{Clock, Micros};
use connection::{Connection, ConnectionState};
use may::io::CoIo;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use timeouts::Timeout;

/// The client connections of one front.
pub struct ClientConnections {
    /// The open connections by the number given to each.
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    /// Those of them that await the coordinator's answer to a request.
    awaiting: Mutex<HashMap<Token, Arc<Connection>>>,
    /// The next number of a connection or request.
    next_id: AtomicU64,
    limits: ClientLimits,
    /// Kept until the process exits: the runtime's record of a socket that another process shares must outlive its use.
    listener: Arc<CoIo<TcpListener>>,
    /// Memory that all connections hold for input and output.
    buffered_bytes: AtomicUsize,
    front: Box<dyn Front>,
    inbox: Sender<Input>,
    clock: Clock,
    lifecycle: Arc<Lifecycle>,
}

impl ClientConnections {
    /// No connections yet, and never more than the limits allow.
    pub fn new(
        front: Box<dyn Front>,
        listener: Arc<CoIo<TcpListener>>,
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
            front,
            inbox,
            clock,
            lifecycle,
        })
    }

    /// The phases of this front, which other threads may read.
    pub fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }

    /// The limits that hold at present.
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

    /// Evicts a connection to make room for another one. Returns whether one may be evicted.
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

    /// Evicts the longest idle connections beyond their limit.
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

    /// Evicts the connection with the largest buffers while all of them exceed their limit.
    fn evict_for_memory(&self) {
        if self.buffered_bytes.load(Relaxed) <= self.limits().bytes {
            return;
        }
        let connections = sync::lock(&self.connections);
        let largest = eviction::largest_without_response(connections.values(), |c| c.activity());
        if let Some(connection) = largest {
            COUNTERS.connections_evicted.increment();
            connection.lock().abort();
        }
    }

    /// Closes connections that have exceeded a time limit.
    pub fn reap(&self, now: Micros) {
        self.evict_excess_idle();
        let connections = sync::lock(&self.connections);
        let max_idle = timeouts::max_idle(connections.len(), self.limits().connections);
        for connection in connections.values() {
            let mut state = connection.lock();
            if let Some(timeout) = timeouts::exceeded(&state.activity(), now, max_idle) {
                self.time_out(&mut state, timeout);
            }
        }
    }

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

#[cfg(test)]
mod tests;
