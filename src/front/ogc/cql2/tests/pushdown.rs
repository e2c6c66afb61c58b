//! Tests of the division of filters between a server and this program.

use super::super::{parse_json, parse_text, split, Capabilities, Filter};
use super::capabilities;

#[test]
fn conditions_that_a_server_can_apply_are_pushed_down_and_the_others_are_residual() {
    let text =
        "volts > 1 AND S_INTERSECTS(geometry,POLYGON((0 0,4 0,4 4,0 0))) AND name LIKE 'a%' AND other = 1";
    let filter = parse_text(text).expect("a filter");
    let of = |able: &Capabilities| {
        let split = split(&filter, able);
        let text = |f: Option<Filter>| f.map(|f| f.to_string()).unwrap_or_default();
        (
            text(split.pushed_down),
            text(split.residual),
            split.envelope,
        )
    };
    let (pushed_down, residual, envelope) = of(&capabilities(&[]));
    assert_eq!(pushed_down, "\"volts\" > 1");
    assert!(
        residual.contains("POLYGON") && residual.contains("LIKE") && residual.contains("other")
    );
    assert_eq!(envelope, Some([0.0, 0.0, 4.0, 4.0]));
    let (pushed_down, residual, envelope) = of(&capabilities(&[
        "basic-spatial-functions-plus",
        "advanced-comparison-operators",
    ]));
    assert!(pushed_down.contains("POLYGON") && pushed_down.contains("LIKE"));
    assert_eq!((residual.as_str(), envelope), ("\"other\" = 1", None));
    assert_eq!(
        of(&Capabilities::default()).0,
        "",
        "a server that says nothing is asked nothing"
    );
    let odd = parse_json(r#"{"op":"=","args":[{"property":"name"},"x\\"]}"#).expect("a filter");
    assert_eq!(
        split(&odd, &capabilities(&[])).pushed_down,
        None,
        "text cannot say it"
    );
    let short = Capabilities {
        max_filter_text: 30,
        ..capabilities(&["basic-spatial-functions-plus"])
    };
    assert_eq!(of(&short).0, "\"volts\" > 1");
    // A disjunction is pushed down completely or not at all.
    let either = parse_text("volts > 1 OR other = 1").expect("a filter");
    assert_eq!(split(&either, &capabilities(&[])).pushed_down, None);
}
