//! Tests of parsing, printing, validation, evaluation and pushdown of filters.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use std::collections::BTreeMap;

fn queryables() -> Queryables {
    let kinds = [
        ("name", QueryableType::Text),
        ("volts", QueryableType::Number),
        ("live", QueryableType::Bool),
        ("built", QueryableType::Time),
        ("geometry", QueryableType::Geometry),
        ("tags", QueryableType::Array),
    ];
    Queryables {
        named: kinds.map(|(n, k)| (n.to_owned(), k)).into(),
        open: false,
    }
}

fn feature() -> serde_json::Value {
    json!({"type": "Feature", "id": "d7", "geometry": {"type": "Point", "coordinates": [5.0, 5.0]}, "properties": {
        "name": "Élan 7", "volts": 240, "live": true, "built": "2026-03-04T10:00:00Z", "tags": ["a", "b"], "gone": null}})
}

fn holds(text: &str) -> bool {
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
fn filters_are_true_of_the_features_that_they_describe() {
    let yes = [
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
        // A backslash before an escaped mark.
        "name <> 'a\\\\'b' AND name <> '\\''",
    ];
    for text in yes {
        assert!(holds(text), "{text}");
    }
    let no = [
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
    for text in no {
        assert!(!holds(text), "{text}");
    }
}

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
fn operands_must_fit_the_queryables() {
    let checked = |text: &str| check(&parse_text(text).expect(text), &queryables());
    for text in [
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
    ] {
        assert_eq!(checked(text), Ok(()), "{text}");
    }
    for text in [
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
        "CASEI(volts) = 'x'",
        "T_AFTER(built,INTERVAL('2026-02-01','2026-01-01'))",
        "name BETWEEN 'a' AND 'b'",
    ] {
        assert!(checked(text).is_err(), "{text}");
    }
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

fn value() -> impl Strategy<Value = Value> {
    let plain = prop_oneof![
        "[a-zA-Z_ .%é-]{1,8}".prop_map(Value::Property),
        any::<String>()
            .prop_filter("printable", |t| pushdown::is_printable(t))
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
        let two = (
            proptest::sample::select(ArithmeticOperator::ALL),
            inner.clone(),
            inner.clone(),
        );
        prop_oneof![
            two.prop_map(|(op, a, b)| Value::Arithmetic(op, Box::new(a), Box::new(b))),
            inner.clone().prop_map(|v| Value::Casei(Box::new(v))),
            inner.prop_map(|v| Value::Accenti(Box::new(v))),
        ]
    })
}

fn spatial_operand() -> impl Strategy<Value = Value> {
    let n = || -180.0..180.0_f64;
    let wkt = prop_oneof![
        (n(), n()).prop_map(|(x, y)| format!("POINT({x} {y})")),
        (n(), n(), n()).prop_map(|(a, b, c)| format!(
            "POLYGON(({a} {b},{c} {b},{c} {a},{a} {b}),(0 0,1 0,1 1,0 0))"
        )),
        (n(), n()).prop_map(|(a, b)| format!("MULTILINESTRING(({a} 1,2 {b}),(3 3,4 4))")),
        (n(), n())
            .prop_map(|(a, b)| format!("GEOMETRYCOLLECTION(POINT({a} {b}),MULTIPOINT({b} 1,2 2))")),
    ];
    let read = |text: String| match parse_text(&format!("S_EQUALS(g,{text})")) {
        Ok(Filter::Spatial(_, _, value)) => value,
        other => panic!("{text}: {other:?}"),
    };
    prop_oneof![
        wkt.prop_map(read),
        Just(Value::Bbox(vec![-1.5, 2.0, 3.0, 4.0])),
        Just(Value::Property("g".into()))
    ]
}

fn filters() -> impl Strategy<Value = Filter> {
    let date = || Some(Box::new(Value::Date("2026-01-02".into())));
    let time = prop_oneof![
        Just(Value::Timestamp("2026-01-02T03:04:05Z".into())),
        Just(Value::Interval(None, date())),
        Just(Value::Interval(
            date(),
            Some(Box::new(Value::Property("t".into())))
        )),
    ];
    let list = || proptest::collection::vec(value(), 1..4);
    let leaf = prop_oneof![
        any::<bool>().prop_map(Filter::Constant),
        (
            proptest::sample::select(ComparisonOperator::ALL),
            value(),
            value()
        )
            .prop_map(|(o, a, b)| Filter::Compare(o, a, b)),
        (value(), value()).prop_map(|(a, b)| Filter::Like(a, b)),
        (value(), value(), value()).prop_map(|(a, b, c)| Filter::Between(a, b, c)),
        (value(), list()).prop_map(|(a, list)| Filter::In(a, list)),
        value().prop_map(Filter::IsNull),
        (
            proptest::sample::select(SpatialRelation::ALL),
            spatial_operand(),
            spatial_operand()
        )
            .prop_map(|(o, a, b)| Filter::Spatial(o, a, b)),
        (proptest::sample::select(TemporalRelation::ALL), time)
            .prop_map(|(o, b)| Filter::Temporal(o, Value::Property("t".into()), b)),
        (proptest::sample::select(ArrayRelation::ALL), list(), list())
            .prop_map(|(o, a, b)| Filter::Array(o, Value::Array(a), Value::Array(b))),
        "[a-z]{1,6}x".prop_map(|n| Filter::Test(Value::Property(n))),
    ];
    leaf.prop_recursive(3, 16, 3, |inner| {
        let many = proptest::collection::vec(inner.clone(), 2..4);
        prop_oneof![
            many.clone()
                .prop_map(|p| Filter::And(flatten(p, Junction::And))),
            many.prop_map(|p| Filter::Or(flatten(p, Junction::Or))),
            inner.prop_map(|f| Filter::Not(Box::new(f))),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn parse_and_print_are_inverse(filter in filters()) {
        let text = filter.to_string();
        prop_assert_eq!(parse_text(&text), Ok(filter.clone()), "{}", text);
        let json = to_json(&filter).to_string();
        prop_assert_eq!(parse_json(&json), Ok(filter), "{}", json);
    }

    #[test]
    fn arbitrary_text_is_a_filter_or_an_error(text in any::<String>(), pieces in proptest::collection::vec(
        proptest::sample::select(vec!["(", ")", "'", "\"", ",", "NOT ", "AND ", "a ", "= ", "1 ", "POINT(", "S_EQUALS(", "^", "-"]), 0..40)) {
        for text in [text, pieces.concat()] {
            if let Ok(filter) = parse_text(&text) {
                prop_assert_eq!(parse_text(&filter.to_string()), Ok(filter));
            }
            let _ = parse_json(&text);
        }
    }

    /// Whatever a server's capabilities, the two parts of a split are together the filter.
    #[test]
    fn both_parts_of_a_split_filter_together_match_the_same_features(filter in filters(), picked in proptest::collection::vec(any::<bool>(), 8), most in 0_usize..400) {
        let names = ["advanced-comparison-operators", "basic-spatial-functions", "basic-spatial-functions-plus",
            "spatial-functions", "temporal-functions", "array-functions", "property-property", "arithmetic"];
        let some: Vec<&str> = names.iter().zip(&picked).filter(|p| *p.1).map(|p| *p.0).collect();
        let able = Capabilities { max_filter_text: most, queryables: Queryables::unknown(), ..capabilities(&some) };
        let split = split(&filter, &able);
        let holds = |f: &Filter| Matcher::new(f.clone()).matches(&feature());
        let both = split.pushed_down.iter().all(holds) && split.residual.iter().all(holds);
        prop_assert_eq!(both, holds(&filter));
    }
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
