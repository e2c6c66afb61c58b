//! Tests of filters: fixtures, and property tests on generated filters. The modules within this one
//! test examples.

mod evaluation;
mod parsing;
mod pushdown;
mod validation;

use super::pushdown::is_expressible_in_text;
use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;

fn queryables() -> Queryables {
    let types = [
        ("name", QueryableType::Text),
        ("volts", QueryableType::Number),
        ("live", QueryableType::Bool),
        ("built", QueryableType::Time),
        ("geometry", QueryableType::Geometry),
        ("tags", QueryableType::Array),
    ];
    Queryables {
        named: types
            .map(|(name, queryable_type)| (name.to_owned(), queryable_type))
            .into(),
        open: false,
    }
}

fn feature() -> serde_json::Value {
    json!({
        "type": "Feature",
        "id": "d7",
        "geometry": {"type": "Point", "coordinates": [5.0, 5.0]},
        "properties": {
            "name": "Élan 7",
            "volts": 240,
            "live": true,
            "built": "2026-03-04T10:00:00Z",
            "tags": ["a", "b"],
            "gone": null,
        },
    })
}

/// Returns the capabilities of a server that declares the basic conformance classes and `classes`.
fn capabilities(classes: &[&str]) -> Capabilities {
    let all = ["cql2-text", "features-filter", "basic-cql2"]
        .iter()
        .chain(classes);
    Capabilities {
        classes: all.map(|c| (*c).to_owned()).collect(),
        queryables: queryables(),
        max_filter_text: 2_000,
    }
}

/// Generates operands of comparisons.
fn values() -> impl Strategy<Value = Value> {
    let plain = prop_oneof![
        "[a-zA-Z_ .%é-]{1,8}".prop_map(Value::Property),
        any::<String>()
            .prop_filter("expressible in CQL2 text", |t| is_expressible_in_text(t))
            .prop_map(Value::Text),
        prop_oneof![
            -1e6..1e6_f64,
            any::<i32>().prop_map(f64::from),
            Just(1e300),
            Just(-5e-324)
        ]
        .prop_map(Value::Number),
        any::<bool>().prop_map(Value::Bool),
        (1900..2100, 1..13, 1..29)
            .prop_map(|(y, m, d)| Value::Date(format!("{y:04}-{m:02}-{d:02}"))),
    ];
    plain.prop_recursive(3, 8, 2, |inner| {
        let operation = (
            proptest::sample::select(ArithmeticOperator::ALL),
            inner.clone(),
            inner.clone(),
        );
        prop_oneof![
            operation.prop_map(|(op, a, b)| Value::Arithmetic(op, Box::new(a), Box::new(b))),
            inner.clone().prop_map(|v| Value::Casei(Box::new(v))),
            inner.prop_map(|v| Value::Accenti(Box::new(v))),
        ]
    })
}

/// Generates operands of spatial relations.
fn spatial_operands() -> impl Strategy<Value = Value> {
    let coordinate = || -180.0..180.0_f64;
    let wkt = prop_oneof![
        (coordinate(), coordinate()).prop_map(|(x, y)| format!("POINT({x} {y})")),
        (coordinate(), coordinate(), coordinate()).prop_map(|(a, b, c)| format!(
            "POLYGON(({a} {b},{c} {b},{c} {a},{a} {b}),(0 0,1 0,1 1,0 0))"
        )),
        (coordinate(), coordinate())
            .prop_map(|(a, b)| format!("MULTILINESTRING(({a} 1,2 {b}),(3 3,4 4))")),
        (coordinate(), coordinate())
            .prop_map(|(a, b)| format!("GEOMETRYCOLLECTION(POINT({a} {b}),MULTIPOINT({b} 1,2 2))")),
    ];
    let parse = |text: String| match parse_text(&format!("S_EQUALS(g,{text})")) {
        Ok(Filter::Spatial(_, _, value)) => value,
        other => panic!("{text}: {other:?}"),
    };
    prop_oneof![
        wkt.prop_map(parse),
        Just(Value::Bbox(vec![-1.5, 2.0, 3.0, 4.0])),
        Just(Value::Property("g".into()))
    ]
}

/// Generates filters of one condition.
fn conditions() -> impl Strategy<Value = Filter> {
    let date = || Some(Box::new(Value::Date("2026-01-02".into())));
    let time = prop_oneof![
        Just(Value::Timestamp("2026-01-02T03:04:05Z".into())),
        Just(Value::Interval(None, date())),
        Just(Value::Interval(
            date(),
            Some(Box::new(Value::Property("t".into())))
        )),
    ];
    let list = || proptest::collection::vec(values(), 1..4);
    prop_oneof![
        any::<bool>().prop_map(Filter::Constant),
        (
            proptest::sample::select(ComparisonOperator::ALL),
            values(),
            values()
        )
            .prop_map(|(o, a, b)| Filter::Compare(o, a, b)),
        (values(), values()).prop_map(|(a, b)| Filter::Like(a, b)),
        (values(), values(), values()).prop_map(|(a, b, c)| Filter::Between(a, b, c)),
        (values(), list()).prop_map(|(a, list)| Filter::In(a, list)),
        values().prop_map(Filter::IsNull),
        (
            proptest::sample::select(SpatialRelation::ALL),
            spatial_operands(),
            spatial_operands()
        )
            .prop_map(|(o, a, b)| Filter::Spatial(o, a, b)),
        (proptest::sample::select(TemporalRelation::ALL), time)
            .prop_map(|(o, b)| Filter::Temporal(o, Value::Property("t".into()), b)),
        (proptest::sample::select(ArrayRelation::ALL), list(), list())
            .prop_map(|(o, a, b)| Filter::Array(o, Value::Array(a), Value::Array(b))),
        "[a-z]{1,6}x".prop_map(|n| Filter::BooleanProperty(Value::Property(n))),
    ]
}

/// Generates filters of any depth.
fn filters() -> impl Strategy<Value = Filter> {
    conditions().prop_recursive(3, 16, 3, |inner| {
        let conditions = proptest::collection::vec(inner.clone(), 2..4);
        prop_oneof![
            conditions
                .clone()
                .prop_map(|p| Filter::And(flatten(p, Junction::And))),
            conditions.prop_map(|p| Filter::Or(flatten(p, Junction::Or))),
            inner.prop_map(|f| Filter::Not(Box::new(f))),
        ]
    })
}

/// Fragments of CQL2 text, which are joined at random.
const TEXT_FRAGMENTS: &[&str] = &[
    "(",
    ")",
    "'",
    "\"",
    ",",
    "NOT ",
    "AND ",
    "a ",
    "= ",
    "1 ",
    "POINT(",
    "S_EQUALS(",
    "^",
    "-",
];

/// Conformance classes that a server may declare or not.
const OPTIONAL_CLASSES: &[&str] = &[
    "advanced-comparison-operators",
    "basic-spatial-functions",
    "basic-spatial-functions-plus",
    "spatial-functions",
    "temporal-functions",
    "array-functions",
    "property-property",
    "arithmetic",
];

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn printed_filters_parse_to_equal_filters(filter in filters()) {
        let text = filter.to_string();
        prop_assert_eq!(parse_text(&text), Ok(filter.clone()), "{}", text);
        let json = to_json(&filter).to_string();
        prop_assert_eq!(parse_json(&json), Ok(filter), "{}", json);
    }

    #[test]
    fn arbitrary_text_is_a_filter_or_an_error(
        text in any::<String>(),
        fragments in proptest::collection::vec(proptest::sample::select(TEXT_FRAGMENTS), 0..40),
    ) {
        for text in [text, fragments.concat()] {
            if let Ok(filter) = parse_text(&text) {
                prop_assert_eq!(parse_text(&filter.to_string()), Ok(filter));
            }
            let _ = parse_json(&text);
        }
    }

    /// A feature matches a filter if and only if it matches both filters of its split, whatever the
    /// server's capabilities are.
    #[test]
    fn pushed_down_and_residual_filter_together_match_the_same_features(
        filter in filters(),
        declared in proptest::collection::vec(any::<bool>(), OPTIONAL_CLASSES.len()),
        max_filter_text in 0_usize..400,
    ) {
        let classes: Vec<&str> = OPTIONAL_CLASSES
            .iter()
            .zip(&declared)
            .filter(|(_, declared)| **declared)
            .map(|(class, _)| *class)
            .collect();
        let capabilities = Capabilities {
            max_filter_text,
            queryables: Queryables::unknown(),
            ..capabilities(&classes)
        };
        let split = split(&filter, &capabilities);
        let matches = |filter: &Filter| Matcher::new(filter.clone()).matches(&feature());
        let both_match = split.pushed_down.iter().all(matches) && split.residual.iter().all(matches);
        prop_assert_eq!(both_match, matches(&filter));
    }
}
