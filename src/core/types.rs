//! Requests, attempts and outcomes as plain data. No wire's words here.

use super::figures::Tally;
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
    pub label: Arc<str>,
    /// The name of its class: numbers may change while it is on its way to the core.
    pub class: Arc<str>,
    /// Its tenant; 0 where there are none.
    pub tenant: TenantId,
    /// How long its client waits, from `sent`.
    pub patience: Micros,
    /// When its client sent it, as near as its front can tell.
    pub sent: Micros,
    /// Its parts.
    pub parts: Vec<PartOf>,
    /// What each part carries to its server.
    pub text: Arc<[u8]>,
    /// Its end is an end for its client, and counts as one in the figures. A front that asks in several rounds counts the
    /// end of the last one itself.
    pub counted: bool,
}

/// What a front hands to its own driver along with a part; the core only carries it.
#[derive(Clone)]
pub struct Errand(Arc<dyn Any + Send + Sync>);

impl Errand {
    /// An errand that the driver knows by its type.
    pub fn new<T: Any + Send + Sync>(what: Arc<T>) -> Self {
        Errand(what)
    }

    /// What was handed in, if it is of this type.
    pub fn get<T: Any + Send + Sync>(&self) -> Option<Arc<T>> {
        self.0.clone().downcast().ok()
    }
}

impl fmt::Debug for Errand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Errand")
    }
}

impl PartialEq for Errand {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// A part of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct PartOf {
    /// Where it can be answered.
    pub shard: ShardId,
    /// Its share of the answer.
    pub weight: f64,
    /// Expected work, where told.
    pub hint: Option<Micros>,
    /// What its driver needs beside the request's text.
    pub errand: Option<Errand>,
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
pub enum End {
    /// Served with this.
    Served(Value),
    /// Anything else; never [`Outcome::Ok`].
    Not(Outcome),
}

/// A server as a roster names it.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
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
    pub state: crate::interface::MemberState,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// News of the servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Roster {
    /// How much of the list this is.
    pub kind: crate::interface::ListKind,
    /// Its version, where lists have one: a later list has no lower one.
    pub version: Option<u64>,
    /// Its lines.
    pub nodes: Vec<Node>,
}

/// What reaches the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// News of the servers.
    Roster(Roster),
    /// A request was taken.
    Ask(Request),
    /// The client that waited for this has left.
    Left(Token),
    /// Some of the attempt's request has left this machine: what is left of it follows, so it can't be taken back.
    Begun(AttemptKey),
    /// The attempt's request has left this machine whole: from here on it may run.
    Written(AttemptKey),
    /// An attempt ended.
    Ended(AttemptKey, End),
    /// The settings change, and with them how many queries and parts may be held.
    Settings(Box<Settings>, usize),
    /// It is time: something is due.
    Due,
}

/// What an attempt asks of a server.
#[derive(Debug, Clone)]
pub struct Job {
    /// Which attempt.
    pub key: AttemptKey,
    /// The request's label.
    pub label: Arc<str>,
    /// Which shard.
    pub shard: ShardId,
    /// What it carries.
    pub text: Arc<[u8]>,
    /// What the front handed in for its driver.
    pub errand: Option<Errand>,
    /// How long this program will wait for it.
    pub patience: Micros,
    /// Where it is counted once its last byte is written.
    pub tally: Arc<Tally>,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Answered from these parts.
    Served {
        /// It is whole.
        whole: bool,
        /// The shards that are in, with what they gave, in the request's order.
        parts: Vec<(ShardId, Value)>,
    },
    /// Sent back: asking again does no harm.
    Refused {
        /// When to come back, where clients are told.
        come_back: Option<Micros>,
        /// Its time ran out first.
        late: bool,
    },
    /// Its label is that of a request that is still open: it was not begun.
    Taken,
    /// Its class is none (any more): it was not begun.
    NoClass,
    /// Given up, with no promise.
    Failed {
        /// Its time ran out first.
        late: bool,
    },
}

/// What the core wants done, in order.
#[derive(Debug, Clone)]
pub enum Command {
    /// This is where a server is, and whether it takes new work.
    Server(ReplicaId, Arc<str>, bool),
    /// Start these attempts in one call.
    Launch(ReplicaId, Vec<Job>),
    /// Stop waiting for an attempt.
    CallOff(ReplicaId, AttemptKey),
    /// A server is gone for good: nothing of it needs to be kept.
    Forget(ReplicaId),
    /// Close idle connections.
    CloseIdle(ReplicaId),
    /// Give this answer.
    Reply(Token, Answer),
}
