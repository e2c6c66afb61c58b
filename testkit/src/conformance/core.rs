//! Part 1, Core: the landing page, the API definition, the conformance page and the collections.

use super::check::{require, Check, Verdict};
use super::documents::{
    get_api_definition, get_api_definition_json, require_links, require_status, require_typed_links,
};
use super::Suite;
use serde_json::Value as Json;

/// Conformance class of the checks of this module and of [`super::items`].
pub(super) const CORE: &str = "ogcapi-features-1/1.0/conf/core";
const CORE_URI: &str = "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core";
/// Properties that must have the same value in a collection and in its entry in the list of
/// collections.
const COLLECTION_PROPERTIES: [&str; 6] =
    ["id", "title", "description", "extent", "itemType", "crs"];

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new("/conf/core/root-op", CORE, |suite| {
        suite.get_json("/").map(drop)
    }),
    Check::new("/conf/core/root-success", CORE, |suite| {
        let landing = suite.get_json("/")?;
        require_links(
            &landing,
            "the landing page",
            &["service-desc", "conformance", "data"],
        )
    }),
    Check::new("/conf/core/api-definition-op", CORE, |suite| {
        let response = get_api_definition(suite)?;
        require(response.status == 200, || {
            format!("status {}", response.status)
        })
    }),
    Check::new("/conf/core/api-definition-success", CORE, |suite| {
        let api = get_api_definition_json(suite)?;
        let is_version_3 = api["openapi"]
            .as_str()
            .is_some_and(|version| version.starts_with("3."));
        require(is_version_3, || "no OpenAPI version".to_owned())
    }),
    Check::new("/conf/core/conformance-op", CORE, |suite| {
        suite.get_json("/conformance").map(drop)
    }),
    Check::new("/conf/core/conformance-success", CORE, |suite| {
        let conformance = suite.get_json("/conformance")?;
        let classes = conformance["conformsTo"]
            .as_array()
            .ok_or("conformsTo is not an array")?;
        let is_claimed =
            classes.iter().all(Json::is_string) && classes.iter().any(|class| class == CORE_URI);
        require(is_claimed, || format!("{CORE_URI} is not claimed"))
    }),
    Check::new("/conf/core/fc-md-op", CORE, |suite| {
        suite.get_json("/collections").map(drop)
    }),
    Check::new("/conf/core/fc-md-success", CORE, |suite| {
        let json = suite.get_json("/collections")?;
        require(
            json["links"].is_array() && json["collections"].is_array(),
            || "links or collections are missing".to_owned(),
        )
    }),
    Check::new("/conf/core/fc-md-links", CORE, |suite| {
        let json = suite.get_json("/collections")?;
        require_links(&json, "/collections", &["self", "alternate"])?;
        require_typed_links(&json, "/collections")
    }),
    Check::new("/conf/core/fc-md-items", CORE, |suite| {
        let json = suite.get_json("/collections")?;
        let collections = json["collections"].as_array().ok_or("no collections")?;
        let is_described =
            |collection: &Json| collection["id"].is_string() && collection["links"].is_array();
        require(
            !collections.is_empty() && collections.iter().all(is_described),
            || "a collection lacks id or links".to_owned(),
        )
    }),
    Check::new("/conf/core/fc-md-items-links", CORE, |suite| {
        let json = suite.get_json("/collections")?;
        json["collections"]
            .as_array()
            .into_iter()
            .flatten()
            .try_for_each(|collection| {
                require_links(collection, "a collection", &["items"])?;
                require_typed_links(collection, "a collection")
            })
    }),
    Check::new("/conf/core/sfc-md-op", CORE, |suite| {
        suite.get_collection().map(drop)
    }),
    Check::new("/conf/core/sfc-md-success", CORE, check_listed_collection),
    Check::new("/conf/core/sfc-md-unknown", CORE, |suite| {
        let response = suite.get("/collections/no-such-collection")?;
        require_status(&response, 404)
    }),
];

/// Requires the document of the collection to agree with its entry in the list of collections.
fn check_listed_collection(suite: &mut Suite) -> Verdict {
    let collection = suite.get_collection()?;
    let json = suite.get_json("/collections")?;
    let mut collections = json["collections"].as_array().into_iter().flatten();
    let listed = collections.find(|entry| entry["id"] == collection["id"]);
    let listed = listed.ok_or("the collection is not listed")?;
    require(
        COLLECTION_PROPERTIES
            .iter()
            .all(|name| collection[*name] == listed[*name]),
        || "the collection differs from its entry in the list".to_owned(),
    )
}
