//! Requests to the coordinator for the rounds of a query, and the metrics of responses.

use super::client_request::ClientContext;
use super::page_request::PageRequest;
use super::state::FrontState;
use crate::coordinator::{ClassMetrics, PartRequest, Request, RequestContext};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::Response;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// The number of rounds that this process has started, which makes request identifiers unique.
static ROUNDS: AtomicU64 = AtomicU64::new(0);

/// The request of a round for a page of a shard.
#[derive(Clone)]
pub(super) struct ShardRequest {
    /// The identifier of the shard at any of its servers, at all but one of them, or at only one.
    pub shard: ShardId,
    /// The HTTP request, which also stores the pages that arrive for it.
    pub page_request: Arc<PageRequest>,
}

/// Returns the request to the coordinator for one round of a query.
pub(super) fn coordinator_request(
    state: &FrontState,
    client: &ClientContext,
    parts: impl ExactSizeIterator<Item = ShardRequest>,
) -> Request {
    let weight = 1.0 / parts.len().max(1) as f64;
    let part = |part: ShardRequest| PartRequest {
        shard: part.shard,
        weight,
        expected_work: None,
        context: Some(RequestContext::new(part.page_request)),
    };
    Request {
        token: client.token,
        // Each round has its own identifier, because parts of a round may still be in flight when
        // the next round starts.
        request_id: format!("q{}.{}", client.token.0, ROUNDS.fetch_add(1, Relaxed)).into(),
        class: state.edge.classes[client.class].name.as_str().into(),
        tenant: TenantId(0),
        timeout: client.timeout,
        sent_at: client.sent_at,
        parts: parts.map(part).collect(),
        payload: Arc::default(),
        counted: false,
    }
}

/// Counts the response to a query in the metrics of its class. The coordinator does not count the
/// rounds.
pub(super) fn count_response(metrics: &ClassMetrics, response: &Response) {
    let counter = match response.status {
        200..=399 | 404 => &metrics.served,
        503 | 429 => &metrics.rejected,
        _ => &metrics.errors,
    };
    counter.increment();
}
