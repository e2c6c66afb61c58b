//! The queries of these tests.

use crate::standin::client::{send_query, Class, QueryRequest, Response, Shards};
use crate::standin::process::Process;

/// The time in seconds that clients wait for an answer: less than the latency objective of the
/// classes.
pub const QUERY_TIMEOUT_SECONDS: f64 = 8.0;

/// Sends a query of a client that waits for [`QUERY_TIMEOUT_SECONDS`] and returns the response.
pub fn query(process: &Process, id: &str, class: Class, shards: Shards) -> Response {
    let request = QueryRequest::new(id, class, shards).timeout_seconds(QUERY_TIMEOUT_SECONDS);
    send_query(process, request)
}
