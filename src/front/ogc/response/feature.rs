//! The response to a request for one feature by its identifier.

use super::html;
use super::json::{json_response, GEOJSON, JSON};
use super::links::{link, self_and_alternate};
use super::problem::error_response;
use super::projection::FeatureProjection;
use crate::coordinator::{Answer, ServedPart, COUNTERS};
use crate::front::ogc::crs::Crs;
use crate::front::ogc::error::ApiError;
use crate::front::ogc::paging::FeaturePage;
use crate::front::ogc::params::Format;
use crate::front::ogc::round::ShardRequest;
use crate::proto::http::Response;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde_json::{json, Value as Json};
use std::sync::Arc;

/// A request for one feature, which may be in any shard of its collection.
pub(in crate::front::ogc) struct FeatureRequest {
    /// URL of the service, without a trailing slash.
    pub base_url: String,
    /// Name of the collection.
    pub collection: String,
    /// Coordinate reference system of the response.
    pub crs: Crs,
    /// Format of the response.
    pub format: Format,
    /// Requests to the shards that may have the feature.
    pub shard_requests: Vec<ShardRequest>,
}

/// Renders the response to a request for one feature.
pub(in crate::front::ogc) fn feature(request: &FeatureRequest, answer: Answer) -> Response {
    find_feature(request, answer)
        .and_then(|text| render(request, &text))
        .unwrap_or_else(|error| error_response(&error))
}

/// Returns the JSON text of the feature from the first shard that has it.
fn find_feature(request: &FeatureRequest, answer: Answer) -> Result<Vec<u8>, ApiError> {
    if let Some(error) = ApiError::from_answer(&answer) {
        return Err(error);
    }
    let Answer::Served { complete, parts } = answer else {
        return Err(ApiError::NoAnswer);
    };
    let page = |part: &ServedPart| {
        let shard_request = request
            .shard_requests
            .iter()
            .find(|request| request.shard == part.shard)?;
        shard_request.page_request.page(&part.value)
    };
    let text = |page: Arc<FeaturePage>| Some(page.body[page.features.first()?.clone()].to_vec());
    let found = parts.iter().filter_map(page).find_map(text);
    let all_searched = complete && parts.len() == request.shard_requests.len();
    found.ok_or(if all_searched {
        ApiError::NoSuchFeature
    } else {
        ApiError::FeatureLookupIncomplete
    })
}

/// Renders a feature, given as JSON text.
fn render(request: &FeatureRequest, text: &[u8]) -> Result<Response, ApiError> {
    let Ok(mut feature @ Json::Object(_)) = serde_json::from_slice::<Json>(text) else {
        COUNTERS.bad_frames.increment();
        return Err(ApiError::InvalidFeature);
    };
    FeatureProjection::to_crs(request.crs).apply(&mut feature);
    feature["links"] = links(request, &feature["id"]);
    let mut response = match request.format {
        Format::Json => json_response(200, GEOJSON, &feature),
        Format::Html => html::feature(&feature),
    };
    response.add_header("Content-Crs", format!("<{}>", request.crs));
    Ok(response)
}

/// Returns the links of a feature.
fn links(request: &FeatureRequest, id: &Json) -> Json {
    let id = match id {
        Json::String(id) => id.clone(),
        Json::Null => String::new(),
        id => id.to_string(),
    };
    let collection = format!("{}/collections/{}", request.base_url, request.collection);
    let url = format!(
        "{collection}/items/{}",
        utf8_percent_encode(&id, NON_ALPHANUMERIC)
    );
    let [self_link, alternate_link] =
        self_and_alternate(request.format, GEOJSON, |f| format!("{url}?f={f}"));
    json!([
        self_link,
        alternate_link,
        link(collection, "collection", JSON)
    ])
}
