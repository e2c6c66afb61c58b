//! Part 5: schemas and sortables; and sorting and selection of properties.

use super::check::{all_unique, require, Check, EarlyExit, Verdict};
use super::samples::{number_of, QueryableKind};
use super::Suite;
use crate::client::feature_id;
use serde_json::Value as Json;

const SCHEMAS: &str = "ogcapi-features-5/1.0/conf/schemas";
const SORTABLES: &str = "ogcapi-features-5/1.0/conf/sortables";
const SORTING: &str = "ogcapi-features-8/1.0/conf/sorting";
/// Class suffix of the checks that apply to every service.
const NO_CLASS: &str = "";

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new("/conf/schemas/schema", SCHEMAS, |suite| {
        let path = suite.collection_path("schema");
        let response = suite.get(&path)?;
        require(
            response
                .header("content-type")
                .starts_with("application/schema+json"),
            || format!("Content-Type is {:?}", response.header("content-type")),
        )?;
        let schema = suite.get_json(&path)?;
        let is_schema = schema["$schema"].is_string()
            && schema["type"] == "object"
            && schema["properties"].is_object();
        require(is_schema, || "the response is not a JSON schema".to_owned())
    }),
    Check::new("/conf/schemas/properties", SCHEMAS, |suite| {
        let schema = suite.get_json(&suite.collection_path("schema"))?;
        let mut names = suite
            .features
            .iter()
            .filter_map(|feature| feature["properties"].as_object())
            .flat_map(|properties| properties.keys());
        let missing = names.find(|name| schema["properties"].get(name.as_str()).is_none());
        require(
            missing.is_none() || schema["additionalProperties"] == true,
            || format!("{missing:?} is not in the schema"),
        )
    }),
    Check::new("/conf/sortables/sortables", SORTABLES, |suite| {
        let sortables = suite.get_json(&suite.collection_path("sortables"))?;
        require(sortables["properties"].is_object(), || {
            "no properties".to_owned()
        })
    }),
    Check::new("/conf/sorting/sortby", SORTING, |suite| {
        let name = suite.queryable(QueryableKind::Number)?;
        require_sorted(suite, &name, Direction::Ascending)?;
        require_sorted(suite, &name, Direction::Descending)
    }),
    Check::new("/conf/sorting/sortby-ties", SORTING, |suite| {
        let name = suite.queryable(QueryableKind::Boolean)?;
        let sorted = suite.get_all(&format!("{}?limit=61&sortby={name}", suite.items_path()))?;
        let ids: Vec<String> = sorted.iter().map(feature_id).collect();
        require(
            all_unique(&ids) && ids.len() == suite.features.len(),
            || "features with equal keys are lost or duplicated over pages".to_owned(),
        )
    }),
    Check::new("/conf/sorting/sortby-unknown", SORTING, |suite| {
        if suite.queryables.is_empty() {
            return Err(EarlyExit::not_applicable("no sortables are declared"));
        }
        let response = suite.get(&format!("{}?sortby=no-such-property", suite.items_path()))?;
        require(response.status == 400, || {
            format!("status {}", response.status)
        })
    }),
    Check::new("/conf/property-selection/properties", NO_CLASS, |suite| {
        let name = suite.queryable(QueryableKind::Number)?;
        let json = suite.get_items(&format!("limit=5&properties={name}"))?;
        let has_only_this = |feature: &Json| {
            let properties = feature["properties"].as_object();
            properties
                .is_some_and(|properties| properties.len() == 1 && properties.contains_key(&name))
                && feature["id"].is_string()
        };
        require(
            json["features"]
                .as_array()
                .is_some_and(|list| list.iter().all(has_only_this)),
            || "unselected properties are returned".to_owned(),
        )
    }),
];

/// Direction of a sort key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Ascending,
    Descending,
}

impl Direction {
    /// Returns the value of the `sortby` parameter for a property.
    fn sort_key(self, name: &str) -> String {
        match self {
            Direction::Ascending => name.to_owned(),
            Direction::Descending => format!("-{name}"),
        }
    }

    fn is_in_order(self, left: f64, right: f64) -> bool {
        match self {
            Direction::Ascending => left <= right,
            Direction::Descending => left >= right,
        }
    }
}

/// Requires a query sorted by a numeric property to return all features in this direction.
fn require_sorted(suite: &mut Suite, name: &str, direction: Direction) -> Verdict {
    let key = direction.sort_key(name);
    let sorted = suite.get_all(&format!("{}?limit=300&sortby={key}", suite.items_path()))?;
    require(sorted.len() == suite.features.len(), || {
        format!("{} features for {}", sorted.len(), suite.features.len())
    })?;
    let values: Vec<f64> = sorted
        .iter()
        .filter_map(|feature| number_of(feature, name))
        .collect();
    let all_in_order = values
        .windows(2)
        .all(|pair| direction.is_in_order(pair[0], pair[1]));
    require(all_in_order, || format!("sortby={key}: not in order"))
}
