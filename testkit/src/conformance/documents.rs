//! Assertions on the links and the status of responses, and access to the API definition.

use super::check::{require, EarlyExit, Verdict};
use super::Suite;
use crate::client::Response;
use serde_json::Value as Json;

/// Returns the target of the document's first link with this relation.
pub(super) fn link_of(document: &Json, relation: &str) -> Option<String> {
    let links = document["links"].as_array()?;
    links.iter().find(|link| link["rel"] == relation)?["href"]
        .as_str()
        .map(str::to_owned)
}

/// Requires the document to have links with all of these relations.
pub(super) fn require_links(document: &Json, subject: &str, relations: &[&str]) -> Verdict {
    let missing: Vec<_> = relations
        .iter()
        .filter(|relation| link_of(document, relation).is_none())
        .collect();
    require(missing.is_empty(), || {
        format!("{subject}: no link {missing:?}")
    })
}

/// Requires every link to have a relation and a media type.
pub(super) fn require_typed_links(document: &Json, subject: &str) -> Verdict {
    let mut links = document["links"].as_array().into_iter().flatten();
    require(
        links.all(|link| link["rel"].is_string() && link["type"].is_string()),
        || format!("{subject}: a link has no rel or type"),
    )
}

/// Requires the response to have this status.
pub(super) fn require_status(response: &Response, status: u16) -> Verdict {
    require(response.status == status, || {
        format!("status {} in place of {status}", response.status)
    })
}

/// Requests the API definition and returns it as JSON.
pub(super) fn get_api_definition_json(suite: &mut Suite) -> Result<Json, EarlyExit> {
    Ok(get_api_definition(suite)?.json())
}

/// Requests the API definition and returns the response.
pub(super) fn get_api_definition(suite: &mut Suite) -> Result<Response, EarlyExit> {
    let landing = suite.get_json("/")?;
    let href = link_of(&landing, "service-desc").ok_or("no link service-desc")?;
    suite.follow(&href)
}

/// Requests the API definition and returns the definition of a parameter of the items path.
pub(super) fn get_parameter(suite: &mut Suite, name: &str) -> Result<Json, EarlyExit> {
    let api = get_api_definition_json(suite)?;
    let parameters =
        api["paths"]["/collections/{collectionId}/items"]["get"]["parameters"].as_array();
    let found = parameters
        .into_iter()
        .flatten()
        .find(|parameter| parameter["name"] == name);
    found
        .cloned()
        .ok_or_else(|| EarlyExit::Failed(format!("the API has no parameter {name}")))
}
