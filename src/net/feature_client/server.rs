//! The state of one feature server: its idle connections, its concurrency limit and the attempts that wait for it.

use super::request::FetchRequest;
use crate::limits::{ConcurrencyLimiter, LimitRule};
use crate::time::Micros;
use may::net::TcpStream;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The most attempts that wait at a server, as a multiple of its limit: more would only find out late that they cannot be
/// served in time.
const MAX_QUEUED_RATIO: usize = 4;

/// A connection that may carry another request.
pub(super) struct IdleConnection {
    pub(super) stream: TcpStream,
    pub(super) idle_since: Micros,
}

/// A feature server.
pub(super) struct FeatureServer {
    pub(super) address: Option<SocketAddr>,
    pub(super) ready: bool,
    pub(super) idle: Vec<IdleConnection>,
    /// The attempts that have a slot of the limit.
    pub(super) in_flight: usize,
    pub(super) limiter: ConcurrencyLimiter,
    /// The attempts that wait for a slot, the oldest first.
    queue: VecDeque<FetchRequest>,
}

impl FeatureServer {
    /// A server whose address is not known yet.
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

    /// Where attempts are sent, if the server takes new ones.
    pub(super) fn ready_address(&self) -> Option<SocketAddr> {
        self.address.filter(|_| self.ready)
    }

    /// How many requests a second it can serve, if that is measured and the server takes new ones.
    pub(super) fn throughput(&self) -> Option<f64> {
        self.limiter.throughput().filter(|_| self.ready)
    }

    /// Whether it has asked for a pause, or more attempts wait than it can serve in time.
    pub(super) fn is_overloaded(&self, now: Micros) -> bool {
        self.limiter.is_backing_off(now)
            || self.queue.len() >= MAX_QUEUED_RATIO * self.limiter.limit()
    }

    /// Returns the attempt if it may start now, with its slot taken; it waits in the queue otherwise.
    pub(super) fn admit(&mut self, request: FetchRequest, now: Micros) -> Option<FetchRequest> {
        if self.limiter.has_capacity(self.in_flight, now) && self.queue.is_empty() {
            self.in_flight += 1;
            return Some(request);
        }
        self.queue.push_back(request);
        None
    }

    /// Takes the attempts from the queue that may start now; their slots are taken.
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

    /// Takes all attempts from the queue.
    pub(super) fn take_queue(&mut self) -> VecDeque<FetchRequest> {
        std::mem::take(&mut self.queue)
    }

    /// Removes cancelled attempts from the queue.
    pub(super) fn remove_cancelled(&mut self) {
        self.queue
            .retain(|request| !request.cancellation.is_cancelled());
    }

    /// Closes connections that were idle for `idle_limit`; how many.
    pub(super) fn close_expired(&mut self, now: Micros, idle_limit: Micros) -> usize {
        let before = self.idle.len();
        self.idle
            .retain(|connection| now.since(connection.idle_since) < idle_limit);
        before - self.idle.len()
    }
}
