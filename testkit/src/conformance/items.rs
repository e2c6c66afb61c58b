//! Part 1, Core: the items of a collection, their parameters, pages and single features.

use super::check::{require, require_same_ids, Check, EarlyExit, Verdict};
use super::core::CORE;
use super::documents::{
    get_parameter, link_of, require_links, require_status, require_typed_links,
};
use super::samples::text_of;
use super::Suite;
use crate::client::feature_id;
use serde_json::Value as Json;

/// Query parameters with invalid values.
const INVALID_PARAMETERS: [&str; 5] = [
    "limit=0",
    "limit=many",
    "bbox=1,2,3",
    "bbox=a,b,c,d",
    "datetime=soon",
];

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new("/conf/core/fc-op", CORE, |suite| {
        suite.get_json(&suite.items_path()).map(drop)
    }),
    Check::new("/conf/core/fc-response", CORE, |suite| {
        let json = suite.get_json(&suite.items_path())?;
        let are_features = json["features"]
            .as_array()
            .is_some_and(|list| list.iter().all(|feature| feature["type"] == "Feature"));
        require(json["type"] == "FeatureCollection" && are_features, || {
            "the response is not a feature collection".to_owned()
        })
    }),
    Check::new("/conf/core/fc-limit-definition", CORE, |suite| {
        let limit = get_parameter(suite, "limit")?;
        let schema = &limit["schema"];
        let is_defined = limit["in"] == "query"
            && schema["type"] == "integer"
            && schema["minimum"] == 1
            && schema["maximum"].is_u64()
            && schema["default"].is_u64();
        require(is_defined, || format!("limit is defined as {limit}"))
    }),
    Check::new("/conf/core/fc-limit-response", CORE, |suite| {
        for limit in [1, 3, 10] {
            let count = count_features(&suite.get_items(&format!("limit={limit}"))?);
            require(count == limit.min(suite.features.len()), || {
                format!("limit={limit} gave {count} features")
            })?;
        }
        Ok(())
    }),
    Check::new("/conf/core/fc-bbox-definition", CORE, |suite| {
        let bbox = get_parameter(suite, "bbox")?;
        let schema = &bbox["schema"];
        let is_number_list = schema["type"] == "array" && schema["items"]["type"] == "number";
        require(is_number_list && bbox["explode"] == false, || {
            format!("bbox is defined as {bbox}")
        })
    }),
    Check::new("/conf/core/fc-bbox-response", CORE, |suite| {
        let bbox = suite.middle_box()?;
        let found = suite.get_ids(&format!("bbox={}", bbox.to_query()))?;
        let expected = suite.expected_ids(|feature| bbox.contains(feature));
        require_same_ids("bbox", &found, &expected)
    }),
    Check::new("/conf/core/fc-time-definition", CORE, |suite| {
        let datetime = get_parameter(suite, "datetime")?;
        require(
            datetime["in"] == "query" && datetime["schema"]["type"] == "string",
            || format!("datetime is defined as {datetime}"),
        )
    }),
    Check::new("/conf/core/fc-time-response", CORE, |suite| {
        let time = suite.median_time()?;
        let found = suite.get_ids(&format!("datetime={}/..", time.value))?;
        let expected = suite.expected_ids(|feature| {
            text_of(feature, &time.name).is_none_or(|instant| instant >= time.value.as_str())
        });
        require_same_ids("datetime", &found, &expected)
    }),
    Check::new("/conf/core/query-param-unknown", CORE, |suite| {
        let response = suite.get(&format!("{}?no-such-parameter=1", suite.items_path()))?;
        require_status(&response, 400)
    }),
    Check::new("/conf/core/query-param-invalid", CORE, |suite| {
        for invalid in INVALID_PARAMETERS {
            let response = suite.get(&format!("{}?{invalid}", suite.items_path()))?;
            require_status(&response, 400).map_err(|exit| match exit {
                EarlyExit::Failed(reason) => EarlyExit::Failed(format!("{invalid}: {reason}")),
                not_applicable => not_applicable,
            })?;
        }
        Ok(())
    }),
    Check::new("/conf/core/fc-links", CORE, |suite| {
        let json = suite.get_items("limit=2")?;
        require_links(&json, "items", &["self", "alternate"])?;
        require_typed_links(&json, "items")?;
        require(
            suite.features.len() <= 2 || link_of(&json, "next").is_some(),
            || "no next link although more features exist".to_owned(),
        )
    }),
    Check::new("/conf/core/fc-next-complete", CORE, check_next_links),
    Check::new("/conf/core/fc-timeStamp", CORE, |suite| {
        let json = suite.get_json(&suite.items_path())?;
        let timestamp = json["timeStamp"].as_str().unwrap_or_default();
        require(
            timestamp.len() >= 20 && timestamp.contains('T') && timestamp.starts_with("20"),
            || format!("timeStamp is {timestamp:?}"),
        )
    }),
    Check::new("/conf/core/fc-numberMatched", CORE, |suite| {
        let json = suite.get_items("limit=1")?;
        match json["numberMatched"].as_u64() {
            Some(matched) => require(matched as usize == suite.features.len(), || {
                format!(
                    "numberMatched is {matched} for {} features",
                    suite.features.len()
                )
            }),
            None if json.get("numberMatched").is_none() => Err(EarlyExit::not_applicable(
                "numberMatched is optional and absent",
            )),
            None => Err("numberMatched is not a number".into()),
        }
    }),
    Check::new("/conf/core/fc-numberReturned", CORE, |suite| {
        let json = suite.get_items("limit=7")?;
        let count = count_features(&json);
        require(
            json["numberReturned"].as_u64() == Some(count as u64),
            || format!("{} for {count} features", json["numberReturned"]),
        )
    }),
    Check::new("/conf/core/f-op", CORE, |suite| {
        get_middle_feature(suite).map(drop)
    }),
    Check::new("/conf/core/f-success", CORE, |suite| {
        let expected = suite.middle_feature()?.clone();
        let feature = get_middle_feature(suite)?;
        let is_same = feature["type"] == "Feature"
            && feature_id(&feature) == feature_id(&expected)
            && feature["properties"] == expected["properties"];
        require(is_same, || {
            "the feature differs from the one among the items".to_owned()
        })
    }),
    Check::new("/conf/core/f-links", CORE, |suite| {
        let feature = get_middle_feature(suite)?;
        require_links(&feature, "a feature", &["self", "alternate", "collection"])
    }),
    Check::new("/conf/core/f-unknown", CORE, |suite| {
        let response = suite.get(&format!("{}/no-such-feature", suite.items_path()))?;
        require_status(&response, 404)
    }),
];

fn count_features(json: &Json) -> usize {
    json["features"].as_array().map_or(0, Vec::len)
}

/// Requires a traversal of the `next` links with another page size to return the features that the
/// suite read when it was opened, each once.
fn check_next_links(suite: &mut Suite) -> Verdict {
    let features = suite.get_all(&format!("{}?limit=97", suite.items_path()))?;
    let mut ids: Vec<String> = features.iter().map(feature_id).collect();
    let count = ids.len();
    ids.sort();
    ids.dedup();
    require(count == ids.len(), || {
        format!(
            "{} features are duplicated over the next links",
            count - ids.len()
        )
    })?;
    require_same_ids(
        "pages of 97 beside pages of 500",
        &ids,
        &suite.expected_ids(|_| true),
    )
}

/// Requests the feature in the middle of the list by its id.
fn get_middle_feature(suite: &mut Suite) -> Result<Json, EarlyExit> {
    let id = feature_id(suite.middle_feature()?);
    suite.get_json(&format!("{}/{id}", suite.items_path()))
}
