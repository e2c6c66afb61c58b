//! The properties of a query that the client's request sets: class, timeout and parameters. The
//! parameters are parsed by [`params`](super::params).

use super::config::EdgeConfig;
use super::error::ApiError;
use super::params::{Format, Params};
use super::reservations::RequestReservation;
use crate::coordinator::Token;
use crate::proto::http::HttpRequest;
use crate::time::Micros;

/// The maximum value of `X-Expires-In`, in seconds. A greater value counts as this one.
const MAX_TIMEOUT_S: f64 = 3_600.0;

/// The client, class and timeout of a query, which are the same for all rounds of the query.
#[derive(Debug, Clone)]
pub(super) struct ClientContext {
    /// The token that identifies the client's connection in the coordinator's answers.
    pub token: Token,
    /// The index of the class in the edge file.
    pub class: usize,
    /// The time that the client waits for the answer, counted from `sent_at`.
    pub timeout: Micros,
    /// The estimated time at which the client sent the request.
    pub sent_at: Micros,
}

impl ClientContext {
    /// Returns the context of a request, with the class that its header `X-Qos` names (by default
    /// the first of the edge file), and the timeout in its header `X-Expires-In`, which is limited
    /// to the class's deadline (by default that deadline).
    ///
    /// # Errors
    ///
    /// [`ApiError::UnknownClass`] and [`ApiError::InvalidTimeout`], if one of the headers has no
    /// valid value.
    pub fn from_request(
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
                .position(|class| class.name == name)
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

/// Parses a nonnegative number of seconds. Returns `None` if the text is not such a number.
fn parse_timeout(text: &str) -> Option<Micros> {
    let seconds = text
        .parse::<f64>()
        .ok()
        .filter(|seconds| seconds.is_finite() && *seconds >= 0.0)?;
    Some(Micros((seconds.min(MAX_TIMEOUT_S) * 1e6) as u64))
}

/// Returns the scheme and host for the links in a response. The host is that of the `Host` header,
/// or the address on which the front listens if the header is missing or has unexpected characters.
pub(super) fn base_url(request: &HttpRequest, edge: &EdgeConfig) -> String {
    let is_valid_host = |host: &&str| {
        host.bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-._:[]".contains(&b))
            && !host.is_empty()
    };
    match request.headers.get("Host").filter(is_valid_host) {
        Some(host) => format!("http://{host}"),
        None => format!("http://{}", edge.listen),
    }
}

/// The body of a search, with the reservation of its memory.
pub(super) struct SearchBody {
    /// The members of the body.
    pub json: serde_json::Value,
    /// The reservation of the memory for the body and the parameters parsed from it.
    pub _memory: RequestReservation,
}

/// A query for the features of a collection, with the values of the request that the links in the
/// response contain.
pub(super) struct ItemsRequest {
    /// The scheme and host of the links.
    pub base_url: String,
    /// The identifier of the collection.
    pub collection: String,
    /// The query string as received; empty for a search.
    pub query_string: String,
    /// The body of a search; `None` for a query in the query string.
    pub search_body: Option<SearchBody>,
    /// The parameters of the query.
    pub params: Params,
    /// The format of the response.
    pub format: Format,
}
