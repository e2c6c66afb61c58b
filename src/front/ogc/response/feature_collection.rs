//! Response to a query for features: a GeoJSON feature collection (RFC 7946; OGC API - Features,
//! Part 1, 7.15) or HTML.

use super::html;
use super::items_result::ItemsResult;
use super::json::{GEOJSON, JSON};
use super::links::{format_name, link, media_type, self_and_alternate};
use super::projection::FeatureProjection;
use crate::front::ogc::admission::MemoryReservation;
use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::delivery::entity_tag;
use crate::front::ogc::paging::{FeaturePage, PageSlice};
use crate::front::ogc::params::{decode_query, Format};
use crate::proto::body::{Body, SharedBytes};
use crate::proto::http::Response;
use serde_json::{json, Value as Json};
use std::ops::Range;
use std::sync::Arc;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Header that tells whether all shards are in the response.
const COMPLETE_HEADER: &str = "X-Answer-Whole";

/// Renders the response to a query for features.
pub(in crate::front::ogc) fn feature_collection(result: &ItemsResult<'_>) -> Response {
    let request = result.request;
    let members = other_members(result);
    let tag = items_tag(result);
    let mut response = match request.format {
        Format::Json => Response::new(200, GEOJSON, geojson(result, &members)),
        Format::Html => html::feature_collection(result, &members),
    };
    response.add_header(COMPLETE_HEADER, result.complete.to_string());
    response.add_header("Content-Crs", format!("<{}>", request.params.crs));
    response.add_header("ETag", tag);
    response
}

/// Returns the entity tag, from the features and everything else that the body depends on except
/// its time.
///
/// The cursor is excluded, since each response has another one.
fn items_tag(result: &ItemsResult<'_>) -> String {
    let request = result.request;
    let html = request.format == Format::Html;
    let other_members = format!(
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
            .chain([other_members.as_bytes()]),
    )
}

/// Returns the members of the collection other than its features.
fn other_members(result: &ItemsResult<'_>) -> Json {
    let mut members = json!({
        "type": "FeatureCollection",
        "timeStamp": OffsetDateTime::now_utc().format(&Rfc3339).unwrap_or_default(),
        "numberReturned": result.number_returned,
        "links": links(result),
    });
    if !result.complete {
        // Clients must be able to tell a partial response from a complete one: on a map, a missing
        // shard looks like an area without features.
        members["partial"] = true.into();
        members["missing"] = result.missing_shards.clone().into();
    } else if let Some(matched) = result.number_matched {
        members["numberMatched"] = matched.into();
    }
    members
}

/// Returns the links of a response to a query or a search.
fn links(result: &ItemsResult<'_>) -> Vec<Json> {
    let request = result.request;
    let mut links = match &request.search_body {
        None => items_links(request, result.next_cursor.as_deref()),
        Some(body) => search_links(request, body, result.next_cursor.as_deref()),
    };
    let collection = format!("{}/collections/{}", request.base_url, request.collection);
    links.push(link(collection, "collection", JSON));
    links
}

/// Returns the links of a query's response.
fn items_links(request: &ItemsRequest, next_cursor: Option<&str>) -> Vec<Json> {
    let path = format!(
        "{}/collections/{}/items",
        request.base_url, request.collection
    );
    let mut parameters = decode_query(&request.query_string);
    parameters.retain(|parameter| parameter.name != "f");
    let href = |format: &str, cursor: Option<&str>| {
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        let kept = parameters
            .iter()
            .filter(|parameter| cursor.is_none() || parameter.name != "cursor")
            .map(|parameter| (&parameter.name, &parameter.value));
        query.extend_pairs(kept).append_pair("f", format);
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

/// Returns the links of a search, which carry the body to send.
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

/// Writes the collection as GeoJSON.
///
/// Features are written as their servers wrote them unless the query changes them. The bytes of
/// features that are adjacent in a page are shared without a copy.
fn geojson(result: &ItemsResult<'_>, members: &Json) -> Body {
    let mut body = Body::from("{\"features\":[");
    let projection = FeatureProjection::of(&result.request.params);
    let mut separator = Separator::default();
    for slice in &result.slices {
        if projection.is_identity() {
            push_shared(&mut body, &mut separator, slice, &result.memory);
        } else {
            push_projected(&mut body, &mut separator, slice, &projection);
        }
    }
    body.push(b"],");
    // The members without their opening brace.
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
        .filter_map(|feature| projection.apply(feature))
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
        .chunk_by(|left, right| is_adjacent(page, left, right))
    {
        separator.push_to(body);
        let start = adjacent.first().map_or(0, |range| range.start);
        let end = adjacent.last().map_or(0, |range| range.end);
        body.push_shared(shared.clone(), start..end);
    }
}

/// Returns whether only a comma and white space separate two features of a page.
fn is_adjacent(page: &FeaturePage, left: &Range<usize>, right: &Range<usize>) -> bool {
    let between = &page.body[left.end..right.start];
    between
        .iter()
        .all(|c| c.is_ascii_whitespace() || *c == b',')
        && between.contains(&b',')
}

/// Bytes of a page, shared with a response until it is written.
struct SharedPage {
    page: Arc<FeaturePage>,
    _memory: Arc<MemoryReservation>,
}

impl AsRef<[u8]> for SharedPage {
    fn as_ref(&self) -> &[u8] {
        &self.page.body
    }
}
