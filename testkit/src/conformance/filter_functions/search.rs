//! Searches by POST with a filter in CQL2 JSON.

use super::super::check::{require, require_same_ids, EarlyExit, Verdict};
use super::super::filters::number_is;
use super::super::samples::{BoundingBox, Sample};
use super::super::Suite;
use crate::client::{Header, Request, Response};
use serde_json::{json, Value as Json};

/// Number of points on each of the four edges of the polygon in the filter.
const POINTS_PER_EDGE: u32 = 2_500;
/// Maximum number of features that the search requests.
const SEARCH_LIMIT: usize = 500;

/// Checks a search for numbers above the median in a polygon of ten thousand points.
pub(super) fn check_search_by_post(suite: &mut Suite) -> Verdict {
    let Sample {
        name,
        value: median,
    } = suite.median_number()?;
    let bbox = suite.middle_box()?;
    let geometry = suite.geometry_queryable()?;
    let above = json!({"op": ">", "args": [{"property": name}, median]});
    let polygon = json!({"type": "Polygon", "coordinates": [ring_of(bbox)]});
    let within = json!({"op": "s_intersects", "args": [{"property": geometry}, polygon]});
    let response = post_search(suite, &json!({"op": "and", "args": [above, within]}))?;
    if matches!(response.status, 404 | 405) {
        return Err(EarlyExit::not_applicable("there is no POST /search"));
    }
    require(response.status == 200, || {
        format!(
            "status {}: {}",
            response.status,
            response.text().chars().take(200).collect::<String>()
        )
    })?;
    let mut found = response.ids();
    found.sort();
    let expected = suite.expected_ids(|feature| {
        bbox.contains(feature) && number_is(feature, &name, |n| n > median)
    });
    if expected.len() > SEARCH_LIMIT {
        return require(found.len() == SEARCH_LIMIT, || {
            format!("{} features", found.len())
        });
    }
    require_same_ids("an area of 10,000 points", &found, &expected)
}

/// Sends a search of the collection with a filter in CQL2 JSON and returns the response.
fn post_search(suite: &mut Suite, filter: &Json) -> Result<Response, EarlyExit> {
    let search = json!({
        "collections": [suite.collection],
        "limit": SEARCH_LIMIT,
        "filter-lang": "cql2-json",
        "filter": filter,
    });
    let body = search.to_string();
    let headers = [Header::new("Content-Type", "application/json")];
    suite.send(&Request {
        body: body.as_bytes(),
        ..Request::new("POST", "/search", &headers)
    })
}

/// Returns the boundary of a box as a closed ring with [`POINTS_PER_EDGE`] points on each edge.
fn ring_of(bbox: BoundingBox) -> Vec<[f64; 2]> {
    let BoundingBox {
        west,
        south,
        east,
        north,
    } = bbox;
    let interpolate = |from: f64, to: f64, index: u32| {
        from + (to - from) * f64::from(index) / f64::from(POINTS_PER_EDGE)
    };
    let edge = |from: [f64; 2], to: [f64; 2]| {
        (0..POINTS_PER_EDGE).map(move |index| {
            [
                interpolate(from[0], to[0], index),
                interpolate(from[1], to[1], index),
            ]
        })
    };
    let corners = [
        [west, south],
        [east, south],
        [east, north],
        [west, north],
        [west, south],
    ];
    let mut ring: Vec<[f64; 2]> = corners
        .windows(2)
        .flat_map(|pair| edge(pair[0], pair[1]))
        .collect();
    ring.push(corners[0]);
    ring
}
