//! Requests, attempts and outcomes as plain data. No wire's words here.

use super::metrics::ClassMetrics;
use crate::interface::{AttemptNo, Outcome, PartId, ReplicaId, Settings, ShardId, TenantId};
use crate::time::Micros;
use std::any::Any;
use std::fmt;
use std::sync::Arc;

/// How a front names a request that it waits for; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A query as a front hands it in.
#[derive(Debug, Clone)]
pub struct Request {
    /// Where the answer goes.
    pub token: Token,
    /// What the request is called at the servers and in logs.
    pub request_id: Arc<str>,
    /// The name of its class: numbers may change while it is on its way to the core.
    pub class: Arc<str>,
    /// Its tenant; 0 where there are none.
    pub tenant: TenantId,
    /// How long its client waits, from `sent`.
    pub timeout: Micros,
    /// When its client sent it, as near as its front can tell.
    pub sent_at: Micros,
    /// Its parts.
    pub parts: Vec<PartRequest>,
    /// What each part carries to its server.
    pub payload: Arc<[u8]>,
    /// Its end is an end for its client, and counts as one in the figures. A front that asks in several rounds counts the
    /// end of the last one itself.
    pub counted: bool,
}

/// What a front hands to its own driver along with a part; the core only carries it.
#[derive(Clone)]
pub struct RequestContext(Arc<dyn Any + Send + Sync>);

impl RequestContext {
    /// An errand that the driver knows by its type.
    pub fn new<T: Any + Send + Sync>(what: Arc<T>) -> Self {
        RequestContext(what)
    }

    /// What was handed in, if it is of this type.
    pub fn get<T: Any + Send + Sync>(&self) -> Option<Arc<T>> {
        self.0.clone().downcast().ok()
    }
}

impl fmt::Debug for RequestContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Errand")
    }
}

impl PartialEq for RequestContext {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// A part of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// Where it can be answered.
    pub shard: ShardId,
    /// Its share of the answer.
    pub weight: f64,
    /// Expected work, where told.
    pub expected_work: Option<Micros>,
    /// What its driver needs beside the request's text.
    pub context: Option<RequestContext>,
}

/// One attempt at a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The part.
    pub part: PartId,
    /// Which attempt at it.
    pub attempt: AttemptNo,
}

/// What a server gave for a part, untouched.
pub type Value = Arc<[u8]>;

/// How an attempt ended, as its driver saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Served with this.
    Served(Value),
    /// Anything else; never [`Outcome::Ok`].
    Failed(Outcome),
}

/// A server as an endpoint list describes it.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeEndpoint {
    /// Its lasting name.
    pub name: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// The shards it holds, where its cell does not tell.
    pub shards: Option<Vec<ShardId>>,
    /// Its state.
    pub state: crate::interface::EndpointState,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// News of the servers.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointUpdate {
    /// How much of the list this is.
    pub kind: crate::interface::EndpointListKind,
    /// Its version, where lists have one: a later list has no lower one.
    pub version: Option<u64>,
    /// Its lines.
    pub endpoints: Vec<NodeEndpoint>,
}

/// Which of two processes this one is while a new version is started beside the running one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessGeneration {
    /// The one that has served so far.
    Predecessor,
    /// The one that takes over.
    Successor,
}

/// What reaches the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// News of the servers.
    EndpointUpdate(EndpointUpdate),
    /// A request was taken.
    Submit(Request),
    /// The client that waited for this has left.
    ClientLeft(Token),
    /// Some of the attempt's request has left this machine: what is left of it follows, so it can't be taken back.
    WriteStarted(AttemptKey),
    /// The attempt's request has left this machine whole: from here on it may run.
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
        /// How many queries and parts may be reserved at the same time from now on.
        max_in_flight: usize,
    },
    /// It is time: something is due.
    TimerDue,
}

/// What an attempt asks of a server.
#[derive(Debug, Clone)]
pub struct AttemptRequest {
    /// Which attempt.
    pub key: AttemptKey,
    /// The request's label.
    pub request_id: Arc<str>,
    /// Which shard.
    pub shard: ShardId,
    /// What it carries.
    pub payload: Arc<[u8]>,
    /// What the front handed in for its driver.
    pub context: Option<RequestContext>,
    /// How long this program will wait for it.
    pub timeout: Micros,
    /// Where it is counted once its last byte is written.
    pub metrics: Arc<ClassMetrics>,
}

/// A part of a request that was answered.
#[derive(Debug, Clone, PartialEq)]
pub struct ServedPart {
    /// The shard that it was asked of.
    pub shard: ShardId,
    /// What the server returned.
    pub value: Value,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Answered from these parts.
    Served {
        /// Whether every part was answered, as far as the class requires it.
        complete: bool,
        /// The parts that were answered, in the request's order.
        parts: Vec<ServedPart>,
    },
    /// Sent back: asking again does no harm.
    Rejected {
        /// When to come back, where clients are told.
        retry_after: Option<Micros>,
        /// Its time ran out first.
        late: bool,
    },
    /// Its label is that of a request that is still open: it was not begun.
    DuplicateRequestId,
    /// Its class is none (any more): it was not begun.
    UnknownClass,
    /// Given up, with no promise.
    Failed {
        /// Its time ran out first.
        late: bool,
    },
}

/// What the core wants done, in order.
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
    /// A server is gone for good: nothing of it needs to be kept.
    RemoveServer(ReplicaId),
    /// Close idle connections.
    CloseIdle(ReplicaId),
    /// Give a request its final answer.
    Reply {
        /// The request.
        token: Token,
        /// Its answer.
        answer: Answer,
    },
}
