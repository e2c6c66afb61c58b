//! Tests of the plans for shards.

use super::*;
use crate::front::ogc::cql2::Queryables;
use crate::front::ogc::params::{decode_query, parse_items_query, LimitRules, ParameterRules};
use serde_json::{json, Value as Json};

const SHARD: &str = "north";
const PAGE_SIZE: usize = 500;

fn params(query: &str) -> Params {
    let queryables = Queryables::unknown();
    let rules = ParameterRules {
        limits: LimitRules {
            default_limit: 10,
            max_limit: 50,
        },
        queryables: &queryables,
    };
    parse_items_query(&decode_query(query), &rules).expect("the query is valid")
}

/// Returns the capabilities of a server that evaluates comparisons.
fn filtering() -> Capabilities {
    let classes = ["cql2-text", "features-filter", "basic-cql2"];
    Capabilities {
        classes: classes.map(str::to_owned).into(),
        queryables: Queryables::unknown(),
        max_filter_text: 1_000,
    }
}

/// Returns the request for the first page of a shard with this plan.
fn first_page(params: &Params, plan: &ShardPlan) -> ResumedFirstPage {
    let target = plan.target(SHARD, params, PAGE_SIZE);
    ResumedFirstPage {
        page_size: PAGE_SIZE,
        target_hash: stable_hash(&[target.as_bytes()]),
    }
}

/// Guards against features that are skipped in another order than that in which they were counted:
/// a server's order may depend on the filter that it evaluates.
#[test]
fn a_first_page_is_requested_again_as_it_was_before_or_not_at_all() {
    let params = params("filter=volts%3E100");
    let unknown = Capabilities::default();
    let plan = |capabilities: &Capabilities| ShardPlan::from_start(&params, capabilities);
    let again = |before: &Capabilities, now: &Capabilities| {
        let requested = first_page(&params, &plan(before));
        ShardPlan::at_first_page(&params, now, SHARD, requested)
    };
    let pushed_down = plan(&filtering()).pushed_down;
    assert!(pushed_down.is_some());

    let unchanged = again(&filtering(), &filtering());
    assert_eq!(unchanged.map(|plan| plan.pushed_down), Some(pushed_down));
    let discovered_since = again(&unknown, &filtering()).expect("the page can be requested");
    assert!(discovered_since.pushed_down.is_none() && discovered_since.predicate.is_some());
    assert!(again(&filtering(), &unknown).is_none());
}

/// Returns the filter for the features from a position on, as text.
fn filter_text(sortby: &str, agreed: &[ColumnKind], values: Json) -> Option<String> {
    let keys = params(&format!("sortby={sortby}")).sortby;
    let values = values.as_array().expect("the values are an array").clone();
    sort_filter::filter_from(&keys, agreed, &values).map(|filter| filter.to_string())
}

/// Guards against features that a server leaves out, since its comparison is not that of the front.
#[test]
fn only_columns_in_whose_order_servers_agree_are_compared_by_them() {
    const NUMBER: ColumnKind = ColumnKind::Number;
    const TEXT: ColumnKind = ColumnKind::Text;
    let cases: [(&str, &[ColumnKind], Json, Option<&str>); 8] = [
        ("k", &[], json!([1, 2]), None),
        (
            "k",
            &[NUMBER],
            json!([1, "d2"]),
            Some(r#""k" >= 1 OR "k" IS NULL"#),
        ),
        (
            "-k",
            &[NUMBER],
            json!([1, "d2"]),
            Some(r#""k" <= 1 OR "k" IS NULL"#),
        ),
        (
            "k",
            &[NUMBER, NUMBER],
            json!([1, 2]),
            Some(r#""k" > 1 OR ("k" = 1 AND "id" >= 2) OR "k" IS NULL"#),
        ),
        // The value at the server may differ from its text.
        (
            "k",
            &[NUMBER, NUMBER],
            json!([-0.5, 2]),
            Some(r#""k" >= -0.5000005 OR "k" IS NULL"#),
        ),
        (
            "-k",
            &[NUMBER, NUMBER],
            json!([0.5, 2]),
            Some(r#""k" <= 0.5000005 OR "k" IS NULL"#),
        ),
        (
            "k",
            &[TEXT, TEXT],
            json!(["a", "b"]),
            Some(r#""k" > 'a' OR ("k" = 'a' AND "id" >= 'b') OR "k" IS NULL"#),
        ),
        ("k", &[NUMBER, NUMBER], json!([null, 2]), None),
    ];
    for (sortby, agreed, values, expected) in cases {
        let text = filter_text(sortby, agreed, values.clone());
        assert_eq!(text.as_deref(), expected, "{sortby} {agreed:?} {values}");
    }
}

/// Guards against a server's order that is relied on although the front does not know it.
#[test]
fn the_declared_types_tell_in_which_columns_servers_agree() {
    let capabilities = |key: &str, id: &str| {
        let schema = json!({"properties": {"k": {"type": key}, "id": {"type": id}}});
        Capabilities {
            classes: ["sorting".to_owned()].into(),
            queryables: Queryables::from_schema(&schema).expect("the schema is valid"),
            max_filter_text: 1_000,
        }
    };
    let params = params("sortby=k");
    let agreed =
        |key, id, same_text_order| agreed_columns(&capabilities(key, id), &params, same_text_order);
    use ColumnKind::{Number, Text};
    assert_eq!(agreed("number", "integer", false), [Number, Number]);
    assert_eq!(agreed("number", "string", false), [Number]);
    assert_eq!(agreed("number", "string", true), [Number, Text]);
    assert_eq!(agreed("string", "integer", false), []);
    assert_eq!(agreed("boolean", "integer", true), []);
    let without_sorting = Capabilities {
        classes: Default::default(),
        ..capabilities("number", "integer")
    };
    assert_eq!(agreed_columns(&without_sorting, &params, true), []);
}
