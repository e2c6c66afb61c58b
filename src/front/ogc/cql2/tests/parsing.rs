//! Tests of parsing: malformed filters, and filters that were printed.

use super::super::{check, parse_json, parse_text, to_json};
use super::queryables;

#[test]
fn malformed_filters_are_rejected_with_a_message() {
    let deep = format!("{}live{}", "(".repeat(400), ")".repeat(400));
    let chain = vec!["volts"; 5_000].join("+") + " = 1";
    let nots = "NOT ".repeat(5_000) + "live";
    let wide = vec!["live"; 5_000].join(" OR ");
    let points = format!(
        "S_INTERSECTS(geometry,LINESTRING({}))",
        vec!["1 1"; 30_000].join(",")
    );
    let bad = [
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
        &deep,
        &chain,
        &nots,
        &wide,
        &points,
    ];
    let strict = queryables();
    for text in bad {
        let read = parse_text(text).and_then(|f| check(&f, &strict));
        let why = read
            .expect_err(&text.chars().take(60).collect::<String>())
            .to_string();
        assert!(!why.is_empty() && why.len() < 400, "{why}");
    }
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
    assert!(
        parse_json(&(r#"{"op":"not","args":["#.repeat(60) + "true" + &"]}".repeat(60))).is_err()
    );
}

#[test]
fn a_filter_that_was_once_misprinted_parses_back_in_both_forms() {
    // Marks, control characters, and backslashes before an escaped mark.
    let text = "a = '= ''''''=2\0\0\0z\0/\\\\'/t\0'";
    let filter = parse_text(text).expect("it is a filter");
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
