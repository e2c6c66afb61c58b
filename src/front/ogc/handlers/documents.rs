//! The handlers of the documents about the service. Writing the documents is left to
//! [`response`](crate::front::ogc::response).

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

/// The schemas of a collection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SchemaKind {
    /// The properties to filter by.
    Queryables,
    /// The properties to sort by.
    Sortables,
    /// The properties returned.
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

    /// Removes the properties that are not in this schema.
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

/// Returns a response, or an error if the request has parameters: documents have none.
fn respond(request: &ResourceRequest<'_>, response: Response) -> Result<Reaction, ApiError> {
    request.allow_parameters(&[])?;
    Ok(Reaction::Respond(response))
}

/// Responds with whether the program is ready to serve.
pub(super) fn readiness(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    let response = match request.incoming.ready {
        true => Response::new(200, "text/plain", "ready\n"),
        false => Response::new(503, "text/plain", "not ready\n"),
    };
    respond(request, response)
}

pub(super) fn landing_page(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    respond(request, documents::landing_page(&request.document))
}

pub(super) fn conformance(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    respond(request, documents::conformance(&request.document))
}

pub(super) fn openapi(request: &ResourceRequest<'_>) -> Result<Reaction, ApiError> {
    respond(
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
    respond(
        request,
        documents::collections(&request.document, &ids, &state.edge),
    )
}

pub(super) fn collection(request: &ResourceRequest<'_>, id: &str) -> Result<Reaction, ApiError> {
    let state = request.incoming.state;
    shards_of(state, id)?;
    respond(
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
