//! Tests of the validation of filters against queryables.

use super::super::{parse_text, validate, FilterError, QueryableType, Queryables};
use super::queryables;
use serde_json::json;
use std::collections::BTreeMap;

/// Filters that are valid for [`queryables`].
const VALID_FILTERS: &[&str] = &[
    "volts = 1",
    "name = 'x'",
    "built = '2026-01-01'",
    "live",
    "name IN ('a')",
    "volts + 1 > 2",
    "name IS NULL",
    "S_INTERSECTS(geometry,POINT(1 1))",
    "T_AFTER(built,DATE('2026-01-01'))",
    "A_CONTAINS(tags,('a'))",
];

/// Filters with a name that is not a queryable, or with an operand of a wrong type or value.
const INVALID_FILTERS: &[&str] = &[
    "watts = 1",
    "volts = 'x'",
    "name > 1",
    "name + 1 = 2",
    "volts LIKE 'x'",
    "S_INTERSECTS(name,POINT(1 1))",
    "T_AFTER(name,DATE('2026-01-01'))",
    "T_AFTER(built,DATE('2026-13-01'))",
    "volts",
    "geometry = 1",
    "live IN (1)",
    "A_CONTAINS(name,('a'))",
    "T_DURING(built,TIMESTAMP('2026-01-01T00:00:00Z'))",
    "T_DURING(DATE('2026-01-01'),TIMESTAMP('2026-01-01T00:00:00Z'))",
    "T_DURING(TIMESTAMP('2026-01-01T00:00:00Z'),DATE('2026-01-01'))",
    "CASEI(volts) = 'x'",
    "T_AFTER(built,INTERVAL('2026-02-01','2026-01-01'))",
    "name BETWEEN 'a' AND 'b'",
];

fn parse_and_validate(text: &str) -> Result<(), FilterError> {
    validate(&parse_text(text).expect(text), &queryables())
}

#[test]
fn names_and_operands_are_checked_against_the_queryables() {
    for text in VALID_FILTERS {
        assert_eq!(parse_and_validate(text), Ok(()), "{text}");
    }
    for text in INVALID_FILTERS {
        assert!(parse_and_validate(text).is_err(), "{text}");
    }
}

#[test]
fn queryables_are_parsed_from_their_schema_and_intersected() {
    let schema = queryables().to_schema();
    assert_eq!(Queryables::from_schema(&schema), Some(queryables()));
    assert_eq!(Queryables::from_schema(&json!([])), None);
    let fewer = Queryables {
        named: BTreeMap::from([("volts".to_owned(), QueryableType::Text)]),
        open: false,
    };
    assert_eq!(
        queryables().intersection(&fewer).named,
        BTreeMap::from([("volts".to_owned(), QueryableType::Any)])
    );
    assert_eq!(Queryables::unknown().intersection(&fewer), fewer);
}
