//! The response to a query for features: a GeoJSON feature collection (RFC 7946; OGC API -
//! Features, Part 1, 7.15) or an HTML page.

use super::html;
use super::items_result::ItemsResult;
use super::json::{GEOJSON, JSON};
use super::links::{format_name, link, media_type, self_and_alternate};
use super::projection::FeatureProjection;
use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::delivery::entity_tag;
use crate::front::ogc::paging::{FeaturePage, PageSlice};
use crate::front::ogc::params::{decode_query, Format};
use crate::front::ogc::reservations::MemoryReservation;
use crate::proto::body::{Body, SharedBytes};
use crate::proto::http::Response;
use serde_json::{json, Value as Json};
use std::ops::Range;
use std::sync::Arc;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Header that states whether the response is complete, that is, whether no shard is missing.
const COMPLETENESS_HEADER: &str = "X-Answer-Whole";

/// Renders the response to a query for features.
pub(in crate::front::ogc) fn feature_collection(result: &ItemsResult<'_>) -> Response {
    let request = result.request;
    let members = collection_members(result);
    let tag = items_tag(result);
    let mut response = match request.format {
        Format::Json => Response::new(200, GEOJSON, geojson(result, &members)),
        Format::Html => html::feature_collection(result, &members),
    };
    response.add_header(COMPLETENESS_HEADER, result.complete.to_string());
    response.add_header("Content-Crs", format!("<{}>", request.params.crs));
    response.add_header("ETag", tag);
    response
}

/// Returns the entity tag: a hash of the features and of everything else that the body depends on,
/// except for its time and the value of its cursor, which differ in each response.
fn items_tag(result: &ItemsResult<'_>) -> String {
    let request = result.request;
    let html = request.format == Format::Html;
    let other_content = format!(
        "{} {:?} {:?} {html} {}",
        result.next_cursor.is_some(),
        result.number_matched,
        result.missing_shards,
        request.params.cursor_binding()
    );
    entity_tag(
        result
            .slices
            .iter()
            .map(PageSlice::span)
            .chain([other_content.as_bytes()]),
    )
}

/// Returns the members of the feature collection other than `features`.
fn collection_members(result: &ItemsResult<'_>) -> Json {
    let mut members = json!({
        "type": "FeatureCollection",
        "timeStamp": OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default(),
        "numberReturned": result.number_returned,
        "links": links(result),
    });
    if !result.complete {
        // Clients must be able to distinguish a partial response from a complete one: on a map, a
        // missing shard looks like an area without features.
        members["partial"] = true.into();
        members["missing"] = result.missing_shards.clone().into();
    } else if let Some(matched) = result.number_matched {
        members["numberMatched"] = matched.into();
    }
    members
}

/// Returns the links of the response.
fn links(result: &ItemsResult<'_>) -> Vec<Json> {
    let request = result.request;
    let mut links = match &request.search_body {
        None => items_links(request, result.next_cursor.as_deref()),
        Some(body) => search_links(request, &body.json, result.next_cursor.as_deref()),
    };
    let collection = format!("{}/collections/{}", request.base_url, request.collection);
    links.push(link(collection, "collection", JSON));
    links
}

/// Returns the links of the response to a query in a query string.
fn items_links(request: &ItemsRequest, next_cursor: Option<&str>) -> Vec<Json> {
    let path = format!(
        "{}/collections/{}/items",
        request.base_url, request.collection
    );
    let mut parameters = decode_query(&request.query_string);
    parameters.retain(|parameter| parameter.name != "f");
    let href = |format: &str, cursor: Option<&str>| {
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        let remaining_parameters = parameters
            .iter()
            .filter(|parameter| cursor.is_none() || parameter.name != "cursor")
            .map(|parameter| (&parameter.name, &parameter.value));
        query
            .extend_pairs(remaining_parameters)
            .append_pair("f", format);
        query.extend_pairs(cursor.map(|cursor| ("cursor", cursor)));
        format!("{path}?{}", query.finish())
    };
    let mut links: Vec<Json> =
        self_and_alternate(request.format, GEOJSON, |f| href(f, None)).into();
    let next_link = |cursor| {
        let href = href(format_name(request.format), Some(cursor));
        link(href, "next", media_type(request.format, GEOJSON))
    };
    links.extend(next_cursor.map(next_link));
    links
}

/// Returns the links of the response to a search; the `next` link contains the body to send.
fn search_links(request: &ItemsRequest, body: &Json, next_cursor: Option<&str>) -> Vec<Json> {
    let href = format!("{}/search", request.base_url);
    let mut links = vec![json!({"rel": "self", "href": href, "method": "POST", "type": GEOJSON})];
    if let Some(cursor) = next_cursor {
        let mut body = body.clone();
        body["token"] = cursor.into();
        links.push(
            json!({"rel": "next", "href": href, "method": "POST", "type": GEOJSON, "body": body}),
        );
    }
    links
}

/// Renders the collection as GeoJSON.
///
/// Unless the query changes the features, they keep the text that their servers sent: the body then
/// refers to the bytes of the pages, in one segment for each run of adjacent features, instead of
/// copying them.
fn geojson(result: &ItemsResult<'_>, members: &Json) -> Body {
    let mut body = Body::from("{\"features\":[");
    let projection = FeatureProjection::from_params(&result.request.params);
    let mut separator = Separator::default();
    for slice in &result.slices {
        if projection.is_identity() {
            push_shared(&mut body, &mut separator, slice, &result.memory);
        } else {
            push_projected(&mut body, &mut separator, slice, &projection);
        }
    }
    body.push(b"],");
    // Skips the opening brace, since the body already has one.
    body.push(&members.to_string().as_bytes()[1..]);
    body
}

/// Separator of the elements of a JSON array: a comma before every element but the first.
#[derive(Default)]
struct Separator {
    started: bool,
}

impl Separator {
    /// Writes a comma unless this is the first element.
    fn push_to(&mut self, body: &mut Body) {
        if std::mem::replace(&mut self.started, true) {
            body.push(b",");
        }
    }
}

fn push_projected(
    body: &mut Body,
    separator: &mut Separator,
    slice: &PageSlice,
    projection: &FeatureProjection<'_>,
) {
    for feature in slice
        .texts()
        .filter_map(|feature| projection.apply_to_text(feature))
    {
        separator.push_to(body);
        body.push(&feature);
    }
}

/// Appends the features of a slice without copying their bytes.
fn push_shared(
    body: &mut Body,
    separator: &mut Separator,
    slice: &PageSlice,
    memory: &Arc<MemoryReservation>,
) {
    let page = &slice.page;
    let shared: SharedBytes = Arc::new(SharedPage {
        page: page.clone(),
        _memory: memory.clone(),
    });
    for adjacent in slice
        .ranges()
        .chunk_by(|left, right| are_adjacent(page, left, right))
    {
        separator.push_to(body);
        let start = adjacent.first().map_or(0, |range| range.start);
        let end = adjacent.last().map_or(0, |range| range.end);
        body.push_shared(shared.clone(), start..end);
    }
}

/// Returns whether only a comma and white space separate two features of a page.
fn are_adjacent(page: &FeaturePage, left: &Range<usize>, right: &Range<usize>) -> bool {
    let between = &page.body[left.end..right.start];
    between
        .iter()
        .all(|c| c.is_ascii_whitespace() || *c == b',')
        && between.contains(&b',')
}

/// The bytes of a page that a response refers to. Until the response is written, it keeps the page
/// and the reservation of its memory.
struct SharedPage {
    page: Arc<FeaturePage>,
    _memory: Arc<MemoryReservation>,
}

impl AsRef<[u8]> for SharedPage {
    fn as_ref(&self) -> &[u8] {
        &self.page.body
    }
}
