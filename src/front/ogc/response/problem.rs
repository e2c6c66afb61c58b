//! Problem documents (RFC 9457).

use super::json::{json_response, PROBLEM};
use crate::front::ogc::error::ApiError;
use crate::proto::http::Response;
use crate::time::Micros;
use serde_json::json;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A problem document.
pub(in crate::front::ogc) fn problem(status: u16, detail: &str) -> Response {
    let body =
        json!({"type": "about:blank", "title": title(status), "status": status, "detail": detail});
    json_response(status, PROBLEM, &body)
}

/// The response to a request that failed.
pub(in crate::front::ogc) fn error_response(error: &ApiError) -> Response {
    let mut response = problem(error.status(), &error.to_string());
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after_seconds(retry_after);
        response.add_header("Retry-After", seconds.to_string());
    }
    response
}

/// Whole seconds (RFC 9110, 10.2.3), and never 0: that would invite all clients to retry at once.
fn retry_after_seconds(retry_after: Micros) -> u64 {
    retry_after.0.div_ceil(MICROS_PER_SECOND).max(1)
}

/// Returns the title of a problem with a status.
fn title(status: u16) -> &'static str {
    match status {
        400 => "Bad request",
        404 => "Not found",
        405 => "Method not allowed",
        406 => "Not acceptable",
        410 => "Gone",
        412 => "Precondition failed",
        415 => "Unsupported media type",
        502 => "The servers failed",
        503 => "Refused",
        504 => "Out of time",
        _ => "The request cannot be served",
    }
}
