//! The description of the service as an OpenAPI 3.0 document.

use super::documents::DocumentContext;
use super::json::{GEOJSON, HTML, JSON, OPENAPI, PROBLEM, SCHEMA};
use crate::front::ogc::config::EdgeConfig;
use crate::proto::http::Response;
use serde_json::{json, Value as Json};

/// Renders the description of the service.
pub(in crate::front::ogc) fn openapi(context: &DocumentContext, edge: &EdgeConfig) -> Response {
    let json = json!({
        "openapi": "3.0.3",
        "info": {"title": "quinceflow", "version": env!("CARGO_PKG_VERSION")},
        "servers": [{"url": context.base_url}],
        "paths": paths(edge),
    });
    context.respond("API", OPENAPI, &json)
}

fn paths(edge: &EdgeConfig) -> Json {
    let collection = || vec![path_parameter("collectionId", "a collection")];
    let items = get("items", "Features", GEOJSON, items_parameters(edge));
    let item = get("item", "A feature", GEOJSON, item_parameters());
    json!({
        "/": get("landing", "Landing page", JSON, vec![]),
        "/api": get("api", "This description", OPENAPI, vec![]),
        "/conformance": get("conformance", "Conformance classes", JSON, vec![]),
        "/collections": get("collections", "Collections", JSON, vec![]),
        "/collections/{collectionId}": get("collection", "A collection", JSON, collection()),
        "/collections/{collectionId}/queryables":
            get("queryables", "What can be asked", SCHEMA, collection()),
        "/collections/{collectionId}/sortables":
            get("sortables", "What can be ordered by", SCHEMA, collection()),
        "/collections/{collectionId}/schema":
            get("schema", "What features hold", SCHEMA, collection()),
        "/collections/{collectionId}/items": items,
        "/collections/{collectionId}/items/{featureId}": item,
        "/search": {"post": search()},
    })
}

fn items_parameters(edge: &EdgeConfig) -> Vec<Json> {
    let limit = json!({
        "type": "integer",
        "minimum": 1,
        "maximum": edge.max_limit,
        "default": edge.default_limit,
    });
    vec![
        path_parameter("collectionId", "a collection"),
        json!({
            "name": "limit",
            "in": "query",
            "required": false,
            "style": "form",
            "explode": false,
            "schema": limit,
        }),
        numbers_parameter("bbox", "a box: four or six numbers"),
        query_parameter("bbox-crs", "the system of bbox"),
        query_parameter("datetime", "a time or an interval, RFC 3339"),
        query_parameter("crs", "the system of the answer"),
        query_parameter("filter", "a filter in CQL2"),
        query_parameter("filter-lang", "cql2-text or cql2-json"),
        query_parameter("filter-crs", "the system of the filter's geometries"),
        query_parameter(
            "sortby",
            "properties, the largest first with a minus before them",
        ),
        query_parameter("properties", "the properties of the answer"),
        query_parameter("cursor", "from a next link"),
    ]
}

fn item_parameters() -> Vec<Json> {
    vec![
        path_parameter("collectionId", "a collection"),
        path_parameter("featureId", "a feature"),
        query_parameter("crs", "the system of the answer"),
    ]
}

fn path_parameter(name: &str, description: &str) -> Json {
    let schema = json!({"type": "string"});
    json!({
        "name": name,
        "in": "path",
        "required": true,
        "description": description,
        "schema": schema,
    })
}

fn query_parameter(name: &str, description: &str) -> Json {
    let schema = json!({"type": "string"});
    json!({
        "name": name,
        "in": "query",
        "required": false,
        "description": description,
        "schema": schema,
    })
}

fn numbers_parameter(name: &str, description: &str) -> Json {
    let schema =
        json!({"type": "array", "minItems": 4, "maxItems": 6, "items": {"type": "number"}});
    json!({
        "name": name,
        "in": "query",
        "required": false,
        "description": description,
        "style": "form",
        "explode": false,
        "schema": schema,
    })
}

/// Returns the parameter that all resources have.
fn format_parameter() -> Json {
    json!({"name": "f", "in": "query", "required": false, "description": "the form of the answer",
        "schema": {"type": "string", "enum": ["json", "html"]}})
}

fn content(media_type: &str) -> Json {
    json!({media_type: {"schema": {"type": "object"}}})
}

fn problem_response() -> Json {
    json!({"description": "a problem", "content": content(PROBLEM)})
}

/// Returns a `GET` operation whose response has a media type or is HTML.
fn get(operation_id: &str, summary: &str, media_type: &str, mut parameters: Vec<Json>) -> Json {
    parameters.push(format_parameter());
    let mut content = content(media_type);
    content[HTML] = json!({"schema": {"type": "string"}});
    let problem = problem_response();
    let responses = json!({
        "200": {"description": summary, "content": content},
        "400": problem,
        "404": problem,
        "500": problem,
        "503": problem,
        "default": problem,
    });
    json!({"get": {"operationId": operation_id, "summary": summary, "parameters": parameters,
        "responses": responses}})
}

/// Returns the operation of `POST /search`.
fn search() -> Json {
    let features = json!({"description": "Features", "content": content(GEOJSON)});
    json!({
        "operationId": "search",
        "summary": "Features, asked for in a body",
        "requestBody": {"required": true, "content": content(JSON)},
        "responses": {"200": features, "default": problem_response()},
    })
}
