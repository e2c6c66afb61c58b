//! The classes of CQL2 other than the basic ones: additional comparisons, functions on text, space,
//! time and arrays, and arithmetic; and searches by POST.

mod search;
mod temporal;

use super::check::{Check, EarlyExit, Verdict};
use super::filters::{escape_literal, number_is, require_matches};
use super::samples::{point_of, text_of, BoundingBox, QueryableKind, Sample};
use super::Suite;
use search::check_search_by_post;
use serde_json::Value as Json;
use temporal::check_temporal_predicates;

const ADVANCED_COMPARISON: &str = "conf/advanced-comparison-operators";
const CASE_INSENSITIVE: &str = "conf/case-insensitive-comparison";
const ACCENT_INSENSITIVE: &str = "conf/accent-insensitive-comparison";
const BASIC_SPATIAL: &str = "conf/basic-spatial-functions";
const BASIC_SPATIAL_PLUS: &str = "conf/basic-spatial-functions-plus";
const SPATIAL: &str = "conf/spatial-functions";
const TEMPORAL: &str = "conf/temporal-functions";
const ARRAY: &str = "conf/array-functions";
const PROPERTY_PROPERTY: &str = "conf/property-property";
const ARITHMETIC: &str = "conf/arithmetic";
/// Class suffix of the checks that apply to every service.
const NO_CLASS: &str = "";

/// Width of the range of numbers whose upper end is the median.
const RANGE_WIDTH: f64 = 20.0;
/// Number of leading characters of a sample text from which a pattern is made.
const PREFIX_LENGTH: usize = 3;

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new(
        "/req/advanced-comparison-operators/like-predicate",
        ADVANCED_COMPARISON,
        |suite| {
            let Sample { name, value } = suite.text_sample()?;
            let prefix: String = value
                .chars()
                .take(PREFIX_LENGTH)
                .filter(|character| !"%_\\'".contains(*character))
                .collect();
            require_matches(suite, &format!("{name} LIKE '{prefix}%'"), |feature| {
                text_of(feature, &name).is_some_and(|text| text.starts_with(&prefix))
            })?;
            require_matches(suite, &format!("{name} NOT LIKE '{prefix}%'"), |feature| {
                text_of(feature, &name).is_some_and(|text| !text.starts_with(&prefix))
            })
        },
    ),
    Check::new(
        "/req/advanced-comparison-operators/between-predicate",
        ADVANCED_COMPARISON,
        |suite| {
            let Sample {
                name,
                value: median,
            } = suite.median_number()?;
            let low = median - RANGE_WIDTH;
            require_matches(
                suite,
                &format!("{name} BETWEEN {low} AND {median}"),
                |feature| number_is(feature, &name, |n| low <= n && n <= median),
            )
        },
    ),
    Check::new(
        "/req/advanced-comparison-operators/in-predicate",
        ADVANCED_COMPARISON,
        |suite| {
            let Sample {
                name,
                value: median,
            } = suite.median_number()?;
            let lowest = suite.sorted_numbers(&name)?[0];
            require_matches(
                suite,
                &format!("{name} IN ({median},{lowest})"),
                |feature| number_is(feature, &name, |n| n == median || n == lowest),
            )
        },
    ),
    Check::new(
        "/req/case-insensitive-comparison/casei-function",
        CASE_INSENSITIVE,
        |suite| {
            let Sample { name, value } = suite.text_sample()?;
            let upper = escape_literal(&value.to_uppercase());
            let lower = value.to_lowercase();
            require_matches(
                suite,
                &format!("CASEI({name}) = CASEI('{upper}')"),
                |feature| text_of(feature, &name).is_some_and(|text| text.to_lowercase() == lower),
            )
        },
    ),
    Check::new(
        "/req/accent-insensitive-comparison/accenti-function",
        ACCENT_INSENSITIVE,
        |suite| {
            let name = suite.text_sample()?.name;
            let mut texts = suite
                .features
                .iter()
                .filter_map(|feature| text_of(feature, &name));
            let accented = texts.find(|text| without_accents(text) != *text);
            let accented = accented
                .ok_or_else(|| EarlyExit::not_applicable("no text with an accent is there"))?;
            let plain = without_accents(accented);
            require_matches(
                suite,
                &format!("ACCENTI({name}) = ACCENTI('{plain}')"),
                |feature| {
                    text_of(feature, &name).is_some_and(|text| without_accents(text) == plain)
                },
            )
        },
    ),
    Check::new(
        "/req/basic-spatial-functions/bbox",
        BASIC_SPATIAL,
        |suite| {
            let bbox = suite.middle_box()?;
            let name = suite.geometry_queryable()?;
            let filter = format!("S_INTERSECTS({name},BBOX({}))", bbox.to_query());
            require_matches(suite, &filter, |feature| bbox.contains(feature))
        },
    ),
    Check::new(
        "/req/basic-spatial-functions/point",
        BASIC_SPATIAL,
        |suite| {
            let name = suite.geometry_queryable()?;
            let point = suite
                .first_point()
                .ok_or_else(|| EarlyExit::not_applicable("no point"))?;
            let filter = format!("S_INTERSECTS({name},POINT({} {}))", point.x, point.y);
            require_matches(suite, &filter, |feature| point_of(feature) == Some(point))
        },
    ),
    Check::new(
        "/req/basic-spatial-functions-plus/polygon",
        BASIC_SPATIAL_PLUS,
        |suite| {
            let bbox = suite.middle_box()?;
            let name = suite.geometry_queryable()?;
            let BoundingBox {
                west,
                south,
                east,
                north,
            } = bbox;
            let triangle =
                format!("POLYGON(({west} {south},{east} {south},{west} {north},{west} {south}))");
            let filter = format!("S_INTERSECTS({name},{triangle})");
            require_matches(suite, &filter, |feature| {
                bbox.lower_left_half_contains(feature)
            })
        },
    ),
    Check::new(
        "/req/spatial-functions/spatial-predicates",
        SPATIAL,
        check_spatial_predicates,
    ),
    Check::new(
        "/req/temporal-functions/temporal-predicates",
        TEMPORAL,
        check_temporal_predicates,
    ),
    Check::new(
        "/req/array-functions/array-predicates",
        ARRAY,
        check_array_predicates,
    ),
    Check::new(
        "/req/property-property/property-property",
        PROPERTY_PROPERTY,
        |suite| {
            let Sample {
                name,
                value: median,
            } = suite.median_number()?;
            require_matches(suite, &format!("{median} < {name}"), |feature| {
                number_is(feature, &name, |n| n > median)
            })?;
            require_matches(suite, &format!("{name} = {name}"), |feature| {
                number_is(feature, &name, |_| true)
            })
        },
    ),
    Check::new("/req/arithmetic/arithmetic", ARITHMETIC, |suite| {
        let Sample {
            name,
            value: median,
        } = suite.median_number()?;
        require_matches(
            suite,
            &format!("{name} * 2 + 1 > {}", 2.0 * median + 1.0),
            |feature| number_is(feature, &name, |n| n > median),
        )?;
        require_matches(suite, &format!("{name} % 7 = 3"), |feature| {
            number_is(feature, &name, |n| n % 7.0 == 3.0)
        })?;
        let filter = format!("({name} - {median}) / 2 >= 1 AND {name} div 10 > 1");
        require_matches(suite, &filter, |feature| {
            number_is(feature, &name, |number| {
                (number - median) / 2.0 >= 1.0 && (number / 10.0).trunc() > 1.0
            })
        })
    }),
    Check::new("/req/search/post", NO_CLASS, check_search_by_post),
];

/// Replaces the accented letters that occur in the test data by plain ones.
fn without_accents(text: &str) -> String {
    text.replace('é', "e").replace('ä', "a")
}

fn check_spatial_predicates(suite: &mut Suite) -> Verdict {
    let bbox = suite.middle_box()?;
    let name = suite.geometry_queryable()?;
    let polygon = bbox.to_polygon();
    require_matches(suite, &format!("S_WITHIN({name},{polygon})"), |feature| {
        bbox.contains_strictly(feature)
    })?;
    require_matches(suite, &format!("S_DISJOINT({name},{polygon})"), |feature| {
        point_of(feature).is_some() && !bbox.contains(feature)
    })?;
    require_matches(suite, &format!("S_TOUCHES({name},{polygon})"), |feature| {
        bbox.contains(feature) && !bbox.contains_strictly(feature)
    })?;
    require_matches(suite, &format!("S_CONTAINS({polygon},{name})"), |feature| {
        bbox.contains_strictly(feature)
    })?;
    let Some(point) = suite.first_point() else {
        return Ok(());
    };
    require_matches(
        suite,
        &format!("S_EQUALS({name},POINT({} {}))", point.x, point.y),
        |feature| point_of(feature) == Some(point),
    )?;
    // A point neither overlaps nor crosses a polygon.
    let filter = format!("S_OVERLAPS({name},{polygon}) OR S_CROSSES({name},{polygon})");
    require_matches(suite, &filter, |_| false)
}

/// Returns the texts of an array property of a feature; an empty list if the feature lacks it.
fn elements_of(feature: &Json, name: &str) -> Vec<String> {
    let elements = feature["properties"][name].as_array().into_iter().flatten();
    elements
        .filter_map(|element| element.as_str().map(str::to_owned))
        .collect()
}

fn check_array_predicates(suite: &mut Suite) -> Verdict {
    let name = suite.queryable(QueryableKind::Array)?;
    let mut arrays = suite
        .features
        .iter()
        .map(|feature| elements_of(feature, &name));
    let sample = arrays.find(|elements| elements.len() > 1);
    let sample = sample.ok_or_else(|| EarlyExit::not_applicable("no array of two"))?;
    let first = &sample[0];
    let second = &sample[1];
    let is_either = |element: &String| element == first || element == second;
    require_matches(
        suite,
        &format!("A_CONTAINS({name},('{first}'))"),
        |feature| elements_of(feature, &name).contains(first),
    )?;
    require_matches(
        suite,
        &format!("A_OVERLAPS({name},('{first}','{second}'))"),
        |feature| elements_of(feature, &name).iter().any(is_either),
    )?;
    require_matches(
        suite,
        &format!("A_CONTAINEDBY({name},('{first}','{second}'))"),
        |feature| elements_of(feature, &name).iter().all(is_either),
    )?;
    require_matches(
        suite,
        &format!("A_EQUALS({name},('{second}','{first}'))"),
        |feature| {
            let elements = elements_of(feature, &name);
            elements.len() == 2 && elements.contains(first) && elements.contains(second)
        },
    )
}
