//! Requests to the core for one round of a query, and the metrics of its end.

use super::client_request::ClientContext;
use super::page_request::PageRequest;
use super::state::FrontState;
use crate::coordinator::{ClassMetrics, PartRequest, Request, RequestContext};
use crate::interface::{ShardId, TenantId};
use crate::proto::http::Response;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;

/// The rounds of this process, which number the requests to the core.
static ROUNDS: AtomicU64 = AtomicU64::new(0);

/// What a round asks of a shard.
#[derive(Clone)]
pub(super) struct ShardRequest {
    /// The shard, or the shard at one server alone.
    pub shard: ShardId,
    pub request: Arc<PageRequest>,
}

/// A request to the core for one round.
pub(super) fn core_request(
    state: &FrontState,
    client: &ClientContext,
    parts: impl ExactSizeIterator<Item = ShardRequest>,
) -> Request {
    let weight = 1.0 / parts.len().max(1) as f64;
    let part = |part: ShardRequest| PartRequest {
        shard: part.shard,
        weight,
        expected_work: None,
        context: Some(RequestContext::new(part.request)),
    };
    Request {
        token: client.token,
        // Each round has its own: late parts of one may be in flight when the next one starts.
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

/// Counts the end of a query, whose rounds the core does not count.
pub(super) fn count_response(metrics: &ClassMetrics, response: &Response) {
    let counter = match response.status {
        200..=399 | 404 => &metrics.ok,
        503 | 429 => &metrics.shed,
        _ => &metrics.errors,
    };
    counter.increment();
}
