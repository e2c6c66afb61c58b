//! Requests to the core for one round of a query, and the metrics of a query's end.

use super::client_request::ClientContext;
use super::page_request::PageRequest;
use super::state::FrontState;
use crate::coordinator::{ClassMetrics, PartRequest, Request, RequestContext};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::Response;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// The number of rounds in this process, for unique request identifiers.
static ROUNDS: AtomicU64 = AtomicU64::new(0);

/// The request of a round to a shard.
#[derive(Clone)]
pub(super) struct ShardRequest {
    /// The identifier of the shard, or of the shard at one server.
    pub shard: ShardId,
    /// The request, and the pages that arrive for it.
    pub page_request: Arc<PageRequest>,
}

/// Returns the request to the core for one round.
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
        // Each round has its own identifier: late parts of a round may be in flight when the next
        // one starts.
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

/// Counts the end of a query. The core does not count its rounds.
pub(super) fn count_response(metrics: &ClassMetrics, response: &Response) {
    let counter = match response.status {
        200..=399 | 404 => &metrics.served,
        503 | 429 => &metrics.rejected,
        _ => &metrics.errors,
    };
    counter.increment();
}
