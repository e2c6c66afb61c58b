//! The upstream client of the data nodes. A connection multiplexes attempts, so a single one is
//! enough for a responsive node. The policy chooses the node; the protocol is in `proto::frames`.
//!
//! The counters of connections and bad frames are global, as the documentation of `net` explains.

mod connection;
mod driver;
mod silence;

use super::Upstream;
use crate::coordinator::{log_throttled, AttemptEnd, AttemptKey, AttemptRequest, Input, COUNTERS};
use crate::interface::{Outcome, ReplicaId};
use crate::proto::frames::AttemptEvent;
use crate::settings::CoordinatorSettings;
use crate::time::{Clock, Micros};
use connection::NodeConnection;
use driver::{ConnectionDriver, DialTarget, DriverContext};
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The time by which an idle connection is closed before the node's own idle timeout. A write after
/// that timeout is answered by a reset, and an attempt on a connection that was reset may have run.
const IDLE_MARGIN: Micros = Micros::from_secs(3);
/// The maximum number of connections to one node.
const MAX_CONNECTIONS_PER_NODE: usize = 4;

/// A data node and the connections to it.
struct Node {
    /// The address; `None` if the endpoint list has no valid one.
    address: Option<SocketAddr>,
    /// Whether the node accepts new attempts.
    ready: bool,
    /// The connections that have not ended, oldest first.
    connections: Vec<Arc<NodeConnection>>,
}

/// The limits on the use of a connection.
#[derive(Clone, Copy)]
struct ConnectionLimits {
    /// The timeout of a connect to a node.
    connect_timeout: Micros,
    /// The time after which an idle connection is closed.
    idle_timeout: Micros,
    /// The maximum number of attempts in flight on a connection.
    max_attempts: usize,
}

impl ConnectionLimits {
    fn new(settings: &CoordinatorSettings) -> Self {
        let node_idle_timeout = Micros::from_nanos(settings.idle_timeout);
        ConnectionLimits {
            connect_timeout: Micros::from_nanos(settings.connect_timeout),
            idle_timeout: (node_idle_timeout - IDLE_MARGIN).max(Micros(node_idle_timeout.0 / 2)),
            max_attempts: settings.max_streams_per_connection,
        }
    }
}

/// The existing connections to a node that may carry new attempts; at most one is set.
#[derive(Default)]
struct Candidates {
    /// A connection that is neither silent nor in the middle of a frame.
    responsive: Option<Arc<NodeConnection>>,
    /// A connection that is silent or in the middle of a frame.
    unresponsive: Option<Arc<NodeConnection>>,
}

impl Node {
    /// Returns the first responsive connection for these attempts, or else the last unresponsive
    /// one. Closes connections that have been idle for too long.
    fn find_candidates(
        &self,
        requests: &[AttemptRequest],
        limits: ConnectionLimits,
        silence_timeout: Micros,
        now: Micros,
    ) -> Candidates {
        let mut unresponsive = None;
        for connection in &self.connections {
            let mut state = connection.lock();
            if state.is_idle_for(limits.idle_timeout, now) {
                state.close_when_idle();
            }
            if !state.accepts(requests, limits.max_attempts) {
                continue;
            }
            // A connection can become unresponsive while its node is healthy, so new attempts use
            // another one if possible.
            if state.is_responsive(now, silence_timeout) {
                return Candidates {
                    responsive: Some(connection.clone()),
                    unresponsive: None,
                };
            }
            unresponsive = Some(connection.clone());
        }
        Candidates {
            responsive: None,
            unresponsive,
        }
    }
}

/// The pool of connections to all data nodes.
pub struct NodeClient {
    nodes: HashMap<ReplicaId, Node>,
    limits: ConnectionLimits,
    context: DriverContext,
}

impl NodeClient {
    /// Creates a pool without connections. The progress and the ends of attempts are reported to
    /// `inbox`.
    #[must_use]
    pub fn new(settings: &CoordinatorSettings, inbox: Sender<Input>, clock: Clock) -> Self {
        NodeClient {
            nodes: HashMap::new(),
            limits: ConnectionLimits::new(settings),
            context: DriverContext {
                inbox,
                clock,
                baseline: Arc::default(),
            },
        }
    }

    /// Returns a connection for these attempts: a responsive one, or else a new one, or else an
    /// unresponsive one. Returns `None` if the node is not ready.
    fn connection_for(
        &mut self,
        replica: ReplicaId,
        requests: &[AttemptRequest],
        now: Micros,
    ) -> Option<Arc<NodeConnection>> {
        let node = self.nodes.get_mut(&replica)?;
        let address = node.address.filter(|_| node.ready)?;
        node.connections
            .retain(|connection| !connection.lock().closed);
        let silence_timeout = self.context.baseline.silence_timeout();
        let candidates = node.find_candidates(requests, self.limits, silence_timeout, now);
        if candidates.responsive.is_some() {
            return candidates.responsive;
        }
        if node.connections.len() >= MAX_CONNECTIONS_PER_NODE {
            return candidates.unresponsive;
        }
        let connection = Arc::new(NodeConnection::opened_at(now));
        node.connections.push(connection.clone());
        self.dial(connection, address)
    }

    /// Starts the driver of a new connection, and returns the connection. Returns `None` if the
    /// driver cannot be started.
    fn dial(
        &self,
        connection: Arc<NodeConnection>,
        address: SocketAddr,
    ) -> Option<Arc<NodeConnection>> {
        COUNTERS.dials.increment();
        let driver = ConnectionDriver::new(connection.clone(), self.context.clone());
        if driver
            .start(DialTarget {
                address,
                timeout: self.limits.connect_timeout,
            })
            .is_err()
        {
            connection.lock().closed = true;
            return None;
        }
        Some(connection)
    }
}

impl Upstream for NodeClient {
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, _now: Micros) {
        let address = address.parse().ok();
        let node = self.nodes.entry(replica).or_insert(Node {
            address,
            ready,
            connections: Vec::new(),
        });
        let address_changed = node.address != address;
        node.address = address;
        node.ready = ready;
        if !address_changed && ready {
            return;
        }
        // The node is draining or has another address: attempts that are queued for its connections
        // must be sent neither on these nor on another connection.
        for connection in &node.connections {
            let reclaimed = connection.lock().drain();
            self.context.forward(reclaimed);
        }
    }

    fn end_earlier_connections(&mut self, replica: ReplicaId, opened_before: Micros) {
        let Some(node) = self.nodes.get(&replica) else {
            return;
        };
        for connection in &node.connections {
            let mut state = connection.lock();
            if state.opened_at() < opened_before {
                let unsent = state.supersede();
                drop(state);
                self.context.forward(unsent);
            }
        }
    }

    fn dispatch(&mut self, replica: ReplicaId, requests: &[AttemptRequest], now: Micros) {
        match self.connection_for(replica, requests, now) {
            Some(connection) => connection.lock().dispatch(requests, now),
            None => self.context.forward(requests.iter().map(|request| {
                AttemptEvent::Ended(request.key, AttemptEnd::Failed(Outcome::ConnectFailed))
            })),
        }
    }

    fn cancel(&mut self, replica: ReplicaId, key: AttemptKey, now: Micros) {
        let silence_timeout = self.context.baseline.cancelled_silence_timeout();
        let Some(node) = self.nodes.get(&replica) else {
            return;
        };
        for connection in &node.connections {
            let mut state = connection.lock();
            if state.protocol.contains(key) && state.cancel(key, now, silence_timeout) {
                COUNTERS.server_connections_unresponsive.increment();
            }
        }
    }

    fn remove_server(&mut self, replica: ReplicaId) {
        let Some(node) = self.nodes.remove(&replica) else {
            return;
        };
        // No attempt is in flight on these connections, so those that are still open close at once.
        for connection in &node.connections {
            connection.lock().close_when_idle();
        }
    }

    fn close_idle(&mut self, replica: ReplicaId) {
        let Some(node) = self.nodes.get(&replica) else {
            return;
        };
        for connection in &node.connections {
            let mut state = connection.lock();
            if state.protocol.is_idle() {
                state.close_when_idle();
            }
        }
    }

    fn reconfigure(&mut self, settings: &CoordinatorSettings) {
        self.limits = ConnectionLimits::new(settings);
    }

    fn reap(&mut self, now: Micros, _in_flight: &dyn Fn(AttemptKey) -> bool) {
        let idle_timeout = self.limits.idle_timeout;
        for node in self.nodes.values_mut() {
            let address = node.address;
            node.connections
                .retain(|connection| !reap_connection(connection, address, idle_timeout, now));
        }
    }
}

/// Closes a connection that is corrupt or has been idle for too long. Returns whether the
/// connection has ended.
fn reap_connection(
    connection: &NodeConnection,
    address: Option<SocketAddr>,
    idle_timeout: Micros,
    now: Micros,
) -> bool {
    let mut state = connection.lock();
    if state.is_frame_overdue(now) && !state.corrupt {
        log_throttled(&COUNTERS.bad_frames, || {
            let address = address.map(tracing::field::display);
            tracing::warn!(
                address,
                "data node connection closed after an incomplete frame"
            );
        });
        state.close_corrupt();
    }
    if state.is_idle_for(idle_timeout, now) && !state.closing {
        COUNTERS.server_connections_idle_closed.increment();
        state.close_when_idle();
    }
    state.closed
}
