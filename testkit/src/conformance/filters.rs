//! Part 3 and the basic classes of CQL2: queryables, filter parameters, comparisons and logic.

use super::check::{all_unique, require, require_same_ids, Check, EarlyExit, Verdict};
use super::documents::{get_parameter, link_of};
use super::samples::{number_of, text_of, BoundingBox, QueryableKind, Sample};
use super::suite::FilterLanguage;
use super::Suite;
use crate::client::feature_id;
use serde_json::{json, Value as Json};

const QUERYABLES: &str = "ogcapi-features-3/1.0/conf/queryables";
const QUERYABLE_PARAMETERS: &str = "ogcapi-features-3/1.0/conf/queryables-query-parameters";
const FILTER: &str = "ogcapi-features-3/1.0/conf/filter";
const FEATURES_FILTER: &str = "ogcapi-features-3/1.0/conf/features-filter";
const CQL2_TEXT: &str = "conf/cql2-text";
const CQL2_JSON: &str = "conf/cql2-json";
const BASIC_CQL2: &str = "conf/basic-cql2";

/// Relation of links to queryables.
const QUERYABLES_RELATION: &str = "http://www.opengis.net/def/rel/ogc/1.0/queryables";
/// Coordinate reference system with latitude before longitude.
const WGS84: &str = "http://www.opengis.net/def/crs/EPSG/0/4326";
/// Invalid filters, percent-encoded.
const INVALID_FILTERS: [&str; 6] = ["((", "a%20=", "=1", "NOT", "a%20LIKE", "S_INTERSECTS(a)"];

/// Comparison operator of CQL2 and its meaning for numbers.
struct Comparison {
    operator: &'static str,
    holds: fn(f64, f64) -> bool,
}

const COMPARISONS: [Comparison; 6] = [
    Comparison {
        operator: "=",
        holds: |left, right| left == right,
    },
    Comparison {
        operator: "<>",
        holds: |left, right| left != right,
    },
    Comparison {
        operator: "<",
        holds: |left, right| left < right,
    },
    Comparison {
        operator: "<=",
        holds: |left, right| left <= right,
    },
    Comparison {
        operator: ">",
        holds: |left, right| left > right,
    },
    Comparison {
        operator: ">=",
        holds: |left, right| left >= right,
    },
];

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new("/req/queryables/queryables-link", QUERYABLES, |suite| {
        let collection = suite.get_collection()?;
        require(link_of(&collection, QUERYABLES_RELATION).is_some(), || {
            "no link to the queryables".to_owned()
        })
    }),
    Check::new(
        "/req/queryables/get-queryables-response",
        QUERYABLES,
        |suite| {
            let response = suite.get(&suite.collection_path("queryables"))?;
            require(
                response
                    .header("content-type")
                    .starts_with("application/schema+json"),
                || format!("Content-Type is {:?}", response.header("content-type")),
            )?;
            let schema = response.json();
            let is_schema = schema["$id"].is_string()
                && schema["$schema"].is_string()
                && schema["type"] == "object";
            require(is_schema, || {
                "the response is not a JSON schema with $id".to_owned()
            })
        },
    ),
    Check::new(
        "/req/queryables-query-parameters/parameters",
        QUERYABLE_PARAMETERS,
        |suite| {
            let name = suite.queryable(QueryableKind::Number)?;
            let value = suite.sorted_numbers(&name)?[0];
            let found = suite.get_ids(&format!("{name}={value}"))?;
            let expected = suite.expected_ids(|feature| number_of(feature, &name) == Some(value));
            require_same_ids("a queryable as parameter", &found, &expected)
        },
    ),
    Check::new("/req/filter/filter-param", FILTER, |suite| {
        get_parameter(suite, "filter")?;
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        let filter = format!("{name} > {median}");
        require_matches(suite, &filter, |feature| {
            number_is(feature, &name, |n| n > median)
        })
    }),
    Check::new("/req/filter/filter-lang-param", FILTER, |suite| {
        get_parameter(suite, "filter-lang")?;
        let items = suite.items_path();
        let response = suite.get(&format!("{items}?filter=a=1&filter-lang=no-such-language"))?;
        require(response.status == 400, || {
            format!("status {} for an unknown filter language", response.status)
        })
    }),
    Check::new("/req/filter/filter-crs-param", FILTER, |suite| {
        let bbox = suite.middle_box()?;
        let name = suite.geometry_queryable()?;
        let BoundingBox {
            west,
            south,
            east,
            north,
        } = bbox;
        let swapped = BoundingBox {
            west: south,
            south: west,
            east: north,
            north: east,
        };
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query.append_pair(
            "filter",
            &format!("S_INTERSECTS({name},{})", swapped.to_polygon()),
        );
        query.append_pair("filter-crs", WGS84);
        let found = suite.get_ids(&query.finish())?;
        require_same_ids(
            "filter-crs",
            &found,
            &suite.expected_ids(|feature| bbox.contains(feature)),
        )
    }),
    Check::new("/req/filter/mixing-expressions", FILTER, |suite| {
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        let bbox = suite.middle_box()?;
        let found = suite.get_ids(&format!(
            "bbox={}&filter={name}%3E{median}",
            bbox.to_query()
        ))?;
        let expected = suite.expected_ids(|feature| {
            bbox.contains(feature) && number_is(feature, &name, |n| n > median)
        });
        require_same_ids("a box and a filter", &found, &expected)
    }),
    Check::new("/req/filter/invalid", FILTER, |suite| {
        for filter in INVALID_FILTERS {
            let response = suite.get(&format!("{}?filter={filter}", suite.items_path()))?;
            require(response.status == 400, || {
                format!("filter={filter}: status {}", response.status)
            })?;
        }
        Ok(())
    }),
    Check::new(
        "/req/features-filter/queryable-unknown",
        FEATURES_FILTER,
        |suite| {
            if suite.queryables.is_empty() {
                return Err(EarlyExit::not_applicable("no queryables are declared"));
            }
            let response = suite.get(&format!(
                "{}?filter=no_such_queryable=1",
                suite.items_path()
            ))?;
            require(response.status == 400, || {
                format!("status {}", response.status)
            })
        },
    ),
    Check::new("/req/features-filter/paging", FEATURES_FILTER, |suite| {
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        let path = format!(
            "{}?limit=37&filter={name}%3C%3D{median}",
            suite.items_path()
        );
        let mut ids: Vec<String> = suite.get_all(&path)?.iter().map(feature_id).collect();
        require(all_unique(&ids), || {
            "features are duplicated over the next links".to_owned()
        })?;
        ids.sort();
        let expected = suite.expected_ids(|feature| number_is(feature, &name, |n| n <= median));
        require_same_ids("a filter over pages", &ids, &expected)
    }),
    Check::new("/req/cql2-text/validate", CQL2_TEXT, |suite| {
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        let filter =
            format!("( {name}>{median} oR nOt ({name} <= {median}) ) AND \"{name}\" >= {median}.0");
        require_matches(suite, &filter, |feature| {
            number_is(feature, &name, |n| n > median)
        })
    }),
    Check::new("/req/cql2-json/validate", CQL2_JSON, |suite| {
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        let property = json!({"property": name});
        let above = json!({"op": ">", "args": [property, median]});
        let not_equal = json!({"op": "not", "args": [{"op": "=", "args": [property, -1]}]});
        let filter = json!({"op": "and", "args": [above, not_equal]});
        let found = suite.get_filtered(&filter.to_string(), FilterLanguage::Json)?;
        let expected = suite.expected_ids(|feature| number_is(feature, &name, |n| n > median));
        require_same_ids("CQL2 JSON", &found, &expected)
    }),
    Check::new("/req/basic-cql2/cql2-filter", BASIC_CQL2, |suite| {
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        for Comparison { operator, holds } in COMPARISONS {
            let filter = format!("{name} {operator} {median}");
            require_matches(suite, &filter, |feature| {
                number_is(feature, &name, |n| holds(n, median))
            })?;
        }
        Ok(())
    }),
    Check::new("/req/basic-cql2/logic", BASIC_CQL2, check_logic),
    Check::new("/req/basic-cql2/is-null", BASIC_CQL2, |suite| {
        let name = suite.nullable_text_queryable()?;
        let is_null = |feature: &Json| feature["properties"][&name].is_null();
        require_matches(suite, &format!("{name} IS NULL"), is_null)?;
        require_matches(suite, &format!("{name} IS NOT NULL"), |feature| {
            !is_null(feature)
        })?;
        // A comparison with a missing value is unknown, and so is its negation.
        require_matches(
            suite,
            &format!("NOT ({name} = 'no such value')"),
            |feature| !is_null(feature),
        )
    }),
    Check::new("/req/basic-cql2/text", BASIC_CQL2, |suite| {
        let Sample { name, value } = suite.text_sample()?;
        let filter = format!("{name} = '{}'", escape_literal(&value));
        require_matches(suite, &filter, |feature| {
            text_of(feature, &name) == Some(value.as_str())
        })
    }),
    Check::new("/req/basic-cql2/times", BASIC_CQL2, |suite| {
        let Sample { name, value: time } = suite.median_time()?;
        require_matches(
            suite,
            &format!("{name} >= TIMESTAMP('{time}')"),
            |feature| text_of(feature, &name).is_some_and(|instant| instant >= time.as_str()),
        )
    }),
];

/// Checks `AND`, `OR` and `NOT`.
fn check_logic(suite: &mut Suite) -> Verdict {
    let Sample {
        name,
        value: median,
    } = suite.median_number()?;
    let flag = suite.queryable(QueryableKind::Boolean)?;
    let flag_of = |feature: &Json| feature["properties"][&flag].as_bool();
    let is_above = |feature: &Json| number_is(feature, &name, |n| n > median);
    require_matches(
        suite,
        &format!("{name} > {median} AND {flag} = TRUE"),
        |feature| is_above(feature) && flag_of(feature) == Some(true),
    )?;
    require_matches(
        suite,
        &format!("{name} > {median} OR {flag} = FALSE"),
        |feature| is_above(feature) || flag_of(feature) == Some(false),
    )?;
    require_matches(suite, &format!("NOT ({name} > {median})"), |feature| {
        number_is(feature, &name, |n| n <= median)
    })
}

/// Returns whether a feature has a numeric property of this name that satisfies the predicate.
pub(super) fn number_is(feature: &Json, name: &str, holds: impl Fn(f64) -> bool) -> bool {
    number_of(feature, name).is_some_and(holds)
}

/// Escapes a text for use in a CQL2 literal.
pub(super) fn escape_literal(text: &str) -> String {
    text.replace('\'', "''")
}

/// Requires a CQL2 text filter to match exactly the features that satisfy the predicate.
pub(super) fn require_matches(
    suite: &mut Suite,
    filter: &str,
    matches: impl Fn(&Json) -> bool,
) -> Verdict {
    let found = suite.get_filtered(filter, FilterLanguage::Text)?;
    require_same_ids(filter, &found, &suite.expected_ids(matches))
}
