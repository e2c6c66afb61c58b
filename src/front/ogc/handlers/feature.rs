//! The handler of requests for one feature by its identifier:
//! `GET /collections/{collectionId}/items/{featureId}`.

use super::{parameter_value, ResourceRequest};
use crate::front::ogc::crs::Crs;
use crate::front::ogc::error::ApiError;
use crate::front::ogc::page_request::{PageRequest, RequestKind};
use crate::front::ogc::response::feature::{feature as feature_response, FeatureRequest};
use crate::front::ogc::round::{coordinator_request, count_response, ShardRequest};
use crate::front::ogc::shards::{shards_of, NamedShard};
use crate::front::Reaction;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use std::sync::Arc;

/// The maximum length of a feature's identifier, in bytes.
const MAX_ID_BYTES: usize = 512;

/// Requests the feature from all shards of the collection.
pub(super) fn feature(
    request: &ResourceRequest<'_>,
    collection: &str,
    feature_id: &str,
) -> Result<Reaction, ApiError> {
    let incoming = request.incoming;
    let shards = shards_of(incoming.state, collection)?;
    if feature_id.len() > MAX_ID_BYTES {
        return Err(ApiError::NoSuchFeature);
    }
    request.allow_parameters(&["crs"])?;
    let crs = crs(request)?;
    let client = incoming.client()?;
    let shard_requests = shard_requests(&shards, feature_id);
    let coordinator_request =
        coordinator_request(incoming.state, &client, shard_requests.iter().cloned());
    let feature_request = FeatureRequest {
        base_url: request.document.base_url.clone(),
        collection: collection.to_owned(),
        crs,
        format: request.document.format,
        shard_requests,
    };
    let metrics = incoming.state.class_metrics(client.class);
    Ok(Reaction::Submit(
        coordinator_request,
        Box::new(move |answer| {
            let response = feature_response(&feature_request, answer);
            count_response(&metrics, &response);
            Reaction::Respond(response)
        }),
    ))
}

/// Returns the coordinate reference system of the response.
fn crs(request: &ResourceRequest<'_>) -> Result<Crs, ApiError> {
    match parameter_value(&request.parameters, "crs") {
        None => Ok(Crs::Crs84),
        Some(text) => Crs::parse(text).ok_or_else(|| ApiError::UnsupportedCrs(text.to_owned())),
    }
}

fn shard_requests(shards: &[NamedShard], feature_id: &str) -> Vec<ShardRequest> {
    let escaped_id = utf8_percent_encode(feature_id, NON_ALPHANUMERIC);
    let shard_request = |shard: &NamedShard| {
        let target = format!(
            "/collections/{}/items/{escaped_id}",
            shard.server_collection
        );
        let page_request = Arc::new(PageRequest::new(RequestKind::Feature, target));
        ShardRequest {
            shard: shard.shard,
            page_request,
        }
    };
    shards.iter().map(shard_request).collect()
}
