//! The upstream client of the feature servers. Each attempt is one HTTP request on a connection of
//! its own, taken from the idle connections if possible. The policy chooses the server; the
//! concurrency limits are in `limits`.

mod driver;
mod request;
mod server;

use super::Upstream;
use crate::coordinator::{AttemptEnd, AttemptKey, AttemptRequest, Input, COUNTERS};
use crate::front::ogc::config::EdgeConfig;
use crate::front::ogc::page_request::PageRequest;
use crate::interface::{Outcome, ReplicaId};
use crate::limits::{LimitRule, ServerCapacity};
use crate::proto::fetch::Fetch;
use crate::sync::lock;
use crate::time::{Clock, Micros};
use driver::{DriverContext, FetchDriver};
use may::sync::mpsc::Sender;
use request::{Cancellation, FetchRequest};
use server::FeatureServer;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

/// The maximum number of connections to all servers.
const MAX_CONNECTIONS: usize = 200;

/// The feature servers with their connections, and the attempts at them.
pub struct FeatureClient {
    servers: HashMap<ReplicaId, Arc<Mutex<FeatureServer>>>,
    /// The cancellations of the attempts that the coordinator may still cancel.
    cancellations: HashMap<AttemptKey, Arc<Cancellation>>,
    /// The maximum length of a response body, in bytes.
    max_body: usize,
    /// The rule by which each server's concurrency limit is set.
    limit_rule: LimitRule,
    context: DriverContext,
}

impl FeatureClient {
    /// Creates a client without servers. The ends of attempts are sent to `inbox`, the throughput
    /// of servers is reported to `capacity`.
    #[must_use]
    pub fn new(
        edge: &EdgeConfig,
        inbox: Sender<Input>,
        clock: Clock,
        capacity: Arc<ServerCapacity>,
    ) -> Self {
        FeatureClient {
            servers: HashMap::new(),
            cancellations: HashMap::new(),
            max_body: edge.max_bytes,
            limit_rule: edge.concurrency_rule(),
            context: DriverContext {
                inbox,
                clock,
                connect_timeout: Micros::from_millis(edge.dial_timeout_ms),
                idle_timeout: Micros::from_millis(edge.idle_timeout_ms),
                capacity,
            },
        }
    }

    /// Returns whether one more connection may be opened. Closes idle connections if necessary.
    fn ensure_connection_capacity(&self) -> bool {
        let total = |count: fn(&FeatureServer) -> usize| -> usize {
            self.servers
                .values()
                .map(|server| count(&lock(server)))
                .sum()
        };
        if total(|server| server.in_flight + server.idle.len()) >= MAX_CONNECTIONS {
            self.servers
                .values()
                .for_each(|server| lock(server).idle.clear());
        }
        total(|server| server.in_flight) < MAX_CONNECTIONS
    }

    /// Starts an attempt, or queues it at its server.
    fn start(&mut self, replica: ReplicaId, request: &AttemptRequest) -> Result<(), Outcome> {
        if !self.ensure_connection_capacity() {
            // Nothing was sent, as with a server that refuses connections.
            return Err(Outcome::ConnectFailed);
        }
        let now = self.context.clock.now();
        let server = self.servers.get(&replica).ok_or(Outcome::NotSent)?;
        let page_request = page_request(request).ok_or(Outcome::NotSent)?;
        let cancellation = Arc::new(Cancellation::default());
        let startable = {
            let mut state = lock(server);
            let address = state.ready_address().ok_or(Outcome::NotSent)?;
            if state.is_overloaded(now) {
                // Nothing was sent, so the attempt counts as rejected.
                return Err(Outcome::Rejected);
            }
            let fetch = Fetch::new(
                page_request.start_attempt(&address.to_string()),
                self.max_body,
            );
            let fetch_request = FetchRequest {
                key: request.key,
                replica,
                address,
                fetch,
                page_request,
                cancellation: cancellation.clone(),
                metrics: request.metrics.clone(),
            };
            state.admit(fetch_request, now)
        };
        self.cancellations.insert(request.key, cancellation);
        if let Some(request) = startable {
            self.start_driver(request, server.clone());
        }
        Ok(())
    }

    fn start_driver(&self, request: FetchRequest, server: Arc<Mutex<FeatureServer>>) {
        FetchDriver {
            request,
            server,
            context: self.context.clone(),
        }
        .start();
    }

    fn fail(&self, key: AttemptKey, outcome: Outcome) {
        let _ = self.context.inbox.send(Input::AttemptEnded {
            key,
            end: AttemptEnd::Failed(outcome),
        });
    }
}

/// Returns the page request that the front attached to an attempt.
fn page_request(request: &AttemptRequest) -> Option<Arc<PageRequest>> {
    request.context.as_ref()?.get::<PageRequest>()
}

impl Upstream for FeatureClient {
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, _now: Micros) {
        let new_server = || Arc::new(Mutex::new(FeatureServer::new(self.limit_rule)));
        let server = self.servers.entry(replica).or_insert_with(new_server);
        let mut state = lock(server);
        let address = address.parse().ok();
        if state.address != address || !ready {
            state.idle.clear();
        }
        state.address = address;
        state.ready = ready;
        self.context.capacity.report(replica, state.throughput());
        // A draining server gets no new requests, so its queued attempts end as not sent.
        let unsent = if ready {
            VecDeque::new()
        } else {
            state.take_queue()
        };
        drop(state);
        for request in unsent {
            self.fail(request.key, Outcome::NotSent);
        }
    }

    fn dispatch(&mut self, replica: ReplicaId, requests: &[AttemptRequest], _now: Micros) {
        for request in requests {
            if let Err(outcome) = self.start(replica, request) {
                self.fail(request.key, outcome);
            }
        }
    }

    fn cancel(&mut self, _replica: ReplicaId, key: AttemptKey, _now: Micros) {
        if let Some(cancellation) = self.cancellations.remove(&key) {
            cancellation.cancel();
        }
    }

    fn remove_server(&mut self, replica: ReplicaId) {
        self.servers.remove(&replica);
        self.context.capacity.report(replica, None);
    }

    fn close_idle(&mut self, replica: ReplicaId) {
        if let Some(server) = self.servers.get(&replica) {
            lock(server).idle.clear();
        }
    }

    fn reap(&mut self, now: Micros, in_flight: &dyn Fn(AttemptKey) -> bool) {
        for server in self.servers.values() {
            let mut state = lock(server);
            COUNTERS
                .server_connections_idle_closed
                .add(state.close_expired(now, self.context.idle_timeout));
            state.remove_cancelled();
            // If a backoff that the server requested is over, queued attempts may start.
            let startable = state.take_startable(now);
            drop(state);
            for request in startable {
                self.start_driver(request, server.clone());
            }
        }
        self.cancellations.retain(|key, _| in_flight(*key));
    }
}
