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
mod latency;
mod limiter;
mod server_capacity;

pub use admission::{
    AdmissionController, InFlight, QueryCost, QueryShape, Rejection, RejectionReason,
};
pub use limiter::{ConcurrencyLimiter, LimitRule, RequestOutcome};
pub use server_capacity::ServerCapacity;

/// The memory that every process needs before it has a client, in bytes; the limits of memory
/// divide up the rest.
pub const BASE_MEMORY_BYTES: usize = 16 * 1024 * 1024;
