//! The handlers of the front's resources, and the routing of requests to them.

mod documents;
mod feature;
mod items;
mod search;

use super::capability_discovery::discover_capabilities;
use super::client_request::{base_url, ClientContext};
use super::error::ApiError;
use super::params::{decode_query, negotiate_format, QueryParameter};
use super::response::documents::DocumentContext;
use super::response::problem::error_response;
use super::shards::NamedShard;
use super::state::FrontState;
use crate::coordinator::{Token, COUNTERS};
use crate::front::Reaction;
use crate::proto::http::HttpRequest;
use crate::time::Micros;
use documents::SchemaKind;
use std::borrow::Cow;
use std::sync::Arc;

/// The name of the parameter that sets the format of the response. All resources but `/search` have
/// it.
const FORMAT_PARAMETER: &str = "f";

/// A received request and the state to handle it with.
pub(super) struct IncomingRequest<'a> {
    /// The state of the front.
    pub state: &'a Arc<FrontState>,
    /// The request as received.
    pub http: &'a HttpRequest,
    /// The token that identifies the client's connection.
    pub token: Token,
    /// The estimated time at which the client sent the request.
    pub sent_at: Micros,
    /// Whether the coordinator is ready to serve queries.
    pub ready: bool,
}

/// A resource of the front, with the ids of the collection and the feature where it has them.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Resource<'a> {
    Search,
    Readiness,
    LandingPage,
    Conformance,
    OpenApi,
    Collections,
    Collection(&'a str),
    Schema(&'a str, SchemaKind),
    Items(&'a str),
    Feature(&'a str, &'a str),
}

/// A `GET` or `HEAD` request for a resource.
struct ResourceRequest<'a> {
    incoming: &'a IncomingRequest<'a>,
    document: DocumentContext,
    query_string: &'a str,
    /// The decoded parameters of the query string.
    parameters: Vec<QueryParameter>,
}

impl IncomingRequest<'_> {
    /// Handles the request.
    ///
    /// # Errors
    ///
    /// Fails if the request is invalid or cannot be served. The error determines the response.
    pub fn handle(&self) -> Result<Reaction, ApiError> {
        let (path, query_string) = self
            .http
            .target
            .split_once('?')
            .unwrap_or((&self.http.target, ""));
        let segments = decode_segments(path)?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let resource = Resource::from_segments(&segments).ok_or(ApiError::NoSuchResource)?;
        if resource == Resource::Search {
            return search::search(self);
        }
        if !matches!(self.http.method.as_str(), "GET" | "HEAD") {
            return Err(ApiError::OnlyGetAndHead);
        }
        self.resource_request(path, query_string)?.route(resource)
    }

    /// Parses the query string and negotiates the format of the response.
    fn resource_request<'a>(
        &'a self,
        path: &str,
        query_string: &'a str,
    ) -> Result<ResourceRequest<'a>, ApiError> {
        let parameters = decode_query(query_string);
        let requested = parameter_value(&parameters, FORMAT_PARAMETER);
        let format = negotiate_format(requested, self.http.headers.get("Accept"))?;
        let path = path.trim_end_matches('/');
        let path = if path.is_empty() { "/" } else { path };
        let document = DocumentContext {
            base_url: self.base_url(),
            path: path.to_owned(),
            format,
        };
        Ok(ResourceRequest {
            incoming: self,
            document,
            query_string,
            parameters,
        })
    }

    fn base_url(&self) -> String {
        base_url(self.http, &self.state.edge)
    }

    fn client(&self) -> Result<ClientContext, ApiError> {
        ClientContext::from_request(self.http, &self.state.edge, self.token, self.sent_at)
    }

    /// Starts a query after capability discovery. Without it, whether a name is accepted as a
    /// queryable would depend on earlier requests.
    fn start_after_discovery(
        &self,
        client: &ClientContext,
        shards: &[NamedShard],
        start: impl FnOnce(Arc<FrontState>) -> Result<Reaction, ApiError> + Send + 'static,
    ) -> Reaction {
        discover_capabilities(self.state.clone(), client, shards, |state| {
            start(state).unwrap_or_else(|error| {
                COUNTERS.bad_requests.increment();
                Reaction::Respond(error_response(&error))
            })
        })
    }
}

impl<'a> Resource<'a> {
    /// Returns the resource with these path segments, if there is one.
    fn from_segments(segments: &[&'a str]) -> Option<Self> {
        Some(match *segments {
            ["search"] => Resource::Search,
            ["up"] => Resource::Readiness,
            [] => Resource::LandingPage,
            ["conformance"] => Resource::Conformance,
            ["api"] => Resource::OpenApi,
            ["collections"] => Resource::Collections,
            ["collections", id] => Resource::Collection(id),
            ["collections", id, "queryables"] => Resource::Schema(id, SchemaKind::Queryables),
            ["collections", id, "sortables"] => Resource::Schema(id, SchemaKind::Sortables),
            ["collections", id, "schema"] => Resource::Schema(id, SchemaKind::Schema),
            ["collections", id, "items"] => Resource::Items(id),
            ["collections", id, "items", feature_id] => Resource::Feature(id, feature_id),
            _ => return None,
        })
    }
}

impl ResourceRequest<'_> {
    /// Calls the handler of the resource.
    fn route(&self, resource: Resource<'_>) -> Result<Reaction, ApiError> {
        match resource {
            Resource::Search => search::search(self.incoming),
            Resource::Readiness => documents::readiness(self),
            Resource::LandingPage => documents::landing_page(self),
            Resource::Conformance => documents::conformance(self),
            Resource::OpenApi => documents::openapi(self),
            Resource::Collections => documents::collections(self),
            Resource::Collection(id) => documents::collection(self, id),
            Resource::Schema(id, kind) => documents::schema(self, id, kind),
            Resource::Items(id) => items::items(self, id),
            Resource::Feature(id, feature_id) => feature::feature(self, id, feature_id),
        }
    }

    /// Returns an error if the request has a parameter other than those in `allowed` and the
    /// format.
    fn allow_parameters(&self, allowed: &[&str]) -> Result<(), ApiError> {
        let is_allowed = |name: &str| name == FORMAT_PARAMETER || allowed.contains(&name);
        let mut names = self.parameters.iter().map(|parameter| &parameter.name);
        match names.find(|name| !is_allowed(name)) {
            Some(name) => Err(ApiError::UnknownParameter(name.clone())),
            None => Ok(()),
        }
    }
}

/// Returns the value of the first parameter with this name.
fn parameter_value<'a>(parameters: &'a [QueryParameter], name: &str) -> Option<&'a str> {
    let parameter = parameters.iter().find(|parameter| parameter.name == name);
    parameter.map(|parameter| parameter.value.as_str())
}

/// Returns the decoded segments of a path. Empty segments are omitted.
fn decode_segments(path: &str) -> Result<Vec<String>, ApiError> {
    let decode = |segment: &str| {
        let decoded = percent_encoding::percent_decode_str(segment).decode_utf8();
        decoded
            .map(Cow::into_owned)
            .map_err(|_| ApiError::PathNotUtf8)
    };
    path.split('/')
        .filter(|segment| !segment.is_empty())
        .map(decode)
        .collect()
}
