//! Part 1: HTTP, GeoJSON, HTML and OpenAPI 3.0; and caching, compression and problem details (RFC
//! 9457), which no conformance class requires.

use super::check::{require, Check, EarlyExit, Verdict};
use super::core::CORE;
use super::documents::{get_api_definition_json, require_status};
use super::Suite;
use crate::client::{feature_id, Header, Request};
use serde_json::Value as Json;

const GEO_JSON: &str = "ogcapi-features-1/1.0/conf/geojson";
const HTML: &str = "ogcapi-features-1/1.0/conf/html";
const OPEN_API: &str = "ogcapi-features-1/1.0/conf/oas30";
/// Class suffix of the checks that apply to every service.
const NO_CLASS: &str = "";

/// Geometry types of GeoJSON (RFC 7946).
const GEOMETRY_TYPES: [&str; 7] = [
    "Point",
    "MultiPoint",
    "LineString",
    "MultiLineString",
    "Polygon",
    "MultiPolygon",
    "GeometryCollection",
];

/// Paths that an API definition must have.
const API_PATHS: [&str; 6] = [
    "/",
    "/conformance",
    "/collections",
    "/collections/{collectionId}",
    "/collections/{collectionId}/items",
    "/collections/{collectionId}/items/{featureId}",
];

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new("/conf/core/http", CORE, |suite| {
        let delete = suite.send(&Request::new("DELETE", "/collections", &[]))?;
        require(
            delete.status == 405 && !delete.header("allow").is_empty(),
            || format!("DELETE: {} without Allow", delete.status),
        )?;
        let path = suite.items_path();
        let head = suite.send(&Request::new("HEAD", &path, &[]))?;
        let get = suite.get(&path)?;
        let matches_get = head.status == 200
            && head.body.is_empty()
            && head.header("content-type") == get.header("content-type");
        require(matches_get, || {
            format!("HEAD: status {}, {} bytes", head.status, head.body.len())
        })
    }),
    Check::new("/conf/core/cache", NO_CLASS, |suite| {
        let path = suite.items_path();
        let tag = suite.get(&path)?.header("etag").to_owned();
        if tag.is_empty() {
            return Err(EarlyExit::not_applicable("no ETag is sent"));
        }
        let revalidation = suite.get_with(&path, &[Header::new("If-None-Match", &tag)])?;
        require(
            revalidation.status == 304 && revalidation.body.is_empty(),
            || format!("status {} for a current ETag", revalidation.status),
        )
    }),
    Check::new("/conf/core/gzip", NO_CLASS, |suite| {
        let path = format!("{}?limit=200", suite.items_path());
        let plain = suite.get(&path)?;
        let compressed = suite.get_with(&path, &[Header::new("Accept-Encoding", "gzip")])?;
        if compressed.header("content-encoding") != "gzip" {
            return Err(EarlyExit::not_applicable("responses are not compressed"));
        }
        let is_same = compressed.json()["features"] == plain.json()["features"];
        require(
            is_same && compressed.encoded_length < plain.encoded_length,
            || "the decompressed features differ, or the body is not shorter".to_owned(),
        )
    }),
    Check::new("/conf/geojson/definition", GEO_JSON, |suite| {
        let items = suite.items_path();
        let item = format!("{items}/{}", feature_id(suite.first_feature()?));
        for path in [items, item] {
            let response =
                suite.get_with(&path, &[Header::new("Accept", "application/geo+json")])?;
            require(
                response
                    .header("content-type")
                    .starts_with("application/geo+json"),
                || format!("{path}: {:?}", response.header("content-type")),
            )?;
        }
        Ok(())
    }),
    Check::new("/conf/geojson/content", GEO_JSON, |suite| {
        suite.features.iter().try_for_each(|feature| {
            require(is_geo_json_feature(feature), || {
                format!("feature {} is not valid GeoJSON", feature_id(feature))
            })
        })
    }),
    Check::new("/conf/html/definition", HTML, |suite| {
        let collection = format!("/collections/{}", suite.collection);
        for path in [
            "/".to_owned(),
            "/collections".to_owned(),
            collection,
            suite.items_path(),
        ] {
            let response = suite.get_with(&path, &[Header::new("Accept", "text/html")])?;
            let media_type = response.header("content-type");
            require(
                response.status == 200 && media_type.starts_with("text/html"),
                || format!("{path}: {} {media_type:?}", response.status),
            )?;
        }
        Ok(())
    }),
    Check::new("/conf/html/content", HTML, check_html_page),
    Check::new("/conf/html/negotiation", HTML, |suite| {
        let response = suite.get_with("/collections", &[Header::new("Accept", "image/png")])?;
        require_status(&response, 406)
    }),
    Check::new("/conf/oas30/completeness", OPEN_API, |suite| {
        let api = get_api_definition_json(suite)?;
        let missing: Vec<_> = API_PATHS
            .iter()
            .filter(|path| !api["paths"][**path]["get"].is_object())
            .collect();
        require(missing.is_empty(), || {
            format!("paths are missing: {missing:?}")
        })
    }),
    Check::new("/conf/oas30/exceptions-codes", OPEN_API, |suite| {
        let api = get_api_definition_json(suite)?;
        let responses = &api["paths"]["/collections/{collectionId}/items"]["get"]["responses"];
        let has_error =
            |status: &str| responses[status].is_object() || responses["default"].is_object();
        require(
            responses["200"].is_object() && has_error("400") && has_error("404"),
            || format!("responses: {responses}"),
        )
    }),
    Check::new("/conf/core/problem", NO_CLASS, |suite| {
        let items = suite.items_path();
        require_problem(suite, &format!("{items}?filter=(("), 400)?;
        require_problem(suite, &format!("{items}?cursor=forged"), 400)?;
        require_problem(suite, "/nowhere", 404)
    }),
];

fn is_geo_json_feature(feature: &Json) -> bool {
    let geometry = &feature["geometry"];
    let has_known_type = || {
        GEOMETRY_TYPES
            .iter()
            .any(|known| geometry["type"] == *known)
    };
    feature["type"] == "Feature"
        && feature["properties"].is_object()
        && (geometry.is_null() || has_known_type())
}

/// Requires the HTML page of the items to list and draw every feature.
fn check_html_page(suite: &mut Suite) -> Verdict {
    let page = suite
        .get(&format!("{}?f=html&limit=5", suite.items_path()))?
        .text();
    let json = suite.get_items("limit=5")?;
    let ids: Vec<String> = json["features"]
        .as_array()
        .into_iter()
        .flatten()
        .map(feature_id)
        .collect();
    require(
        page.contains("<html") && ids.iter().all(|id| page.contains(id.as_str())),
        || "a feature is not on the page".to_owned(),
    )?;
    let shapes = page.matches("<circle").count() + page.matches("<path").count();
    require(page.contains("<svg") && shapes >= ids.len(), || {
        "features are not drawn".to_owned()
    })
}

/// Requires a request to fail with this status and problem details.
fn require_problem(suite: &mut Suite, path: &str, status: u16) -> Verdict {
    let response = suite.get(path)?;
    let json = response.json();
    let has_details = response
        .header("content-type")
        .starts_with("application/problem+json")
        && json["status"] == status
        && json["title"].is_string();
    require(response.status == status && has_details, || {
        format!("{path}: {} {}", response.status, response.text())
    })
}
