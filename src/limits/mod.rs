//! Limits that adapt to the capacity of the servers: how many requests to each may be in flight, and which queries are admitted.
//!
//! The folder owns these decisions and their state; it has no clock, no socket and no thread. Callers ask it before they
//! start a request and report how the request ended. Which server an attempt goes to, and whether it is retried, is
//! decided by the [decision policy](crate::policy).

mod admission;
mod latency;
mod limiter;
mod server_capacity;

pub use admission::{
    AdmissionController, InFlight, QueryCost, QueryShape, Rejection, RejectionReason,
};
pub use limiter::{ConcurrencyLimiter, LimitRule, RequestOutcome};
pub use server_capacity::ServerCapacity;

/// The memory that every process of this program needs before it has a client, in bytes; limits distribute the rest.
pub const BASE_MEMORY: usize = 16 * 1024 * 1024;
