//! Tests of the settings that the policy gets.

use super::ActiveSettings;
use crate::coordinator::ProcessGeneration;
use crate::interface::{Class, RetryBudget, ServiceReduction, Settings};
use crate::test_fixtures;

const MS: u64 = 1_000_000;

fn settings() -> Settings {
    let class = Class {
        latency_objective: 300 * MS,
        follow_up_parts: 3,
        ..test_fixtures::class("lookup")
    };
    Settings {
        coordinators: 4,
        tick: 5 * MS,
        classes: vec![class],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        shards: 1,
        cells: 1,
        cells_per_shard: 1,
        max_batch: 0,
        call_overhead: 0,
        max_poll_interval: None,
        retry_budget: Some(RetryBudget {
            free: 5.0,
            ratio: 0.1,
            window: 1_000 * MS,
        }),
        slow_start: None,
        cancellation: true,
        hedging: false,
        max_retry_after: None,
        reduction: ServiceReduction::default(),
    }
}

#[test]
fn policy_gets_latency_objectives_shortened_by_the_response_margin_but_at_most_by_half() {
    let mut configured = settings();
    let short = Class {
        latency_objective: 12 * MS,
        ..configured.classes[0].clone()
    };
    configured.classes.push(short);
    let for_policy = ActiveSettings::new(configured, 10).for_new_policy();
    let objectives: Vec<u64> = for_policy
        .classes
        .iter()
        .map(|class| class.latency_objective)
        .collect();
    assert_eq!(objectives, [290 * MS, 6 * MS]);
}

#[test]
fn policy_gets_no_follow_up_parts_and_calls_carry_at_least_one_attempt() {
    let active = ActiveSettings::new(settings(), 10);
    assert_eq!(active.for_new_policy().classes[0].follow_up_parts, 0);
    assert_eq!(active.max_batch(), 1);
}

#[test]
fn two_processes_share_the_limits_and_only_the_predecessor_has_free_retries() {
    let mut active = ActiveSettings::new(settings(), 11);
    let cases = [
        (None, 11, 4, 5.0),
        (Some(ProcessGeneration::Predecessor), 5, 8, 5.0),
        (Some(ProcessGeneration::Successor), 5, 8, 0.0),
        (None, 11, 4, 5.0),
    ];
    for (generation, slots, coordinators, free) in cases {
        active.set_generation(generation);
        let for_policy = active.for_policy(settings().classes);
        assert_eq!(active.max_reserved_slots(), slots, "{generation:?}");
        assert_eq!(for_policy.coordinators, coordinators, "{generation:?}");
        let budget = for_policy
            .retry_budget
            .expect("the settings have a retry budget");
        assert_eq!((budget.free, budget.ratio), (free, 0.1), "{generation:?}");
    }
}
