//! The classes of CQL2 beyond the basic ones: further comparisons, functions on text, space, time
//! and arrays, and arithmetic; and searches by POST.

use super::check::{require, require_same, Check, Stop, Verdict};
use super::filters::{number_is, quoted, require_matches};
use super::samples::{point_of, text_of, BoundingBox, QueryableKind, Sample};
use super::Suite;
use crate::client::{Header, Request, Response};
use serde_json::{json, Value as Json};

const COMPARISON: &str = "conf/advanced-comparison-operators";
const CASE: &str = "conf/case-insensitive-comparison";
const ACCENT: &str = "conf/accent-insensitive-comparison";
const BASIC_SPATIAL: &str = "conf/basic-spatial-functions";
const BASIC_SPATIAL_PLUS: &str = "conf/basic-spatial-functions-plus";
const SPATIAL: &str = "conf/spatial-functions";
const TEMPORAL: &str = "conf/temporal-functions";
const ARRAY: &str = "conf/array-functions";
const PROPERTY: &str = "conf/property-property";
const ARITHMETIC: &str = "conf/arithmetic";
/// Class of the checks that always apply.
const ANY: &str = "";

/// Width of the range of numbers that ends at the median.
const SPAN: f64 = 20.0;
/// Number of characters of a text that a pattern starts with.
const PATTERN_LENGTH: usize = 3;
/// Number of points on each of the four edges of the searched polygon.
const POINTS_PER_EDGE: u32 = 2_500;
/// Limit of the search.
const SEARCH_LIMIT: usize = 500;

/// Checks of this module, in the order in which they run.
pub(super) const CHECKS: &[Check] = &[
    Check::new(
        "/req/advanced-comparison-operators/like-predicate",
        COMPARISON,
        |suite| {
            let Sample { name, value } = suite.text()?;
            let start: String = value
                .chars()
                .take(PATTERN_LENGTH)
                .filter(|letter| !"%_\\'".contains(*letter))
                .collect();
            require_matches(suite, &format!("{name} LIKE '{start}%'"), |feature| {
                text_of(feature, &name).is_some_and(|text| text.starts_with(&start))
            })?;
            require_matches(suite, &format!("{name} NOT LIKE '{start}%'"), |feature| {
                text_of(feature, &name).is_some_and(|text| !text.starts_with(&start))
            })
        },
    ),
    Check::new(
        "/req/advanced-comparison-operators/between-predicate",
        COMPARISON,
        |suite| {
            let Sample {
                name,
                value: median,
            } = suite.median()?;
            let low = median - SPAN;
            require_matches(
                suite,
                &format!("{name} BETWEEN {low} AND {median}"),
                |feature| number_is(feature, &name, |n| low <= n && n <= median),
            )
        },
    ),
    Check::new(
        "/req/advanced-comparison-operators/in-predicate",
        COMPARISON,
        |suite| {
            let Sample {
                name,
                value: median,
            } = suite.median()?;
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
        CASE,
        |suite| {
            let Sample { name, value } = suite.text()?;
            let upper = quoted(&value.to_uppercase());
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
        ACCENT,
        |suite| {
            let name = suite.text()?.name;
            let mut texts = suite
                .features
                .iter()
                .filter_map(|feature| text_of(feature, &name));
            let accented = texts.find(|text| without_accents(text) != *text);
            let accented =
                accented.ok_or_else(|| Stop::not_applicable("no text with an accent is there"))?;
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
            let name = suite.geometry()?;
            let filter = format!("S_INTERSECTS({name},BBOX({}))", bbox.to_query());
            require_matches(suite, &filter, |feature| bbox.contains(feature))
        },
    ),
    Check::new(
        "/req/basic-spatial-functions/point",
        BASIC_SPATIAL,
        |suite| {
            let name = suite.geometry()?;
            let point = suite
                .first_point()
                .ok_or_else(|| Stop::not_applicable("no point"))?;
            let filter = format!("S_INTERSECTS({name},POINT({} {}))", point.x, point.y);
            require_matches(suite, &filter, |feature| point_of(feature) == Some(point))
        },
    ),
    Check::new(
        "/req/basic-spatial-functions-plus/polygon",
        BASIC_SPATIAL_PLUS,
        |suite| {
            let bbox = suite.middle_box()?;
            let name = suite.geometry()?;
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
        spatial_predicates_are_right,
    ),
    Check::new(
        "/req/temporal-functions/temporal-predicates",
        TEMPORAL,
        temporal_predicates_are_right,
    ),
    Check::new(
        "/req/array-functions/array-predicates",
        ARRAY,
        array_predicates_are_right,
    ),
    Check::new(
        "/req/property-property/property-property",
        PROPERTY,
        |suite| {
            let Sample {
                name,
                value: median,
            } = suite.median()?;
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
        } = suite.median()?;
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
            number_is(feature, &name, |n| {
                (n - median) / 2.0 >= 1.0 && (n / 10.0).trunc() > 1.0
            })
        })
    }),
    Check::new("/req/search/post", ANY, search_by_post_is_right),
];

/// Removes the accents that occur in the test data from a text.
fn without_accents(text: &str) -> String {
    text.replace('é', "e").replace('ä', "a")
}

fn spatial_predicates_are_right(suite: &mut Suite) -> Verdict {
    let bbox = suite.middle_box()?;
    let name = suite.geometry()?;
    let polygon = bbox.to_polygon();
    require_matches(suite, &format!("S_WITHIN({name},{polygon})"), |f| {
        bbox.contains_strictly(f)
    })?;
    require_matches(suite, &format!("S_DISJOINT({name},{polygon})"), |feature| {
        point_of(feature).is_some() && !bbox.contains(feature)
    })?;
    require_matches(suite, &format!("S_TOUCHES({name},{polygon})"), |feature| {
        bbox.contains(feature) && !bbox.contains_strictly(feature)
    })?;
    require_matches(suite, &format!("S_CONTAINS({polygon},{name})"), |f| {
        bbox.contains_strictly(f)
    })?;
    let Some(point) = suite.first_point() else {
        return Ok(());
    };
    require_matches(
        suite,
        &format!("S_EQUALS({name},POINT({} {}))", point.x, point.y),
        |feature| point_of(feature) == Some(point),
    )?;
    // A point overlaps and crosses nothing.
    let filter = format!("S_OVERLAPS({name},{polygon}) OR S_CROSSES({name},{polygon})");
    require_matches(suite, &filter, |_| false)
}

fn temporal_predicates_are_right(suite: &mut Suite) -> Verdict {
    let sample = suite.median_time()?;
    require_instant_predicates(suite, &sample)?;
    require_interval_predicates(suite, &sample)
}

/// Returns whether a feature has an instant of this name that satisfies the predicate.
fn instant_is(feature: &Json, name: &str, holds: impl Fn(&str) -> bool) -> bool {
    text_of(feature, name).is_some_and(holds)
}

fn require_instant_predicates(suite: &mut Suite, sample: &Sample<String>) -> Verdict {
    let Sample { name, value: time } = sample;
    require_matches(
        suite,
        &format!("T_AFTER({name},TIMESTAMP('{time}'))"),
        |feature| instant_is(feature, name, |instant| instant > time.as_str()),
    )?;
    require_matches(
        suite,
        &format!("T_BEFORE({name},TIMESTAMP('{time}'))"),
        |feature| instant_is(feature, name, |instant| instant < time.as_str()),
    )?;
    require_matches(
        suite,
        &format!("T_EQUALS({name},TIMESTAMP('{time}'))"),
        |feature| instant_is(feature, name, |instant| instant == time),
    )
}

fn require_interval_predicates(suite: &mut Suite, sample: &Sample<String>) -> Verdict {
    let Sample { name, value: time } = sample;
    let day = &time[.."2001-01-01".len()];
    require_matches(
        suite,
        &format!("T_INTERSECTS({name},INTERVAL('{time}','..'))"),
        |feature| instant_is(feature, name, |instant| instant >= time.as_str()),
    )?;
    require_matches(
        suite,
        &format!("T_INTERSECTS({name},DATE('{day}'))"),
        |feature| instant_is(feature, name, |instant| instant.starts_with(day)),
    )?;
    require_matches(
        suite,
        &format!("T_DISJOINT({name},INTERVAL('..','{time}'))"),
        |feature| instant_is(feature, name, |instant| instant > time.as_str()),
    )?;
    // All features are later than the interval's start.
    let during = format!("T_DURING({name},INTERVAL('2001-01-01T00:00:00Z','{time}'))");
    require_matches(suite, &during, |feature| {
        instant_is(feature, name, |instant| instant < time.as_str())
    })
}

/// Returns the elements of an array property of a feature; empty if the feature lacks it.
fn elements_of(feature: &Json, name: &str) -> Vec<String> {
    let elements = feature["properties"][name].as_array().into_iter().flatten();
    elements
        .filter_map(|element| element.as_str().map(str::to_owned))
        .collect()
}

fn array_predicates_are_right(suite: &mut Suite) -> Verdict {
    let name = suite.queryable(QueryableKind::Array)?;
    let mut arrays = suite
        .features
        .iter()
        .map(|feature| elements_of(feature, &name));
    let sample = arrays.find(|elements| elements.len() > 1);
    let sample = sample.ok_or_else(|| Stop::not_applicable("no array of two"))?;
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

/// Checks a search for numbers above the median in a polygon of ten thousand points.
fn search_by_post_is_right(suite: &mut Suite) -> Verdict {
    let Sample {
        name,
        value: median,
    } = suite.median()?;
    let bbox = suite.middle_box()?;
    let geometry = suite.geometry()?;
    let above = json!({"op": ">", "args": [{"property": name}, median]});
    let polygon = json!({"type": "Polygon", "coordinates": [ring_of(bbox)]});
    let within = json!({"op": "s_intersects", "args": [{"property": geometry}, polygon]});
    let response = post_search(suite, &json!({"op": "and", "args": [above, within]}))?;
    if matches!(response.status, 404 | 405) {
        return Err(Stop::not_applicable("there is no POST /search"));
    }
    require(response.status == 200, || {
        format!(
            "status {}: {}",
            response.status,
            response.text().chars().take(200).collect::<String>()
        )
    })?;
    let mut found = response.ids();
    found.sort();
    let expected = suite.expected_ids(|feature| {
        bbox.contains(feature) && number_is(feature, &name, |n| n > median)
    });
    if expected.len() > SEARCH_LIMIT {
        return require(found.len() == SEARCH_LIMIT, || {
            format!("{} features", found.len())
        });
    }
    require_same("an area of 10,000 points", &found, &expected)
}

/// Sends a search of the collection with a filter in CQL2 JSON and returns the response.
fn post_search(suite: &mut Suite, filter: &Json) -> Result<Response, Stop> {
    let search = json!({
        "collections": [suite.collection],
        "limit": SEARCH_LIMIT,
        "filter-lang": "cql2-json",
        "filter": filter,
    });
    let body = search.to_string();
    let headers = [Header::new("Content-Type", "application/json")];
    suite.send(&Request {
        body: body.as_bytes(),
        ..Request::new("POST", "/search", &headers)
    })
}

/// Returns a box as a closed ring with many points on each edge.
fn ring_of(bbox: BoundingBox) -> Vec<[f64; 2]> {
    let BoundingBox {
        west,
        south,
        east,
        north,
    } = bbox;
    let between = |from: f64, to: f64, number: u32| {
        from + (to - from) * f64::from(number) / f64::from(POINTS_PER_EDGE)
    };
    let edge = |from: [f64; 2], to: [f64; 2]| {
        (0..POINTS_PER_EDGE).map(move |number| {
            [
                between(from[0], to[0], number),
                between(from[1], to[1], number),
            ]
        })
    };
    let corners = [
        [west, south],
        [east, south],
        [east, north],
        [west, north],
        [west, south],
    ];
    let mut ring: Vec<[f64; 2]> = corners
        .windows(2)
        .flat_map(|pair| edge(pair[0], pair[1]))
        .collect();
    ring.push(corners[0]);
    ring
}
