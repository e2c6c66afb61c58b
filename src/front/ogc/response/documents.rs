//! Documents about the service: landing page, conformance classes, collections and schemas, as in
//! OGC API - Common and OGC API - Features.

use super::html;
use super::json::{json_response, GEOJSON, HTML, JSON, OPENAPI, SCHEMA};
use super::links::{link, self_and_alternate};
use crate::front::ogc::config::EdgeConfig;
use crate::front::ogc::cql2::Queryables;
use crate::front::ogc::crs::Crs;
use crate::front::ogc::params::Format;
use crate::proto::http::Response;
use serde_json::{json, Value as Json};

/// Relation type of links to queryables.
const QUERYABLES_REL: &str = "http://www.opengis.net/def/rel/ogc/1.0/queryables";
/// Relation type of links to sortables.
const SORTABLES_REL: &str = "http://www.opengis.net/def/rel/ogc/1.0/sortables";
/// JSON Schema dialect of the schemas.
const JSON_SCHEMA_DIALECT: &str = "https://json-schema.org/draft/2020-12/schema";

/// Conformance classes that the front implements.
const CONFORMANCE_CLASSES: [&str; 26] = [
    "http://www.opengis.net/spec/ogcapi-common-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/html",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/oas30",
    "http://www.opengis.net/spec/ogcapi-features-2/1.0/conf/crs",
    "http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/queryables",
    "http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/queryables-query-parameters",
    "http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/filter",
    "http://www.opengis.net/spec/ogcapi-features-3/1.0/conf/features-filter",
    "http://www.opengis.net/spec/ogcapi-features-5/1.0/conf/schemas",
    "http://www.opengis.net/spec/ogcapi-features-5/1.0/conf/sortables",
    "http://www.opengis.net/spec/ogcapi-features-8/1.0/conf/sorting",
    "http://www.opengis.net/spec/cql2/1.0/conf/cql2-text",
    "http://www.opengis.net/spec/cql2/1.0/conf/cql2-json",
    "http://www.opengis.net/spec/cql2/1.0/conf/basic-cql2",
    "http://www.opengis.net/spec/cql2/1.0/conf/advanced-comparison-operators",
    "http://www.opengis.net/spec/cql2/1.0/conf/case-insensitive-comparison",
    "http://www.opengis.net/spec/cql2/1.0/conf/accent-insensitive-comparison",
    "http://www.opengis.net/spec/cql2/1.0/conf/basic-spatial-functions",
    "http://www.opengis.net/spec/cql2/1.0/conf/basic-spatial-functions-plus",
    "http://www.opengis.net/spec/cql2/1.0/conf/spatial-functions",
    "http://www.opengis.net/spec/cql2/1.0/conf/temporal-functions",
    "http://www.opengis.net/spec/cql2/1.0/conf/array-functions",
    "http://www.opengis.net/spec/cql2/1.0/conf/property-property",
    "http://www.opengis.net/spec/cql2/1.0/conf/arithmetic",
];

/// Address and format of a document.
#[derive(Debug, Clone)]
pub(in crate::front::ogc) struct DocumentContext {
    /// URL of the service, without a trailing slash.
    pub base_url: String,
    /// Path of the document, without a query string.
    pub path: String,
    /// Format of the document.
    pub format: Format,
}

impl DocumentContext {
    /// Returns the URL of the document, without a query string.
    fn url(&self) -> String {
        format!("{}{}", self.base_url, self.path)
    }

    /// Returns links to the document in its own format and in the other one; `json_type` is the
    /// media type of its JSON format.
    fn links(&self, json_type: &str) -> Vec<Json> {
        self_and_alternate(self.format, json_type, |f| format!("{}?f={f}", self.url())).into()
    }

    /// Renders the document as a response.
    pub(super) fn respond(&self, title: &str, json_type: &'static str, json: &Json) -> Response {
        match self.format {
            Format::Json => json_response(200, json_type, json),
            Format::Html => html::document(title, json),
        }
    }
}

/// Renders the landing page.
pub(in crate::front::ogc) fn landing_page(context: &DocumentContext) -> Response {
    let base = &context.base_url;
    let mut links = context.links(JSON);
    links.extend([
        link(format!("{base}/api"), "service-desc", OPENAPI),
        link(format!("{base}/api?f=html"), "service-doc", HTML),
        link(format!("{base}/conformance"), "conformance", JSON),
        link(format!("{base}/collections"), "data", JSON),
        link(format!("{base}/search"), "search", GEOJSON),
    ]);
    let description = "Feature queries over the servers of an inventory";
    let json = json!({"title": "quinceflow", "description": description, "links": links});
    context.respond("quinceflow", JSON, &json)
}

/// Renders the conformance classes.
pub(in crate::front::ogc) fn conformance(context: &DocumentContext) -> Response {
    let json = json!({"conformsTo": CONFORMANCE_CLASSES, "links": context.links(JSON)});
    context.respond("Conformance", JSON, &json)
}

/// Renders the list of collections.
pub(in crate::front::ogc) fn collections(
    context: &DocumentContext,
    ids: &[String],
    edge: &EdgeConfig,
) -> Response {
    let collections: Vec<Json> = ids
        .iter()
        .map(|id| collection_json(&context.base_url, id, edge))
        .collect();
    let json = json!({"links": context.links(JSON), "collections": collections});
    context.respond("Collections", JSON, &json)
}

/// Renders a collection.
pub(in crate::front::ogc) fn collection(
    context: &DocumentContext,
    id: &str,
    edge: &EdgeConfig,
) -> Response {
    let mut json = collection_json(&context.base_url, id, edge);
    let links = json["links"].as_array().cloned().unwrap_or_default();
    // The links to this document in both formats replace the first link, which is the `self` link.
    json["links"] = context
        .links(JSON)
        .into_iter()
        .chain(links.into_iter().skip(1))
        .collect();
    let title = json["title"].as_str().unwrap_or(id).to_owned();
    context.respond(&title, JSON, &json)
}

/// Returns the description of a collection.
fn collection_json(base_url: &str, id: &str, edge: &EdgeConfig) -> Json {
    let config = edge.collections.iter().find(|c| c.id == id);
    let mut collection = json!({
        "id": id,
        "title": config.and_then(|c| c.title.as_deref()).unwrap_or(id),
        "itemType": "feature",
        "crs": Crs::all().map(Crs::uri).collect::<Vec<_>>(),
        "storageCrs": Crs::Crs84.uri(),
        "links": collection_links(&format!("{base_url}/collections/{id}")),
    });
    if let Some(description) = config.and_then(|c| c.description.as_deref()) {
        collection["description"] = description.into();
    }
    if let Some(extent) = config.and_then(|c| c.bbox) {
        collection["extent"] = json!({"spatial": {"bbox": [extent], "crs": Crs::Crs84.uri()}});
    }
    collection
}

/// Returns the links of the collection with a URL.
fn collection_links(url: &str) -> [Json; 6] {
    [
        link(url.to_owned(), "self", JSON),
        link(format!("{url}/items"), "items", GEOJSON),
        link(format!("{url}/items?f=html"), "items", HTML),
        link(format!("{url}/queryables"), QUERYABLES_REL, SCHEMA),
        link(format!("{url}/sortables"), SORTABLES_REL, SCHEMA),
        link(format!("{url}/schema"), "describedby", SCHEMA),
    ]
}

/// Renders the queryables, sortables or returned properties of a collection as a JSON Schema.
pub(in crate::front::ogc) fn schema(
    context: &DocumentContext,
    title: &str,
    queryables: &Queryables,
) -> Response {
    let mut json = queryables.to_schema();
    json["$schema"] = JSON_SCHEMA_DIALECT.into();
    json["$id"] = context.url().into();
    json["title"] = title.into();
    context.respond(title, SCHEMA, &json)
}
