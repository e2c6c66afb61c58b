//! Queries of the clients of these tests.

use crate::standin::client::{query_with_timeout, Response};
use crate::standin::process::Process;

/// The time in seconds that clients wait for an answer: less than the latency objective of the
/// classes.
pub const QUERY_TIMEOUT_SECONDS: f64 = 8.0;

pub fn query(process: &Process, id: &str, class: &str, shards: &[u32]) -> Response {
    query_with_timeout(process, id, class, shards, QUERY_TIMEOUT_SECONDS)
}
