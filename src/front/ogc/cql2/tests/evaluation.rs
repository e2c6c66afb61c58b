//! Tests of the evaluation of filters on a feature.

use super::super::{parse_json, parse_text, to_json, Matcher};
use super::feature;

/// Filters that are true for [`feature`].
const TRUE_FILTERS: &[&str] = &[
    "volts = 240",
    "volts > 100 AND volts <= 240.0",
    "name LIKE 'Él%' and not name like '_lan'",
    "CASEI(name) = CASEI('éLAN 7')",
    "ACCENTI(name) LIKE 'Elan%'",
    "volts BETWEEN 239 AND 241",
    "volts NOT BETWEEN 1 AND 2",
    "name IN ('x','Élan 7')",
    "volts not in (1,2)",
    "gone IS NULL and name IS NOT NULL",
    "live",
    "live = TRUE",
    "NOT (live = FALSE OR volts < 1)",
    "volts + 10 * 2 = 260",
    "(volts + 10) * 2 = 500 AND 2 ^ 3 ^ 2 = 512",
    "volts % 7 = 2 AND volts div 7 = 34",
    "volts = -1 OR volts = +240 OR TRUE",
    "volts = volts",
    "S_INTERSECTS(geometry, POLYGON((0 0,10 0,10 10,0 10,0 0)))",
    "S_WITHIN(geometry,BBOX(0,0,10,10)) AND S_DISJOINT(geometry,POINT(1 1))",
    "S_CONTAINS(MULTIPOLYGON(((0 0,10 0,10 10,0 10,0 0),(1 1,2 1,2 2,1 1))),geometry)",
    "S_EQUALS(geometry, POINT(5 5))",
    "S_TOUCHES(geometry, LINESTRING(5 5, 6 6))",
    "s_intersects(geometry, geometrycollection(point(1 1), linestring(0 0, 9 9)))",
    "S_INTERSECTS(geometry, MULTIPOINT(1 1, 5 5)) AND S_INTERSECTS(geometry,MULTIPOINT((5 5)))",
    "S_INTERSECTS(geometry, BBOX(170,-10,6,10))",
    "T_AFTER(built, DATE('2026-03-03'))",
    "T_DURING(built, INTERVAL('2026-03-01','2026-03-31'))",
    "T_INTERSECTS(built, INTERVAL('..', '2026-03-04T10:00:00Z'))",
    "T_BEFORE(built, TIMESTAMP('2026-03-04T10:00:01Z'))",
    "T_DURING(INTERVAL(built, '2026-03-05T00:00:00Z'), INTERVAL('2026-03-01', '2026-03-31'))",
    "T_MEETS(INTERVAL('2026-01-01T00:00:00Z',built), INTERVAL(built,'..'))",
    "built > DATE('2026-03-01') AND built < TIMESTAMP('2026-12-01T00:00:00Z')",
    "A_CONTAINS(tags, ('a')) AND A_CONTAINEDBY(tags, ('a','b','c')) AND A_EQUALS(tags,('b','a'))",
    "A_OVERLAPS(tags, ('x','b'))",
    "\"name\" = 'Élan 7'",
    "id = 'd7'",
    "missing = 1 OR live",
    // A backslash before an escaped quotation mark.
    "name <> 'a\\\\'b' AND name <> '\\''",
];

/// Filters that are false or unknown for [`feature`].
const FALSE_OR_UNKNOWN_FILTERS: &[&str] = &[
    "volts <> 240",
    "missing = 1",
    "NOT missing = 1",
    "missing = 1 AND live",
    "name = 240",
    "volts / 0 = 1",
    "S_CROSSES(geometry, LINESTRING(0 0, 10 10))",
    "S_OVERLAPS(geometry, POINT(5 5))",
    "T_FINISHES(INTERVAL('2026-01-01','2026-02-01'), INTERVAL('2026-01-01','2026-02-01'))",
    "name LIKE 'Élan\\_%'",
    "FALSE",
];

/// Returns whether a filter is true for [`feature`]. Also checks that the filter, printed as text
/// and as JSON, parses to an equal filter.
fn matches_after_round_trip(text: &str) -> bool {
    let filter = parse_text(text).unwrap_or_else(|e| panic!("{text}: {e}"));
    let printed = filter.to_string();
    assert_eq!(
        parse_text(&printed).as_ref(),
        Ok(&filter),
        "{text} as {printed}"
    );
    let json = to_json(&filter).to_string();
    assert_eq!(parse_json(&json).as_ref(), Ok(&filter), "{text} as {json}");
    Matcher::new(filter).matches(&feature())
}

#[test]
fn true_filters_match_the_feature() {
    for text in TRUE_FILTERS {
        assert!(matches_after_round_trip(text), "{text}");
    }
}

#[test]
fn false_and_unknown_filters_do_not_match_the_feature() {
    for text in FALSE_OR_UNKNOWN_FILTERS {
        assert!(!matches_after_round_trip(text), "{text}");
    }
}
