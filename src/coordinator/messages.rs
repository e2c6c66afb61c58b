//! The messages between the coordinator and its loop: inputs, commands and answers as plain data.

use super::metrics::ClassMetrics;
use super::request::{AttemptKey, Request, RequestContext, Token, Value};
use crate::interface::{EndpointListKind, EndpointState, Outcome, ReplicaId, Settings, ShardId};
use crate::time::Micros;
use std::sync::Arc;

/// An input of the coordinator.
#[derive(Debug, Clone)]
pub enum Input {
    /// An endpoint list, or a change to it.
    EndpointUpdate(EndpointUpdate),
    /// A request that a front submits.
    Submit(Request),
    /// A client's request, without its payload, that is rejected since the payloads of the queries
    /// in flight hold too much memory.
    RejectForMemory(Request),
    /// The client disconnected: its request needs no answer any more.
    ClientDisconnected(Token),
    /// The start of an attempt's write. Some of its request is written and the rest will follow, so
    /// the server may run the attempt even if it is cancelled.
    WriteStarted(AttemptKey),
    /// The end of an attempt's write: the last byte of its request is written.
    FullyWritten(AttemptKey),
    /// The end of an attempt.
    AttemptEnded {
        /// The attempt.
        key: AttemptKey,
        /// The result of the attempt.
        end: AttemptEnd,
    },
    /// The settings of a reloaded configuration.
    Settings {
        /// The new settings.
        settings: Box<Settings>,
        /// The new maximum number of queries and parts that are pending at the same time.
        max_in_flight: usize,
    },
    /// The expiry of the loop's timer: [`next_turn_due`](super::Coordinator::next_turn_due) has
    /// been reached.
    TimerDue,
}

/// A server as an endpoint list describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEndpoint {
    /// The name of the server, which is the same after a restart.
    pub name: Arc<str>,
    /// The address on which the server listens.
    pub address: Arc<str>,
    /// The zone of the server.
    pub zone: u16,
    /// The cell of the server.
    pub cell: u16,
    /// The shards that the server holds; `None` for those of its cell.
    pub shards: Option<Vec<ShardId>>,
    /// The state of the server.
    pub state: EndpointState,
    /// The time of the server's last start; `None` if that was long ago.
    pub started_at: Option<Micros>,
}

/// An endpoint list, or a change to it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointUpdate {
    /// The kind of list: complete, or a change to the one before.
    pub kind: EndpointListKind,
    /// The version of the list, where lists have one. The version of a newer list is never lower.
    pub version: Option<u64>,
    /// The endpoints in the list.
    pub endpoints: Vec<ServerEndpoint>,
}

/// The end of an attempt, as its driver observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A value that the server returned.
    Served(Value),
    /// An end without a value; never [`Outcome::Ok`].
    Failed(Outcome),
}

/// The role of this process in a hand-over, during which both processes run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessGeneration {
    /// The process that hands over and exits.
    Predecessor,
    /// The process that takes over.
    Successor,
}

/// A command that the coordinator's loop executes; commands are executed in order.
#[derive(Debug, Clone)]
pub enum Command {
    /// Registers a server, or a change of its address or readiness.
    UpdateServer {
        /// The server.
        replica: ReplicaId,
        /// The address on which the server listens.
        address: Arc<str>,
        /// Whether the server accepts new attempts.
        ready: bool,
    },
    /// Ends the connections to the earlier incarnations of a server that has restarted.
    EndEarlierConnections {
        /// The server.
        replica: ReplicaId,
        /// A connection that was opened before this time leads to an earlier incarnation.
        opened_before: Micros,
    },
    /// Sends the attempts to a server in one call.
    Dispatch {
        /// The server to call.
        replica: ReplicaId,
        /// The attempts, at most `max_batch` of them.
        attempts: Vec<AttemptRequest>,
    },
    /// Stops waiting for an attempt.
    CancelAttempt {
        /// The server to which the attempt was dispatched.
        replica: ReplicaId,
        /// The attempt.
        key: AttemptKey,
    },
    /// Removes all state of a server that was removed from the list long ago.
    RemoveServer(ReplicaId),
    /// Closes the idle connections to a server.
    CloseIdle(ReplicaId),
    /// Gives a request its final answer.
    Reply {
        /// The request.
        token: Token,
        /// The answer.
        answer: Answer,
    },
}

/// The request of an attempt to a server.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// The id of the request to which the attempt belongs.
    pub request_id: Arc<str>,
    /// The shard that is queried.
    pub shard: ShardId,
    /// The bytes that the attempt carries to the server.
    pub payload: Arc<[u8]>,
    /// The data that the front added for its own driver.
    pub context: Option<RequestContext>,
    /// The time for which the coordinator waits for the end of the attempt.
    pub timeout: Micros,
    /// The counters that count the attempt once its last byte is written.
    pub metrics: Arc<ClassMetrics>,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// An answer from some or all parts of the request.
    Served {
        /// Whether the answered parts have the share of the weight that the class requires.
        complete: bool,
        /// The parts that were answered, in the request's order.
        parts: Vec<ServedPart>,
    },
    /// A rejection: nothing of the request ran, so a retry is safe.
    Rejected {
        /// The time that the client should wait before a retry; `None` if the response has no
        /// `Retry-After`.
        retry_after: Option<Micros>,
        /// Whether the request ran out of time: its latency objective or deadline was too near or
        /// had passed.
        late: bool,
    },
    /// A rejection because a pending request has the same id. Nothing was sent to a server.
    DuplicateRequestId,
    /// A rejection because no class of this name is active. Nothing was sent to a server.
    UnknownClass,
    /// A failure: parts of the request may have run.
    Failed {
        /// Whether the request ran out of time, as in [`Answer::Rejected`].
        late: bool,
    },
}

/// A part of a request that was answered.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedPart {
    /// The shard that was queried.
    pub shard: ShardId,
    /// The value that the server returned.
    pub value: Value,
}
