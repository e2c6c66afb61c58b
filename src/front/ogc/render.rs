//! Answers as JSON: pages about the service, features as GeoJSON, errors as problem JSON.

use super::config::Edge;
use super::cql2::Queryables;
use super::crs::{Crs, Transform};
use super::cursor::hash;
use super::items::{BytesTaken, Ready};
use super::paging::Page;
use super::params::Params;
use super::visit::Visit;
use super::{deliver, html};
use crate::coordinator::{Answer, ServedPart, COUNTERS};
use crate::interface::ShardId;
use crate::proto::body::{Body, SharedBytes};
use crate::proto::http::Response;
use crate::time::Micros;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{json, Value as Json};
use std::borrow::Cow;
use std::sync::Arc;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

const JSON: &str = "application/json";
const GEOJSON: &str = "application/geo+json";
const HTML: &str = "text/html";
const SCHEMA: &str = "application/schema+json";
const PROBLEM: &str = "application/problem+json";
const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";
/// Tells a client in the head whether an answer has all parts.
const WHOLE: &str = "X-Answer-Whole";

/// The conformance classes that are served, and no others.
const CLASSES: [&str; 26] = [
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

/// Where a page about the service is, and how it is to be written.
pub(super) struct Here<'a> {
    pub base: &'a str,
    /// Its path, without a query.
    pub path: &'a str,
    pub html: bool,
}

impl Here<'_> {
    fn own(&self) -> String {
        format!("{}{}", self.base, self.path)
    }

    /// Links to this page and to its other form.
    fn links(&self, kind: &str) -> Vec<Json> {
        let form = |name: &str| format!("{}?f={name}", self.own());
        let (own, other) = if self.html { (HTML, kind) } else { (kind, HTML) };
        vec![
            link(form(if self.html { "html" } else { "json" }), "self", own),
            link(form(if self.html { "json" } else { "html" }), "alternate", other),
        ]
    }

    fn respond(&self, title: &str, kind: &'static str, json: &Json) -> Response {
        if self.html {
            html::document(title, json)
        } else {
            respond(200, kind, json)
        }
    }
}

fn respond(status: u16, content_type: &'static str, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => Response::new(status, content_type, body),
        Err(e) => Response::new(500, "text/plain", format!("{e}\n")),
    }
}

fn link(href: String, rel: &str, kind: &str) -> Json {
    json!({"href": href, "rel": rel, "type": kind})
}

pub(super) fn problem(status: u16, detail: &str) -> Response {
    let title = match status {
        400 => "Bad request",
        404 => "Not found",
        405 => "Method not allowed",
        406 => "Not acceptable",
        410 => "Gone",
        415 => "Unsupported media type",
        502 => "The servers failed",
        503 => "Refused",
        504 => "Out of time",
        _ => "The request cannot be served",
    };
    respond(
        status,
        PROBLEM,
        &json!({"type": "about:blank", "title": title, "status": status, "detail": detail}),
    )
}

pub(super) fn landing(here: &Here<'_>) -> Response {
    let base = here.base;
    let mut links = here.links(JSON);
    links.extend([
        link(format!("{base}/api"), "service-desc", OPENAPI),
        link(format!("{base}/api?f=html"), "service-doc", HTML),
        link(format!("{base}/conformance"), "conformance", JSON),
        link(format!("{base}/collections"), "data", JSON),
        link(format!("{base}/search"), "search", GEOJSON),
    ]);
    let words = "Feature queries over the servers of an inventory";
    here.respond("quinceflow", JSON, &json!({"title": "quinceflow", "description": words, "links": links}))
}

pub(super) fn conformance(here: &Here<'_>) -> Response {
    here.respond("Conformance", JSON, &json!({"conformsTo": CLASSES, "links": here.links(JSON)}))
}

fn described(base: &str, id: &str, edge: &Edge) -> Json {
    let told = edge.collections.iter().find(|c| c.id == id);
    let path = format!("{base}/collections/{id}");
    let mut collection = json!({
        "id": id,
        "title": told.and_then(|c| c.title.as_deref()).unwrap_or(id),
        "itemType": "feature",
        "crs": Crs::all().map(Crs::uri).collect::<Vec<_>>(),
        "storageCrs": Crs::Crs84.uri(),
        "links": [
            link(path.clone(), "self", JSON),
            link(format!("{path}/items"), "items", GEOJSON),
            link(format!("{path}/items?f=html"), "items", HTML),
            link(format!("{path}/queryables"), "http://www.opengis.net/def/rel/ogc/1.0/queryables", SCHEMA),
            link(format!("{path}/sortables"), "http://www.opengis.net/def/rel/ogc/1.0/sortables", SCHEMA),
            link(format!("{path}/schema"), "describedby", SCHEMA),
        ],
    });
    if let Some(description) = told.and_then(|c| c.description.as_deref()) {
        collection["description"] = description.into();
    }
    if let Some(extent) = told.and_then(|c| c.bbox) {
        collection["extent"] = json!({"spatial": {"bbox": [extent], "crs": Crs::Crs84.uri()}});
    }
    collection
}

pub(super) fn collections(here: &Here<'_>, names: &[String], edge: &Edge) -> Response {
    let all: Vec<Json> = names.iter().map(|n| described(here.base, n, edge)).collect();
    here.respond("Collections", JSON, &json!({"links": here.links(JSON), "collections": all}))
}

pub(super) fn collection(here: &Here<'_>, id: &str, edge: &Edge) -> Response {
    let mut json = described(here.base, id, edge);
    let more = json["links"].as_array().cloned().unwrap_or_default();
    json["links"] = here.links(JSON).into_iter().chain(more.into_iter().skip(1)).collect();
    let title = json["title"].as_str().unwrap_or(id).to_owned();
    here.respond(&title, JSON, &json)
}

/// What can be asked, ordered by, or returned: a JSON schema.
pub(super) fn schema(here: &Here<'_>, title: &str, queryables: &Queryables) -> Response {
    let mut json = queryables.to_schema();
    json["$schema"] = "https://json-schema.org/draft/2020-12/schema".into();
    json["$id"] = here.own().into();
    json["title"] = title.into();
    here.respond(title, SCHEMA, &json)
}

/// The service's description in OpenAPI's form.
pub(super) fn api(here: &Here<'_>, edge: &Edge) -> Response {
    let text = |name: &str, place: &str, what: &str| {
        json!({"name": name, "in": place, "required": place == "path", "description": what,
            "schema": {"type": "string"}})
    };
    let f = json!({"name": "f", "in": "query", "required": false, "description": "the form of the answer",
        "schema": {"type": "string", "enum": ["json", "html"]}});
    let get = |id: &str, what: &str, kind: &str, mut params: Vec<Json>| {
        params.push(f.clone());
        let problem =
            json!({"description": "a problem", "content": {PROBLEM: {"schema": {"type": "object"}}}});
        let ok = json!({"description": what, "content": {kind: {"schema": {"type": "object"}}, HTML: {"schema": {"type": "string"}}}});
        json!({"get": {"operationId": id, "summary": what, "parameters": params,
            "responses": {"200": ok, "400": problem, "404": problem, "500": problem, "503": problem, "default": problem}}})
    };
    let collection = text("collectionId", "path", "a collection");
    let numbers = |name: &str, what: &str| {
        json!({"name": name, "in": "query", "required": false, "description": what, "style": "form", "explode": false,
            "schema": {"type": "array", "minItems": 4, "maxItems": 6, "items": {"type": "number"}}})
    };
    let items = vec![
        collection.clone(),
        json!({"name": "limit", "in": "query", "required": false, "style": "form", "explode": false,
            "schema": {"type": "integer", "minimum": 1, "maximum": edge.most_limit, "default": edge.default_limit}}),
        numbers("bbox", "a box: four or six numbers"),
        text("bbox-crs", "query", "the system of bbox"),
        text("datetime", "query", "a time or an interval, RFC 3339"),
        text("crs", "query", "the system of the answer"),
        text("filter", "query", "a filter in CQL2"),
        text("filter-lang", "query", "cql2-text or cql2-json"),
        text("filter-crs", "query", "the system of the filter's geometries"),
        text("sortby", "query", "properties, the largest first with a minus before them"),
        text("properties", "query", "the properties of the answer"),
        text("cursor", "query", "from a next link"),
    ];
    let one = vec![
        collection.clone(),
        text("featureId", "path", "a feature"),
        text("crs", "query", "the system of the answer"),
    ];
    let paths = json!({
        "/": get("landing", "Landing page", JSON, vec![]),
        "/api": get("api", "This description", OPENAPI, vec![]),
        "/conformance": get("conformance", "Conformance classes", JSON, vec![]),
        "/collections": get("collections", "Collections", JSON, vec![]),
        "/collections/{collectionId}": get("collection", "A collection", JSON, vec![collection.clone()]),
        "/collections/{collectionId}/queryables": get("queryables", "What can be asked", SCHEMA, vec![collection.clone()]),
        "/collections/{collectionId}/sortables": get("sortables", "What can be ordered by", SCHEMA, vec![collection.clone()]),
        "/collections/{collectionId}/schema": get("schema", "What features hold", SCHEMA, vec![collection]),
        "/collections/{collectionId}/items": get("items", "Features", GEOJSON, items),
        "/collections/{collectionId}/items/{featureId}": get("item", "A feature", GEOJSON, one),
        "/search": {"post": {"operationId": "search", "summary": "Features, asked for in a body",
            "requestBody": {"required": true, "content": {JSON: {"schema": {"type": "object"}}}},
            "responses": {"200": {"description": "Features", "content": {GEOJSON: {"schema": {"type": "object"}}}},
                "default": {"description": "a problem", "content": {PROBLEM: {"schema": {"type": "object"}}}}}}},
    });
    here.respond(
        "API",
        OPENAPI,
        &json!({
            "openapi": "3.0.3",
            "info": {"title": "quinceflow", "version": env!("CARGO_PKG_VERSION")},
            "servers": [{"url": here.base}],
            "paths": paths,
        }),
    )
}

/// How features are changed for an answer: turned into another system, and some properties left out.
pub(super) struct Shape<'a> {
    transform: Option<Transform>,
    properties: Option<&'a [String]>,
}

impl<'a> Shape<'a> {
    /// As a query wants it.
    pub fn of(params: &'a Params) -> Self {
        let transform = if params.crs == Crs::Crs84 { None } else { Transform::of(params.crs) };
        Shape { transform, properties: params.properties.as_deref() }
    }

    fn none(&self) -> bool {
        self.transform.is_none() && self.properties.is_none()
    }

    fn change(&self, feature: &mut Json) {
        if let Some(transform) = &self.transform {
            if !transform.geojson_out(&mut feature["geometry"]) {
                // Where the system is not defined there is no place to give.
                feature["geometry"] = Json::Null;
            }
            if let Some(members) = feature.as_object_mut() {
                members.remove("bbox");
            }
        }
        if let (Some(names), Some(members)) = (self.properties, feature["properties"].as_object_mut()) {
            members.retain(|name, _| names.iter().any(|n| n == name));
        }
    }

    /// A feature so changed. `None`: it is no JSON.
    pub fn apply<'t>(&self, feature: &'t [u8]) -> Option<Cow<'t, [u8]>> {
        if self.none() {
            return Some(Cow::Borrowed(feature));
        }
        let mut json: Json = serde_json::from_slice(feature).ok()?;
        self.change(&mut json);
        serde_json::to_vec(&json).ok().map(Cow::Owned)
    }
}

/// Sent back for now.
pub(super) fn refused(come_back: Option<Micros>) -> Response {
    let mut response = problem(503, "too much is asked at present; ask again");
    // Whole seconds here, and never none: that would ask for a storm.
    let wait = come_back.unwrap_or(Micros::ZERO).0.div_ceil(1_000_000).max(1);
    response.headers.push(("Retry-After", wait.to_string()));
    response
}

/// What a query gets that is not answered.
pub(super) fn unanswered(answer: &Answer) -> Option<Response> {
    match answer {
        Answer::Served { .. } => None,
        Answer::Rejected { late: true, .. } | Answer::Failed { late: true } => {
            Some(problem(504, "the servers did not answer in time"))
        }
        Answer::Rejected { retry_after: come_back, late: false } => Some(refused(*come_back)),
        Answer::UnknownClass => Some(problem(400, "X-Qos names no class")),
        Answer::DuplicateRequestId => Some(problem(409, "another request of that name is open")),
        Answer::Failed { late: false } => Some(problem(502, "too many of the servers failed")),
    }
}

/// A feature's id as a hash; 0 for one without.
pub(super) fn feature_id(feature: &[u8]) -> u64 {
    #[derive(serde::Deserialize)]
    struct Named<'a> {
        #[serde(borrow)]
        id: Option<&'a RawValue>,
    }
    let id = serde_json::from_slice::<Named<'_>>(feature).ok().and_then(|f| f.id);
    id.map_or(0, |id| hash(&[id.get().as_bytes()]) | 1)
}

/// A page's bytes, shared with an answer that is written.
struct Bytes(Arc<Page>, #[allow(dead_code)] Arc<BytesTaken>);

impl AsRef<[u8]> for Bytes {
    fn as_ref(&self) -> &[u8] {
        &self.0.body
    }
}

/// The features of a query, in order.
pub(super) fn items(ready: Ready<'_>) -> Response {
    let asked = ready.asked;
    let path = format!("{}/collections/{}/items", asked.base, asked.collection);
    let rest = about(&ready, &path);
    let tag = {
        let features = |(page, range): &(Arc<Page>, std::ops::Range<usize>)| {
            let first = page.features[range.clone()].first().map_or(0, |f| f.start);
            let last = page.features[range.clone()].last().map_or(0, |f| f.end);
            (page.clone(), first..last.max(first))
        };
        // Not the cursor itself: each answer's is another one.
        let more = ready.next.is_some();
        let told =
            format!("{more} {:?} {:?} {} {}", ready.matched, ready.missing, asked.html, asked.params.bound());
        let all: Vec<_> = ready.pages.iter().map(features).collect();
        deliver::tag(all.iter().map(|(page, range)| &page.body[range.clone()]).chain([told.as_bytes()]))
    };
    let mut response = if asked.html {
        html::items(&ready, &rest)
    } else {
        Response::new(200, GEOJSON, geojson(&ready, &rest))
    };
    response.headers.push((WHOLE, ready.whole.to_string()));
    response.headers.push(("Content-Crs", format!("<{}>", asked.params.crs)));
    response.headers.push(("ETag", tag));
    response
}

/// What an answer says beside its features.
fn about(ready: &Ready<'_>, path: &str) -> Json {
    let asked = ready.asked;
    let mut links = Vec::new();
    match &asked.search {
        None => {
            let mut others = super::params::form_urlencoded(&asked.query);
            others.retain(|p| p.0 != "f");
            let form = |f: &str, more: Option<&str>| {
                let mut query = url::form_urlencoded::Serializer::new(String::new());
                let kept = others.iter().filter(|p| more.is_none() || p.0 != "cursor");
                query.extend_pairs(kept).append_pair("f", f);
                query.extend_pairs(more.map(|cursor| ("cursor", cursor)));
                format!("{path}?{}", query.finish())
            };
            let (own, other) = if asked.html { ("html", "json") } else { ("json", "html") };
            let kind = |f: &str| if f == "html" { HTML } else { GEOJSON };
            links.push(link(form(own, None), "self", kind(own)));
            links.push(link(form(other, None), "alternate", kind(other)));
            links.extend(ready.next.as_ref().map(|cursor| link(form(own, Some(cursor)), "next", kind(own))));
        }
        Some(body) => {
            let href = format!("{}/search", asked.base);
            links.push(json!({"rel": "self", "href": href, "method": "POST", "type": GEOJSON}));
            if let Some(cursor) = &ready.next {
                let mut body = body.clone();
                body["token"] = cursor.as_str().into();
                links.push(
                    json!({"rel": "next", "href": href, "method": "POST", "type": GEOJSON, "body": body}),
                );
            }
        }
    }
    links.push(link(format!("{}/collections/{}", asked.base, asked.collection), "collection", JSON));
    let mut rest = json!({
        "type": "FeatureCollection",
        "timeStamp": OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default(),
        "numberReturned": ready.count,
        "links": links,
    });
    if !ready.whole {
        // Nothing here may pass for the whole: a map without a shard's devices looks like one without devices.
        rest["partial"] = true.into();
        rest["missing"] = ready.missing.clone().into();
    } else if let Some(matched) = ready.matched {
        rest["numberMatched"] = matched.into();
    }
    rest
}

/// The features go in as they came, not parsed and printed anew, unless they are to be changed; what comes in one stretch
/// is not even copied.
fn geojson(ready: &Ready<'_>, rest: &Json) -> Body {
    let mut body = Body::from("{\"features\":[");
    let shape = Shape::of(&ready.asked.params);
    let mut first = true;
    for (page, range) in &ready.pages {
        let features = &page.features[range.clone()];
        if !shape.none() {
            for feature in features.iter().filter_map(|f| shape.apply(&page.body[f.clone()])) {
                if !std::mem::take(&mut first) {
                    body.push(b",");
                }
                body.push(&feature);
            }
            continue;
        }
        let held: SharedBytes = Arc::new(Bytes(page.clone(), ready.bytes.clone()));
        // Between two features that follow each other in the page there is a comma and nothing else that counts.
        let joined = |a: &std::ops::Range<usize>, b: &std::ops::Range<usize>| {
            let between = &page.body[a.end..b.start];
            between.iter().all(|c| c.is_ascii_whitespace() || *c == b',') && between.contains(&b',')
        };
        for stretch in features.chunk_by(joined) {
            if !std::mem::take(&mut first) {
                body.push(b",");
            }
            let (from, to) = (stretch.first().map_or(0, |f| f.start), stretch.last().map_or(0, |f| f.end));
            body.push_shared(held.clone(), from..to);
        }
    }
    body.push(b"],");
    body.push(&rest.to_string().as_bytes()[1..]);
    body
}

/// One feature by its id.
pub(super) fn feature(
    base: &str,
    collection: &str,
    visits: &[(ShardId, Arc<Visit>)],
    (crs, html): (Crs, bool),
    answer: Answer,
) -> Response {
    if let Some(response) = unanswered(&answer) {
        return response;
    }
    let Answer::Served { complete: whole, parts } = answer else { return problem(500, "no answer") };
    let page = |part: &ServedPart| visits.iter().find(|v| v.0 == part.shard)?.1.page(&part.value);
    let text = |page: Arc<Page>| Some(page.body[page.features.first()?.clone()].to_vec());
    let found = parts.iter().filter_map(page).find_map(text);
    match found {
        Some(text) => {
            let Ok(mut feature @ Json::Object(_)) = serde_json::from_slice::<Json>(&text) else {
                COUNTERS.bad_frames.increment();
                return problem(502, "a server gave what is no feature");
            };
            let transform = if crs == Crs::Crs84 { None } else { Transform::of(crs) };
            Shape { transform, properties: None }.change(&mut feature);
            let path = format!("{base}/collections/{collection}");
            let id = match &feature["id"] {
                Json::String(id) => id.clone(),
                Json::Null => String::new(),
                id => id.to_string(),
            };
            let own = format!("{path}/items/{}", utf8_percent_encode(&id, NON_ALPHANUMERIC));
            let form = |f: &str| format!("{own}?f={f}");
            let (a, b) = if html { ("html", "json") } else { ("json", "html") };
            let kind = |f: &str| if f == "html" { HTML } else { GEOJSON };
            feature["links"] = json!([
                link(form(a), "self", kind(a)),
                link(form(b), "alternate", kind(b)),
                link(path, "collection", JSON)
            ]);
            let mut response = if html { html::feature(&feature) } else { respond(200, GEOJSON, &feature) };
            response.headers.push(("Content-Crs", format!("<{crs}>")));
            response
        }
        None if whole && parts.len() == visits.len() => problem(404, "there is no feature of that id"),
        // A shard that did not answer may hold it.
        None => problem(502, "not found where it could be looked for; some servers failed"),
    }
}
