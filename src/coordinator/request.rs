//! Requests as fronts submit them, and the parts and attempts into which they are divided.

use crate::interface::{AttemptNo, PartId, ShardId, TenantId};
use crate::time::Micros;
use std::any::Any;
use std::fmt;
use std::sync::Arc;

/// An identifier under which a front waits for the answer to a request; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A query as a front submits it.
#[derive(Debug, Clone)]
pub struct Request {
    /// The identifier under which the front waits for the answer.
    pub token: Token,
    /// The id of the request at the servers and in logs. No two pending requests have the same one.
    pub request_id: Arc<str>,
    /// The name of the class. The class's number may change before the coordinator receives the
    /// request.
    pub class: Arc<str>,
    /// The tenant; 0 if the front does not distinguish tenants.
    pub tenant: TenantId,
    /// The time for which the client waits, from `sent_at`.
    pub timeout: Micros,
    /// The time at which the client sent the request, as precisely as the front can determine it.
    pub sent_at: Micros,
    /// The parts of the request.
    pub parts: Vec<PartRequest>,
    /// The bytes that each attempt carries to its server.
    pub payload: Arc<[u8]>,
    /// Whether the answer counts in the metrics of the class. A front that submits several requests
    /// for one response counts that response itself.
    pub counted: bool,
}

impl Request {
    /// Returns the memory that the request holds until its answer, in bytes: its payload, and a copy
    /// for each part that may be waiting to be written to a server.
    #[must_use]
    pub fn payload_memory(&self) -> usize {
        self.payload.len().saturating_mul(1 + self.parts.len())
    }
}

/// Data of a front for its own driver. The coordinator passes it on with a part and does not read
/// it.
#[derive(Clone)]
pub struct RequestContext(Arc<dyn Any + Send + Sync>);

impl RequestContext {
    /// Creates a context of the type that the driver expects.
    pub fn new<T: Any + Send + Sync>(data: Arc<T>) -> Self {
        RequestContext(data)
    }

    /// Returns the data if it is of this type.
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

/// A part of a request: the query to one shard.
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// The shard that can answer the part.
    pub shard: ShardId,
    /// The share of the part in a complete answer; the weights of all parts sum to 1.
    pub weight: f64,
    /// The expected work, if the client states it.
    pub expected_work: Option<Micros>,
    /// The data that the driver needs in addition to the payload.
    pub context: Option<RequestContext>,
}

/// The identity of an attempt at a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptKey {
    /// The part.
    pub part: PartId,
    /// The number of the attempt at the part, from 0.
    pub attempt: AttemptNo,
}

/// The bytes that a server returned for a part, unchanged.
pub type Value = Arc<[u8]>;
