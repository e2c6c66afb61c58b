//! The handler of queries whose parameters are in the body of the request, since they may be too
//! long for its head: `POST /search` in the format of STAC API - Item Search.

use super::IncomingRequest;
use crate::front::ogc::capability_discovery::queryables;
use crate::front::ogc::client_request::{ItemsRequest, SearchBody};
use crate::front::ogc::error::ApiError;
use crate::front::ogc::params::{
    parse_search, parse_search_body, search_collection, Format, Search,
};
use crate::front::ogc::query::ItemsQuery;
use crate::front::ogc::reservations::RequestReservation;
use crate::front::ogc::response::problem::error_response;
use crate::front::ogc::round::count_response;
use crate::front::ogc::shards::shards_of;
use crate::front::ogc::state::FrontState;
use crate::front::Reaction;
use crate::proto::http::HttpRequest;
use std::sync::Arc;

/// Starts a query whose parameters are in the body.
pub(super) fn search(incoming: &IncomingRequest<'_>) -> Result<Reaction, ApiError> {
    if incoming.http.method != "POST" {
        return Err(ApiError::OnlyPost);
    }
    if !has_json_body(incoming.http) {
        return Err(ApiError::UnsupportedMediaType);
    }
    let client = incoming.client()?;
    let memory = RequestReservation::for_json(incoming.state, &incoming.http.body);
    let memory = memory.inspect_err(|error| {
        let metrics = incoming.state.class_metrics(client.class);
        count_response(&metrics, &error_response(error));
    })?;
    let body = parse_search_body(&incoming.http.body)?;
    let collection = search_collection(&body)?;
    let shards = shards_of(incoming.state, &collection)?;
    let base_url = incoming.base_url();
    let query_client = client.clone();
    let query_shards = shards.clone();
    let start = move |state: Arc<FrontState>| {
        let queryables_of = |id: &str| Some(queryables(&state, id, &query_shards));
        let Search { collection, params } =
            parse_search(&body, queryables_of, state.edge.limit_rules())?;
        let request = ItemsRequest {
            base_url,
            collection,
            query_string: String::new(),
            search_body: Some(SearchBody {
                json: body,
                _memory: memory,
            }),
            params,
            format: Format::Json,
        };
        ItemsQuery::start(state, query_client, request, query_shards)
    };
    Ok(incoming.start_after_discovery(&client, &shards, start))
}

fn has_json_body(request: &HttpRequest) -> bool {
    let content_type = request.headers.get("Content-Type").unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    media_type.eq_ignore_ascii_case("application/json")
}
