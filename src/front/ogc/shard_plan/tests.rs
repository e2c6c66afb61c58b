//! Tests of the plans for shards.

use super::*;
use crate::front::ogc::cql2::Queryables;
use crate::front::ogc::params::{decode_query, parse_items_query, LimitRules, ParameterRules};

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
    let plan = |capabilities: &Capabilities| ShardPlan::from_start(&params, capabilities, None);
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
