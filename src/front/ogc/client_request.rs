//! What is known of a client's request, whatever resource it is for.

use super::config::EdgeConfig;
use super::error::ApiError;
use super::params::{Format, Params};
use crate::coordinator::Token;
use crate::proto::http::HttpRequest;
use crate::time::Micros;

/// The longest `X-Expires-In` that is accepted, in seconds; a longer one is cut.
const MAX_TIMEOUT_S: f64 = 3_600.0;

/// Which client a query is for, and how long it waits: the same for all rounds of the query.
#[derive(Debug, Clone)]
pub(super) struct ClientContext {
    /// Where the core's answers go.
    pub token: Token,
    /// The index of the class in the edge file.
    pub class: usize,
    /// How long the client waits, from `sent_at`.
    pub timeout: Micros,
    /// When the client sent the request, as near as can be known.
    pub sent_at: Micros,
}

impl ClientContext {
    /// The context of a request by its headers `X-Qos` and `X-Expires-In`.
    pub fn of(
        request: &HttpRequest,
        edge: &EdgeConfig,
        token: Token,
        sent_at: Micros,
    ) -> Result<Self, ApiError> {
        let class = match request.headers.get("X-Qos") {
            None => 0,
            Some(name) => edge
                .classes
                .iter()
                .position(|c| c.name == name)
                .ok_or(ApiError::UnknownClass)?,
        };
        let deadline = Micros::from_millis(edge.classes[class].deadline_ms);
        let timeout = match request.headers.get("X-Expires-In") {
            None => deadline,
            Some(text) => parse_timeout(text)
                .ok_or(ApiError::InvalidTimeout)?
                .min(deadline),
        };
        Ok(ClientContext {
            token,
            class,
            timeout,
            sent_at,
        })
    }
}

/// A number of seconds, not negative.
fn parse_timeout(text: &str) -> Option<Micros> {
    let seconds = text
        .parse::<f64>()
        .ok()
        .filter(|s| s.is_finite() && *s >= 0.0)?;
    Some(Micros((seconds.min(MAX_TIMEOUT_S) * 1e6) as u64))
}

/// The base of the links in a response: where the client reaches this front, as its `Host` header says.
pub(super) fn base_url(request: &HttpRequest, edge: &EdgeConfig) -> String {
    let is_plain = |host: &&str| {
        host.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-._:[]".contains(&b))
            && !host.is_empty()
    };
    match request.headers.get("Host").filter(is_plain) {
        Some(host) => format!("http://{host}"),
        None => format!("http://{}", edge.listen),
    }
}

/// A query for the features of a collection, and what the links of its response need.
pub(super) struct ItemsRequest {
    /// Scheme and host of the links.
    pub base_url: String,
    pub collection: String,
    /// The query string as it was received; empty for a search.
    pub query_string: String,
    /// The body of a search.
    pub search_body: Option<serde_json::Value>,
    pub params: Params,
    pub format: Format,
}
