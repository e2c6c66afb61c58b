//! Tests of the division of filters between a feature server and the front.

use super::super::{parse_json, parse_text, split, Capabilities, Filter};
use super::capabilities;

/// A filter of four conditions, the last of which has a name that is not a queryable.
const FILTER: &str = "volts > 1 AND S_INTERSECTS(geometry,POLYGON((0 0,4 0,4 4,0 0))) \
    AND name LIKE 'a%' AND other = 1";

/// The two filters of a split as text, which is empty for an absent filter.
struct SplitText {
    pushed_down: String,
    residual: String,
    envelope: Option<[f64; 4]>,
}

/// Splits [`FILTER`] for a server with these capabilities.
fn split_filter(capabilities: &Capabilities) -> SplitText {
    let filter = parse_text(FILTER).expect("the text is a filter");
    let split = split(&filter, capabilities);
    let text = |filter: Option<Filter>| filter.map(|filter| filter.to_string()).unwrap_or_default();
    SplitText {
        pushed_down: text(split.pushed_down),
        residual: text(split.residual),
        envelope: split.envelope,
    }
}

#[test]
fn conditions_that_a_server_can_evaluate_are_pushed_down_and_the_others_are_residual() {
    let basic = split_filter(&capabilities(&[]));
    assert_eq!(basic.pushed_down, "\"volts\" > 1");
    assert!(basic.residual.contains("POLYGON"));
    assert!(basic.residual.contains("LIKE"));
    assert!(basic.residual.contains("other"));
    assert_eq!(basic.envelope, Some([0.0, 0.0, 4.0, 4.0]));

    let capable = split_filter(&capabilities(&[
        "basic-spatial-functions-plus",
        "advanced-comparison-operators",
    ]));
    assert!(capable.pushed_down.contains("POLYGON"));
    assert!(capable.pushed_down.contains("LIKE"));
    assert_eq!(capable.residual, "\"other\" = 1");
    assert_eq!(capable.envelope, None);
}

#[test]
fn no_filter_is_pushed_down_to_a_server_without_capabilities() {
    assert_eq!(split_filter(&Capabilities::default()).pushed_down, "");
}

#[test]
fn a_filter_that_cannot_be_written_as_text_is_residual() {
    let json = r#"{"op":"=","args":[{"property":"name"},"x\\"]}"#;
    let filter = parse_json(json).expect("the JSON is a filter");
    assert_eq!(split(&filter, &capabilities(&[])).pushed_down, None);
}

#[test]
fn the_longest_conditions_are_residual_if_the_text_is_too_long() {
    let limited = Capabilities {
        max_filter_text: 30,
        ..capabilities(&["basic-spatial-functions-plus"])
    };
    assert_eq!(split_filter(&limited).pushed_down, "\"volts\" > 1");
}

#[test]
fn a_disjunction_is_pushed_down_completely_or_not_at_all() {
    let filter = parse_text("volts > 1 OR other = 1").expect("the text is a filter");
    assert_eq!(split(&filter, &capabilities(&[])).pushed_down, None);
}

/// Guards against missing features: `bbox` selects by the main geometry (OGC API - Features, Part 1,
/// 7.15.3), so the bounding box of a condition on another geometry would exclude matching features.
#[test]
fn only_conditions_on_the_main_geometry_result_in_a_bounding_box() {
    let envelope = |property: &str| {
        let text = format!("S_INTERSECTS({property},POLYGON((0 0,4 0,4 4,0 0)))");
        let filter = parse_text(&text).expect("the text is a filter");
        split(&filter, &Capabilities::default()).envelope
    };
    assert_eq!(envelope("geometry"), Some([0.0, 0.0, 4.0, 4.0]));
    assert_eq!(envelope("service_area"), None);
}
