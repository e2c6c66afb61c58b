//! Tests of parsing: malformed filters, and the round trip of a printed filter.

use super::super::{parse_json, parse_text, to_json, validate};
use super::queryables;

/// Texts that are not filters, or filters that are not valid for [`queryables`].
const MALFORMED_FILTERS: &[&str] = &[
    "",
    " ",
    "volts",
    "volts =",
    "= 1",
    "volts = 1 AND",
    "volts = 1 volts",
    "volts == 1",
    "name LIKE",
    "name = 'x",
    "f(volts) = 1",
    "S_INTERSECTS(geometry)",
    "S_INTERSECTS(geometry,POLYGON((0 0,1 0,1 1)))",
    "S_INTERSECTS(geometry,POLYGON((0 0,1 0,1 1,0 1)))",
    "volts IN ()",
    "volts BETWEEN 1",
    "volts IS 1",
    "T_AFTER(built, DATE('soon')",
    "\"volts = 1",
    "(live",
    "volts = 1e999",
    "S_INTERSECTS(geometry,BBOX(1,2,3))",
];

/// Returns filters that exceed the limits on depth, nodes and points.
fn oversized_filters() -> [String; 5] {
    let brackets = format!("{}live{}", "(".repeat(400), ")".repeat(400));
    let sum = vec!["volts"; 5_000].join("+") + " = 1";
    let negations = "NOT ".repeat(5_000) + "live";
    let disjunction = vec!["live"; 5_000].join(" OR ");
    let points = vec!["1 1"; 30_000].join(",");
    let line = format!("S_INTERSECTS(geometry,LINESTRING({points}))");
    [brackets, sum, negations, disjunction, line]
}

#[test]
fn malformed_filters_are_rejected_with_a_message() {
    let queryables = queryables();
    let oversized = oversized_filters();
    let oversized = oversized.iter().map(String::as_str);
    for text in MALFORMED_FILTERS.iter().copied().chain(oversized) {
        let checked = parse_text(text).and_then(|filter| validate(&filter, &queryables));
        let message = checked
            .expect_err(&text.chars().take(60).collect::<String>())
            .to_string();
        assert!(!message.is_empty() && message.len() < 400, "{message}");
    }
}

#[test]
fn malformed_json_filters_are_rejected() {
    for json in [
        "",
        "{}",
        "[]",
        "1",
        r#"{"op":"and","args":[true]}"#,
        r#"{"op":"x","args":[]}"#,
        &"[".repeat(9_000),
    ] {
        assert!(parse_json(json).is_err(), "{json}");
    }
    let nested = r#"{"op":"not","args":["#.repeat(60) + "true" + &"]}".repeat(60);
    assert!(parse_json(&nested).is_err());
}

#[test]
fn a_text_literal_with_escaped_quotation_marks_parses_back_from_text_and_json() {
    // Quotation marks, control characters, and a backslash before an escaped quotation mark.
    let text = "a = '= ''''''=2\0\0\0z\0/\\\\'/t\0'";
    let filter = parse_text(text).expect("the text is a filter");
    assert_eq!(
        parse_text(&filter.to_string()).as_ref(),
        Ok(&filter),
        "{filter}"
    );
    assert_eq!(
        parse_json(&to_json(&filter).to_string()).as_ref(),
        Ok(&filter),
        "{filter}"
    );
}
