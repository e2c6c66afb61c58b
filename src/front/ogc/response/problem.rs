//! Problem documents (RFC 9457).

use super::json::{json_response, PROBLEM};
use crate::front::ogc::error::ApiError;
use crate::proto::http::Response;
use crate::time::Micros;
use serde_json::json;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Returns a response with a problem document.
pub(in crate::front::ogc) fn problem(status: u16, detail: &str) -> Response {
    let body =
        json!({"type": "about:blank", "title": title(status), "status": status, "detail": detail});
    json_response(status, PROBLEM, &body)
}

/// Returns the response to a request that failed with an error.
pub(in crate::front::ogc) fn error_response(error: &ApiError) -> Response {
    let mut response = problem(error.status(), &error.to_string());
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after_seconds(retry_after);
        response.add_header("Retry-After", seconds.to_string());
    }
    response
}

/// Rounds a time up to whole seconds, as the header `Retry-After` requires (RFC 9110, 10.2.3). The
/// minimum is 1 second, since with 0 all rejected clients would retry immediately.
fn retry_after_seconds(retry_after: Micros) -> u64 {
    retry_after.0.div_ceil(MICROS_PER_SECOND).max(1)
}

/// Returns the title of problem documents with a status.
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
