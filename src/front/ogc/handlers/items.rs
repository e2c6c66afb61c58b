//! The handler of queries for the features of a collection:
//! `GET /collections/{collectionId}/items`.

use super::ResourceRequest;
use crate::front::ogc::capability_discovery::queryables;
use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::cql2::Queryables;
use crate::front::ogc::error::ApiError;
use crate::front::ogc::params::{parse_items_query, ParameterRules};
use crate::front::ogc::query::ItemsQuery;
use crate::front::ogc::shards::shards_of;
use crate::front::ogc::state::FrontState;
use crate::front::Reaction;
use std::sync::Arc;

/// The parameters whose meaning does not depend on the capabilities of the servers.
const CAPABILITY_INDEPENDENT_PARAMETERS: [&str; 8] = [
    "limit",
    "bbox",
    "bbox-crs",
    "datetime",
    "crs",
    "properties",
    "cursor",
    "f",
];

/// Starts a query. Capability discovery precedes it if the meaning of a parameter depends on the
/// capabilities of the servers.
pub(super) fn items(request: &ResourceRequest<'_>, collection: &str) -> Result<Reaction, ApiError> {
    let incoming = request.incoming;
    let shards = shards_of(incoming.state, collection)?;
    let client = incoming.client()?;
    let parameters = request.parameters.clone();
    let needs_discovery = !parameters
        .iter()
        .all(|parameter| CAPABILITY_INDEPENDENT_PARAMETERS.contains(&parameter.name.as_str()));
    let document = request.document.clone();
    let collection = collection.to_owned();
    let query_string = request.query_string.to_owned();
    let query_client = client.clone();
    let query_shards = shards.clone();
    let start = move |state: Arc<FrontState>| {
        let queryables = match needs_discovery {
            true => queryables(&state, &collection, &query_shards),
            false => Queryables::unknown(),
        };
        let rules = ParameterRules {
            limits: state.edge.limit_rules(),
            queryables: &queryables,
        };
        let params = parse_items_query(&parameters, &rules)?;
        let request = ItemsRequest {
            base_url: document.base_url,
            collection,
            query_string,
            search_body: None,
            params,
            format: document.format,
        };
        ItemsQuery::start(state, query_client, request, query_shards)
    };
    match needs_discovery {
        true => Ok(incoming.start_after_discovery(&client, &shards, start)),
        false => start(incoming.state.clone()),
    }
}
