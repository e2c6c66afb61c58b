//! Limits that adapt to the capacity of the servers: the number of requests in flight to each
//! server, and the admission of queries.
//!
//! This module owns these decisions and their state; it has no clock, socket or thread. Callers
//! consult it before they start a request and report the end of the request. The [decision
//! policy](crate::policy) chooses the server of an attempt, and decides about retries.
//!
//! Times are [`Micros`](crate::time::Micros); latencies in moving averages are microseconds as
//! `f64`.

mod admission;
mod json_memory;
mod latency;
mod limiter;
mod server_capacity;

pub use admission::{
    AdmissionController, InFlight, QueryCost, QueryShape, Rejection, RejectionReason,
    RequestRejection,
};
pub use json_memory::json_memory;
pub use limiter::{ConcurrencyLimiter, LimitRule, RequestOutcome};
pub use server_capacity::ServerCapacity;

/// The memory that every process needs before it has a client, in bytes; the limits of memory
/// divide up the rest.
pub const BASE_MEMORY_BYTES: usize = 16 * 1024 * 1024;
/// The share of the memory beyond [`BASE_MEMORY_BYTES`] that queries in flight and their responses
/// may hold. A third of that memory is for the input and output of clients.
const QUERY_MEMORY_SHARE: f64 = 0.45;

/// The share of that memory which the payloads of queries in flight may hold in a coordinator whose
/// requests have payloads.
const PAYLOAD_MEMORY_SHARE: f64 = 0.2;

/// Returns the memory that the payloads of queries in flight may hold in a process with this memory
/// limit, both in bytes.
#[must_use]
pub fn payload_memory(memory_limit: usize) -> usize {
    share_of_available(memory_limit, PAYLOAD_MEMORY_SHARE)
}

/// Returns the memory that queries in flight and their responses may hold in a process with this
/// memory limit, both in bytes.
#[must_use]
pub fn query_memory(memory_limit: usize) -> usize {
    share_of_available(memory_limit, QUERY_MEMORY_SHARE)
}

/// Returns a share of the memory beyond [`BASE_MEMORY_BYTES`], in bytes.
fn share_of_available(memory_limit: usize, share: f64) -> usize {
    let available = memory_limit.saturating_sub(BASE_MEMORY_BYTES);
    (available as f64 * share) as usize
}
