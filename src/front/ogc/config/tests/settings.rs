//! Tests of the conversion of an edge file to settings.

use super::{parse, EVERY_KEY, REQUIRED_KEYS};
use crate::interface::Effect;
use crate::limits::LimitRule;

#[test]
fn limits_are_converted_to_the_concurrency_rule() {
    let edge = parse(EVERY_KEY);
    assert!(matches!(edge.concurrency_rule(), LimitRule::Fixed(33)));
    let adaptive = parse(REQUIRED_KEYS).concurrency_rule();
    assert!(matches!(
        adaptive,
        LimitRule::Adaptive {
            initial: 8,
            min: 2,
            max: 32
        }
    ));
}

#[test]
fn edge_file_is_converted_to_policy_settings() {
    let settings = parse(EVERY_KEY).settings();
    assert_eq!(
        (settings.coordinators, settings.tick, settings.shards),
        (2, 5_000_000, 0)
    );
    assert_eq!(settings.max_retry_after, Some(2_001_000_000));
    let budget = settings
        .retry_budget
        .expect("the settings have a retry budget");
    assert_eq!(
        (budget.ratio, budget.free, budget.window),
        (0.5, 10.0, 10_000_000_000)
    );
    let slow_start = settings.slow_start.expect("the settings have a slow start");
    assert_eq!(
        (slow_start.initial_capacity, slow_start.warm_up),
        (0.2, 17_000_000_000)
    );
    assert_eq!(
        (slow_start.overload_factor, slow_start.overload_window),
        (2.5, 1_500_000_000)
    );
}

#[test]
fn classes_are_converted_to_policy_settings() {
    let settings = parse(EVERY_KEY).settings();
    let class = &settings.classes[0];
    assert_eq!(
        (class.latency_objective, class.deadline),
        (2_000_000_000, 6_000_000_000)
    );
    assert_eq!(
        (class.effect, class.max_attempts),
        (Effect::NonIdempotent, 3)
    );
    assert_eq!(
        (class.min_share, class.priority_weight, class.late_weight),
        (0.8, 2.0, 0.1)
    );
}
