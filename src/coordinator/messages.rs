//! The messages between the coordinator and the program around it: inputs, commands and answers as plain
//! data.

use super::metrics::ClassMetrics;
use super::request::{AttemptKey, Request, RequestContext, Token, Value};
use crate::interface::{EndpointListKind, EndpointState, Outcome, ReplicaId, Settings, ShardId};
use crate::time::Micros;
use std::sync::Arc;

/// What reaches the coordinator.
#[derive(Debug, Clone)]
pub enum Input {
    /// An endpoint list, or a change to it.
    EndpointUpdate(EndpointUpdate),
    /// A front submits a request.
    Submit(Request),
    /// The client of a request has closed its connection.
    ClientLeft(Token),
    /// Some of an attempt's request was written. The rest follows, so it can't be taken back.
    WriteStarted(AttemptKey),
    /// An attempt's request was written to the last byte.
    FullyWritten(AttemptKey),
    /// An attempt ended.
    AttemptEnded {
        /// Which attempt.
        key: AttemptKey,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The configuration was reloaded.
    Settings {
        /// The settings from now on.
        settings: Box<Settings>,
        /// How many queries and parts may be pending at the same time from now on.
        max_in_flight: usize,
    },
    /// The timer fired: something is due.
    TimerDue,
}

/// A server as an endpoint list describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEndpoint {
    /// Its name, which it keeps over restarts.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// The shards that it holds; `None` if those of its cell.
    pub shards: Option<Vec<ShardId>>,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// An endpoint list, or a change to it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointUpdate {
    /// Whether it is complete.
    pub kind: EndpointListKind,
    /// Its version, where lists have one: it never decreases from one list to the next.
    pub version: Option<u64>,
    /// The endpoints in it.
    pub endpoints: Vec<NodeEndpoint>,
}

/// How an attempt ended, as its driver saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server returned this value.
    Served(Value),
    /// Any other end; never [`Outcome::Ok`].
    Failed(Outcome),
}

/// Which of two processes this one is while a new version is started beside the running one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessGeneration {
    /// The one that has served so far.
    Predecessor,
    /// The one that takes over.
    Successor,
}

/// What the drivers are to do, in order.
#[derive(Debug, Clone)]
pub enum Command {
    /// A server was added, or its address or readiness changed.
    UpdateServer {
        /// The server.
        replica: ReplicaId,
        /// Where it listens.
        address: Arc<str>,
        /// Whether it accepts new attempts.
        ready: bool,
    },
    /// Start these attempts in one call.
    Dispatch {
        /// The server to call.
        replica: ReplicaId,
        /// The attempts, at most `max_batch` of them.
        attempts: Vec<AttemptRequest>,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The server that it was dispatched to.
        replica: ReplicaId,
        /// Which attempt.
        key: AttemptKey,
    },
    /// A server was removed long ago: nothing of it needs to be kept.
    RemoveServer(ReplicaId),
    /// Close the idle connections to a server.
    CloseIdle(ReplicaId),
    /// Give a request its final answer.
    Reply {
        /// The request.
        token: Token,
        /// Its answer.
        answer: Answer,
    },
}

/// What an attempt asks of a server.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// Which attempt.
    pub key: AttemptKey,
    /// The id of its request.
    pub request_id: Arc<str>,
    /// The shard that is asked.
    pub shard: ShardId,
    /// The bytes that it carries.
    pub payload: Arc<[u8]>,
    /// What the front added for its driver.
    pub context: Option<RequestContext>,
    /// How long the coordinator waits for its end.
    pub timeout: Micros,
    /// Where it is counted once its last byte is written.
    pub metrics: Arc<ClassMetrics>,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Answered from some or all of its parts.
    Served {
        /// Whether the class's required share of the parts was answered.
        complete: bool,
        /// The parts that were answered, in the request's order.
        parts: Vec<ServedPart>,
    },
    /// Rejected: a retry does no harm.
    Rejected {
        /// After what time a retry has better prospects, where clients are informed of it.
        retry_after: Option<Micros>,
        /// Its time ran out.
        late: bool,
    },
    /// Its id is that of a pending request: nothing of it was sent.
    DuplicateRequestId,
    /// Its class does not exist, or no longer does: nothing of it was sent.
    UnknownClass,
    /// Failed: parts of it may have run.
    Failed {
        /// Its time ran out.
        late: bool,
    },
}

/// A part of a request that was answered.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedPart {
    /// The shard that was asked.
    pub shard: ShardId,
    /// What the server returned.
    pub value: Value,
}
