//! Edits of requests and responses, from which injected faults are composed.

use super::ForwardedRequest;
use crate::client::Response;
use serde_json::Value as Json;

/// Edits a JSON body; any other body stays unchanged.
pub(super) fn edit_json(response: &mut Response, edit: impl FnOnce(&mut Json)) {
    if let Ok(mut json) = serde_json::from_slice::<Json>(&response.body) {
        edit(&mut json);
        response.body = json.to_string().into_bytes();
    }
}

/// Edits the list of features of a response that has one.
pub(super) fn edit_features(response: &mut Response, edit: impl FnOnce(&mut Vec<Json>)) {
    edit_json(response, |json| {
        if let Some(features) = json["features"].as_array_mut() {
            edit(features);
        }
    });
}

/// Removes the links with this relation from a document.
pub(super) fn remove_link(document: &mut Json, relation: &str) {
    if let Some(links) = document["links"].as_array_mut() {
        links.retain(|link| link["rel"] != relation);
    }
}

/// Removes the links with this relation from a response.
pub(super) fn remove_response_link(response: &mut Response, relation: &str) {
    edit_json(response, |json| remove_link(json, relation));
}

/// Swaps the coordinates of a point feature.
pub(super) fn swap_coordinates(feature: &mut Json) {
    if let Some(coordinates) = feature["geometry"]["coordinates"].as_array_mut() {
        coordinates.reverse();
    }
}

/// Returns the schema of a parameter of the items path in an API definition.
pub(super) fn parameter_schema<'j>(api: &'j mut Json, name: &str) -> &'j mut Json {
    let parameters = &mut api["paths"]["/collections/{collectionId}/items"]["get"]["parameters"];
    let position = parameters
        .as_array()
        .and_then(|list| list.iter().position(|parameter| parameter["name"] == name));
    &mut parameters[position.unwrap_or(0)]["schema"]
}

/// Removes a parameter from a request's query.
pub(super) fn remove_parameter(request: &mut ForwardedRequest, name: &str) {
    let (path, query) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    let remaining: Vec<&str> = query
        .split('&')
        .filter(|pair| !pair.is_empty() && pair.split('=').next() != Some(name))
        .collect();
    request.target = if remaining.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{}", remaining.join("&"))
    };
}

/// Removes a header from a request.
pub(super) fn remove_header(request: &mut ForwardedRequest, name: &str) {
    request
        .headers
        .retain(|header| !header.name.eq_ignore_ascii_case(name));
}

/// Replaces a text in the target of a request.
pub(super) fn replace_in_target(request: &mut ForwardedRequest, from: &str, to: &str) {
    request.target = request.target.replace(from, to);
}
