//! The state of one feature server: its idle connections, its concurrency limit and the attempts
//! that wait for it.

use super::request::FetchRequest;
use crate::limits::{ConcurrencyLimiter, LimitRule};
use crate::time::Micros;
use may::net::TcpStream;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The maximum number of queued attempts at a server, as a multiple of its concurrency limit.
/// Attempts beyond it are rejected at once, since they could not be served in time.
const MAX_QUEUED_RATIO: usize = 4;

/// A connection that may carry another request.
pub(super) struct IdleConnection {
    /// The connection.
    pub(super) stream: TcpStream,
    /// The time of the last response on the connection.
    pub(super) idle_since: Micros,
}

/// A feature server: its address and connections, its concurrency limit and its queue.
pub(super) struct FeatureServer {
    /// The address; `None` if the endpoint list has no valid one.
    pub(super) address: Option<SocketAddr>,
    /// Whether the server accepts new attempts.
    pub(super) ready: bool,
    /// The idle connections, the most recently used one last.
    pub(super) idle: Vec<IdleConnection>,
    /// The number of attempts that have a slot of the limit.
    pub(super) in_flight: usize,
    /// The concurrency limit.
    pub(super) limiter: ConcurrencyLimiter,
    /// The attempts that wait for a slot, oldest first.
    queue: VecDeque<FetchRequest>,
}

impl FeatureServer {
    /// Creates a server whose address is not known yet.
    pub(super) fn new(rule: LimitRule) -> Self {
        FeatureServer {
            address: None,
            ready: false,
            idle: Vec::new(),
            in_flight: 0,
            limiter: ConcurrencyLimiter::new(rule),
            queue: VecDeque::new(),
        }
    }

    /// Returns the address, if the server accepts new attempts.
    pub(super) fn ready_address(&self) -> Option<SocketAddr> {
        self.address.filter(|_| self.ready)
    }

    /// Returns the measured throughput in requests per second, if there is one and the server
    /// accepts new attempts.
    pub(super) fn throughput(&self) -> Option<f64> {
        self.limiter.throughput().filter(|_| self.ready)
    }

    /// Returns whether the server has requested a backoff that is not over, or its queue is full.
    pub(super) fn is_overloaded(&self, now: Micros) -> bool {
        self.limiter.is_backing_off(now)
            || self.queue.len() >= MAX_QUEUED_RATIO * self.limiter.limit()
    }

    /// Takes a slot and returns the attempt if it may start now. Queues it otherwise.
    pub(super) fn admit(&mut self, request: FetchRequest, now: Micros) -> Option<FetchRequest> {
        if self.limiter.has_capacity(self.in_flight, now) && self.queue.is_empty() {
            self.in_flight += 1;
            return Some(request);
        }
        self.queue.push_back(request);
        None
    }

    /// Removes the attempts that may start now from the queue, takes their slots and returns them.
    pub(super) fn take_startable(&mut self, now: Micros) -> Vec<FetchRequest> {
        let mut startable = Vec::new();
        while self.ready && self.limiter.has_capacity(self.in_flight, now) {
            let Some(request) = self.queue.pop_front() else {
                break;
            };
            if !request.cancellation.is_cancelled() {
                self.in_flight += 1;
                startable.push(request);
            }
        }
        startable
    }

    /// Removes all attempts from the queue and returns them.
    pub(super) fn take_queue(&mut self) -> VecDeque<FetchRequest> {
        std::mem::take(&mut self.queue)
    }

    /// Removes cancelled attempts from the queue.
    pub(super) fn remove_cancelled(&mut self) {
        self.queue
            .retain(|request| !request.cancellation.is_cancelled());
    }

    /// Closes connections that were idle for `idle_timeout`. Returns their number.
    pub(super) fn close_expired(&mut self, now: Micros, idle_timeout: Micros) -> usize {
        let before = self.idle.len();
        self.idle
            .retain(|connection| now.since(connection.idle_since) < idle_timeout);
        before - self.idle.len()
    }
}
