//! Requests as fronts submit them, and the parts and attempts that they become.

use crate::interface::{AttemptNo, PartId, ShardId, TenantId};
use crate::time::Micros;
use std::any::Any;
use std::fmt;
use std::sync::Arc;

/// The id under which a front waits for the answer to a request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A query as a front submits it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Where the answer goes.
    pub token: Token,
    /// The id of the request at the servers and in logs. No two pending requests have the same one.
    pub request_id: Arc<str>,
    /// The name of its class: the class's number may change while the request is on its way to the
    /// coordinator.
    pub class: Arc<str>,
    /// Its tenant; 0 where there are none.
    pub tenant: TenantId,
    /// How long its client waits, from `sent_at`.
    pub timeout: Micros,
    /// When its client sent it, as near as its front can tell.
    pub sent_at: Micros,
    /// Its parts.
    pub parts: Vec<PartRequest>,
    /// The bytes that each attempt carries to its server.
    pub payload: Arc<[u8]>,
    /// Whether its answer counts in the metrics of its class. A front that needs several requests for one
    /// answer counts the last one itself.
    pub counted: bool,
}

/// Data of a front for its own driver. The coordinator only carries it along with a part.
#[derive(Clone)]
pub struct RequestContext(Arc<dyn Any + Send + Sync>);

impl RequestContext {
    /// A context of a type that the driver knows.
    pub fn new<T: Any + Send + Sync>(data: Arc<T>) -> Self {
        RequestContext(data)
    }

    /// The data, if it is of this type.
    #[must_use]
    pub fn get<T: Any + Send + Sync>(&self) -> Option<Arc<T>> {
        self.0.clone().downcast().ok()
    }
}

impl fmt::Debug for RequestContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RequestContext")
    }
}

impl PartialEq for RequestContext {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// A part of a request: what is asked of one shard.
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// The shard that can answer it.
    pub shard: ShardId,
    /// Its share of the answer; the weights of all parts sum to 1.
    pub weight: f64,
    /// The expected work, if the client states it.
    pub expected_work: Option<Micros>,
    /// What the driver needs beside the payload.
    pub context: Option<RequestContext>,
}

/// The identity of an attempt at a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The part.
    pub part: PartId,
    /// The number of the attempt at it, from 0.
    pub attempt: AttemptNo,
}

/// What a server returned for a part, unchanged.
pub type Value = Arc<[u8]>;
