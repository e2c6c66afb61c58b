//! JSON responses and their media types.

use crate::proto::http::Response;
use serde::Serialize;

pub(super) const JSON: &str = "application/json";
pub(super) const GEOJSON: &str = "application/geo+json";
pub(super) const HTML: &str = "text/html";
pub(super) const SCHEMA: &str = "application/schema+json";
pub(super) const PROBLEM: &str = "application/problem+json";
pub(super) const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";

/// Creates a response with a value as its JSON body.
pub(super) fn json_response(
    status: u16,
    content_type: &'static str,
    body: &impl Serialize,
) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => Response::new(status, content_type, body),
        Err(e) => Response::new(500, "text/plain", format!("{e}\n")),
    }
}
