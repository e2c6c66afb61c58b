//! Capability discovery before a query: the requests to feature servers for their conformance
//! classes and queryables, and the timeout of these requests. The results are cached by
//! [`capabilities`](super::capabilities).

use super::capabilities::{parse_capabilities, CapabilityLookup, ReplicaKey};
use super::client_request::ClientContext;
use super::cql2::Queryables;
use super::page_request::{PageRequest, RequestKind};
use super::round::{coordinator_request, ShardRequest};
use super::shards::{replicas, NamedShard};
use super::state::FrontState;
use crate::front::Reaction;
use crate::interface::ShardId;
use crate::time::Micros;
use std::sync::Arc;

/// The maximum timeout of a discovery for a class with a short latency objective (see
/// [`discovery_timeout`]).
const MAX_DISCOVERY_TIMEOUT: Micros = Micros::from_millis(500);
/// The maximum number of discoveries before one query.
const MAX_DISCOVERIES: usize = 16;

/// The discovery of one server's capabilities for a shard.
struct CapabilityDiscovery {
    shard: ShardId,
    key: ReplicaKey,
    /// The request for the server's conformance classes.
    conformance: Arc<PageRequest>,
    /// The request for the shard's queryables.
    queryables: Arc<PageRequest>,
}

impl CapabilityDiscovery {
    fn new(shard: ShardId, key: ReplicaKey) -> Self {
        let document_request =
            |path: String| Arc::new(PageRequest::new(RequestKind::Document, path));
        let queryables =
            document_request(format!("/collections/{}/queryables", key.server_collection));
        CapabilityDiscovery {
            shard,
            key,
            conformance: document_request("/conformance".to_owned()),
            queryables,
        }
    }

    /// Returns the two requests of the discovery.
    fn requests(&self) -> [ShardRequest; 2] {
        let shard_request = |request: &Arc<PageRequest>| ShardRequest {
            shard: self.shard,
            page_request: request.clone(),
        };
        [
            shard_request(&self.conformance),
            shard_request(&self.queryables),
        ]
    }

    /// Records the documents that were received, even if the coordinator's answer to the round is
    /// not complete.
    fn record(&self, state: &FrontState, now: Micros) {
        let conformance = self.conformance.last_page();
        let queryables = self.queryables.last_page();
        let queryables = queryables.as_ref().map(|page| page.body.as_slice());
        let capabilities = conformance.and_then(|page| {
            parse_capabilities(&page.body, queryables, state.edge.max_filter_text)
        });
        state.capabilities().record(&self.key, capabilities, now);
    }
}

/// Returns the queryables of a collection: those that the edge file declares, otherwise those that
/// at least one of its servers declares, otherwise any name. A server may lack some of them, since
/// the front evaluates the conditions that the server cannot evaluate.
pub(super) fn queryables(
    state: &FrontState,
    collection: &str,
    shards: &[NamedShard],
) -> Queryables {
    if let Some(declared) = state.declared_queryables(collection) {
        return declared;
    }
    let replicas = replicas(state, shards);
    let keys = replicas.iter().flatten().map(|replica| &replica.key);
    state
        .capabilities()
        .queryables_union(keys)
        .unwrap_or_else(Queryables::unknown)
}

/// Discovers the capabilities of the shards' servers that are unknown or stale and that no other
/// query is discovering, then calls `on_discovered`.
pub(super) fn discover_capabilities(
    state: Arc<FrontState>,
    client: &ClientContext,
    shards: &[NamedShard],
    on_discovered: impl FnOnce(Arc<FrontState>) -> Reaction + Send + 'static,
) -> Reaction {
    let discoveries = due_discoveries(&state, shards, client.sent_at);
    if discoveries.is_empty() {
        return on_discovered(state);
    }
    let client = ClientContext {
        timeout: discovery_timeout(&state, client),
        ..client.clone()
    };
    let shard_requests: Vec<_> = discoveries
        .iter()
        .flat_map(CapabilityDiscovery::requests)
        .collect();
    let request = coordinator_request(&state, &client, shard_requests.into_iter());
    Reaction::Submit(
        request,
        Box::new(move |_| {
            discoveries
                .iter()
                .for_each(|discovery| discovery.record(&state, client.sent_at));
            on_discovered(state)
        }),
    )
}

/// Returns the discoveries to run before a query, at most [`MAX_DISCOVERIES`], and marks them in
/// the cache as in flight.
fn due_discoveries(
    state: &FrontState,
    shards: &[NamedShard],
    now: Micros,
) -> Vec<CapabilityDiscovery> {
    let mut discoveries = Vec::new();
    for replica in replicas(state, shards).into_iter().flatten() {
        if discoveries.len() >= MAX_DISCOVERIES {
            break;
        }
        let lookup = state.capabilities().lookup(&replica.key, now);
        if matches!(lookup, CapabilityLookup::Discover(_)) {
            discoveries.push(CapabilityDiscovery::new(replica.sticky_shard, replica.key));
        }
    }
    discoveries
}

/// Returns the timeout of a discovery: [`MAX_DISCOVERY_TIMEOUT`], or a quarter of the class's
/// latency objective if that is longer, but at most a quarter of the query's timeout.
///
/// The policy module assumes that requests of a class with a long latency objective are slow until
/// it has measurements, and would therefore reject a discovery with a shorter timeout.
fn discovery_timeout(state: &FrontState, client: &ClientContext) -> Micros {
    let objective = Micros::from_millis(state.edge.classes[client.class].latency_objective_ms);
    Micros(client.timeout.0 / 4).min(MAX_DISCOVERY_TIMEOUT.max(Micros(objective.0 / 4)))
}
