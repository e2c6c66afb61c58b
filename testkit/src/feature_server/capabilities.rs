//! Conformance classes that a feature server declares.

use serde_json::{json, Value as Json};

/// Prefix of the conformance classes of OGC API - Features.
const FEATURES_PREFIX: &str = "http://www.opengis.net/spec/ogcapi-features-";
/// Prefix of the conformance classes of CQL2.
const CQL2_PREFIX: &str = "http://www.opengis.net/spec/cql2/1.0/conf/";
/// Conformance classes of CQL2 for simple filters.
const SIMPLE_FILTER_CLASSES: [&str; 3] = ["cql2-text", "basic-cql2", "basic-spatial-functions"];
/// Conformance classes of OGC API - Features, Part 3, for requests with filters.
const FILTER_API_CLASSES: [&str; 3] = ["queryables", "filter", "features-filter"];
/// Conformance classes of CQL2 for all other filters.
const ADVANCED_FILTER_CLASSES: [&str; 9] = [
    "advanced-comparison-operators",
    "case-insensitive-comparison",
    "accent-insensitive-comparison",
    "basic-spatial-functions-plus",
    "spatial-functions",
    "temporal-functions",
    "array-functions",
    "property-property",
    "arithmetic",
];

/// Capabilities of a server in addition to Part 1 Core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Capabilities {
    /// No additional capability.
    Core,
    /// Simple filters.
    SimpleFilters,
    /// All filters, and `sortby`.
    FiltersAndSorting,
}

impl Capabilities {
    /// Returns the document of `/conformance`.
    pub(super) fn conformance(self) -> Json {
        let mut classes = vec![
            format!("{FEATURES_PREFIX}1/1.0/conf/core"),
            format!("{FEATURES_PREFIX}1/1.0/conf/geojson"),
        ];
        if self != Capabilities::Core {
            classes.extend(SIMPLE_FILTER_CLASSES.map(|name| format!("{CQL2_PREFIX}{name}")));
            classes.extend(
                FILTER_API_CLASSES.map(|name| format!("{FEATURES_PREFIX}3/1.0/conf/{name}")),
            );
        }
        if self == Capabilities::FiltersAndSorting {
            classes.extend(ADVANCED_FILTER_CLASSES.map(|name| format!("{CQL2_PREFIX}{name}")));
            classes.push(format!("{FEATURES_PREFIX}8/1.0/conf/sorting"));
        }
        json!({"conformsTo": classes})
    }
}
