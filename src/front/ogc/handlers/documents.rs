//! The handlers of the documents about the service. [`response`](crate::front::ogc::response)
//! renders the documents.

use super::ResourceRequest;
use crate::front::ogc::capability_discovery::{discover_capabilities, queryables};
use crate::front::ogc::cql2::{QueryableType, Queryables};
use crate::front::ogc::error::ApiError;
use crate::front::ogc::response::{documents, openapi};
use crate::front::ogc::shards::shards_of;
use crate::front::ogc::state::FrontState;
use crate::front::Reaction;
use crate::proto::http::Response;
use crate::sync::lock;
use std::sync::Arc;

/// The kinds of schemas that a collection has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SchemaKind {
    /// The properties that filters may contain.
    Queryables,
    /// The properties that features can be sorted by.
    Sortables,
    /// The properties of returned features.
    Schema,
}

impl SchemaKind {
    fn name(self) -> &'static str {
        match self {
            SchemaKind::Queryables => "queryables",
            SchemaKind::Sortables => "sortables",
            SchemaKind::Schema => "schema",
        }
    }

    /// Removes the properties that do not belong to a schema of this kind.
    fn restrict(self, queryables: &mut Queryables) {
        if self == SchemaKind::Sortables {
            queryables.named.retain(|_, queryable_type| {
                !matches!(
                    queryable_type,
                    QueryableType::Geometry | QueryableType::Array
                )
            });
        }
    }
}

/// Responds with `response`, or with an error if the request has any parameter but the format.
/// Documents have no other parameters.
fn respond_without_parameters(
    request: &ResourceRequest<'_>,
    response: Response,
) -> Result<Reaction, ApiError> {
    request.allow_parameters(&[])?;
    Ok(Reaction::Respond(response))
}

/// Responds with the readiness of the coordinator: status 200 if it is ready, otherwise 503.
pub(super) fn readiness(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    let response = match request.incoming.ready {
        true => Response::new(200, "text/plain", "ready\n"),
        false => Response::new(503, "text/plain", "not ready\n"),
    };
    respond_without_parameters(request, response)
}

pub(super) fn landing_page(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    respond_without_parameters(request, documents::landing_page(&request.document))
}

pub(super) fn conformance(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    respond_without_parameters(request, documents::conformance(&request.document))
}

pub(super) fn openapi(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    respond_without_parameters(
        request,
        openapi::openapi(&request.document, &request.incoming.state.edge),
    )
}

pub(super) fn collections(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    let state = request.incoming.state;
    let ids: Vec<String> = lock(&state.catalog)
        .collections()
        .map(str::to_owned)
        .collect();
    respond_without_parameters(
        request,
        documents::collections(&request.document, &ids, &state.edge),
    )
}

pub(super) fn collection(request: &ResourceRequest<'_>, id: &str) -> Result<Reaction, ApiError> {
    let state = request.incoming.state;
    shards_of(state, id)?;
    respond_without_parameters(
        request,
        documents::collection(&request.document, id, &state.edge),
    )
}

/// Responds with a schema of a collection, after capability discovery.
pub(super) fn schema(
    request: &ResourceRequest<'_>,
    id: &str,
    kind: SchemaKind,
) -> Result<Reaction, ApiError> {
    request.allow_parameters(&[])?;
    let incoming = request.incoming;
    let shards = shards_of(incoming.state, id)?;
    let client = incoming.client()?;
    let id = id.to_owned();
    let document = request.document.clone();
    let collection_shards = shards.clone();
    let respond = move |state: Arc<FrontState>| {
        let mut queryables = queryables(&state, &id, &collection_shards);
        kind.restrict(&mut queryables);
        let title = format!("{} of {id}", kind.name());
        Reaction::Respond(documents::schema(&document, &title, &queryables))
    };
    let state = incoming.state.clone();
    Ok(discover_capabilities(state, &client, &shards, respond))
}
