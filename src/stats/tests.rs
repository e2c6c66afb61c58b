//! Tests of each statistic and primitive.

use super::{balance_shares, exponential, safe_mean, FallingRamp, PidGains, Share, VelocityPid};
use super::{Backoff, DecayingAverage, Ewma, RatioBudget};
use super::{RecentValues, TimeWindow, TokenBucket};
use crate::interface::Nanos;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;

#[test]
fn an_ewma_moves_by_the_gain_towards_each_sample() {
    let mut average = Ewma::new(100.0);
    average.record(200.0, 0.5);
    assert_eq!(average.value(), 150.0);
    average.record(50.0, 0.1);
    assert_eq!(average.value(), 140.0);
}

#[test]
fn a_decaying_average_loses_half_its_distance_to_the_baseline_in_a_half_life() {
    let average = DecayingAverage::new(80.0, SECOND);
    let half_life = SECOND as f64;
    assert_eq!(average.value_at(SECOND, half_life, 20.0), 80.0);
    assert_eq!(average.value_at(2 * SECOND, half_life, 20.0), 50.0);
    assert_eq!(average.value_at(3 * SECOND, half_life, 20.0), 35.0);
    assert_eq!(
        average.value_at(2 * SECOND, half_life, 100.0),
        90.0,
        "the average moves up to a higher baseline"
    );
}

#[test]
fn a_decaying_average_is_recorded_with_or_without_its_decay() {
    let mut average = DecayingAverage::new(80.0, 0);
    average.record(SECOND, 100.0, 0.5);
    assert_eq!(average.value_at(SECOND, 1.0, 0.0), 90.0);
    let mut average = DecayingAverage::new(80.0, 0);
    average.record_decayed(SECOND, SECOND as f64, 100.0, 0.5);
    assert_eq!(
        average.value_at(SECOND, 1.0, 0.0),
        70.0,
        "the result is the average of 40 (half of 80) and 100"
    );
}

#[test]
fn a_lower_bound_moves_only_an_average_that_is_below_it() {
    for (bound, expected) in [(100.0, 90.0), (60.0, 80.0)] {
        let mut average = DecayingAverage::new(80.0, 0);
        average.record_lower_bound(SECOND, bound, 0.5);
        assert_eq!(average.value_at(SECOND, 1.0, 0.0), expected);
    }
}

#[test]
fn raising_an_average_never_lowers_it_and_restarts_its_decay() {
    for (floor, expected) in [(100.0, 100.0), (60.0, 80.0)] {
        let mut average = DecayingAverage::new(80.0, 0);
        average.raise_to(SECOND, floor);
        assert_eq!(average.value_at(SECOND, 1.0, 0.0), expected);
    }
}

#[test]
fn a_token_bucket_allows_its_burst_at_once_and_then_its_rate() {
    let mut bucket = TokenBucket::new(1.0, 0);
    let take = |bucket: &mut TokenBucket, now| bucket.try_take(now, 2.0, 4.0);
    assert!(take(&mut bucket, 0));
    assert!(!take(&mut bucket, 0));
    assert!(!take(&mut bucket, SECOND / 4), "half a token is not enough");
    assert!(
        take(&mut bucket, SECOND / 2),
        "a failed attempt takes no token"
    );
    let taken = (0..10).filter(|_| take(&mut bucket, 100 * SECOND)).count();
    assert_eq!(taken, 4, "a full bucket holds the burst");
}

#[test]
fn a_ratio_budget_counts_only_spent_events_at_the_edge_of_its_window() {
    let mut budget = RatioBudget::default();
    let available = |budget: &RatioBudget, second, margin| {
        budget.available(second * SECOND, 1.0, 0.5, 10 * SECOND, margin * SECOND)
    };
    assert_eq!(
        available(&budget, 0, 0),
        1.0,
        "the free budget is available"
    );
    budget.earn(10 * SECOND);
    budget.earn(10 * SECOND);
    budget.spend(10 * SECOND);
    assert_eq!(available(&budget, 20, 0), 1.0);
    assert_eq!(
        available(&budget, 20, 1),
        0.0,
        "spent events count beyond the edge, earned ones not up to it"
    );
    assert_eq!(
        available(&budget, 21, 0),
        1.0,
        "all events are older than the window"
    );
    budget.expire(21 * SECOND, 20 * SECOND);
    assert_eq!(
        available(&budget, 21, 5),
        0.0,
        "events within the span are kept"
    );
    budget.expire(21 * SECOND, 10 * SECOND);
    assert_eq!(available(&budget, 21, 5), 1.0);
}

#[test]
fn a_time_window_counts_and_sums_recent_observations() {
    let mut window = TimeWindow::default();
    assert_eq!(
        (
            window.count(0, SECOND),
            window.sum(0, SECOND),
            window.latest()
        ),
        (0, 0.0, None)
    );
    for second in 1..=4 {
        window.push(second * SECOND, second as f64);
    }
    let now = 4 * SECOND;
    assert_eq!(
        window.count(now, 2 * SECOND),
        3,
        "an observation at the edge is in the window"
    );
    assert_eq!(window.sum(now, 2 * SECOND), 9.0);
    assert_eq!(window.latest(), Some(now));
    window.expire(now, SECOND);
    assert_eq!(window.count(now, 10 * SECOND), 2);
}

#[test]
fn a_new_value_is_ranked_among_the_recent_ones() {
    let mut recent = RecentValues::default();
    assert_eq!(
        recent.rank(5.0, 0.5),
        0.5,
        "the only value has the tie break as its rank"
    );
    for value in [1.0, 2.0, 2.0] {
        recent.push(value, 3);
    }
    assert_eq!(recent.rank(3.0, 0.0), 0.75);
    assert_eq!(recent.rank(0.5, 0.0), 0.0);
    assert_eq!(recent.rank(2.0, 0.0), 0.25);
    assert_eq!(recent.rank(2.0, 1.0), 1.0);
    recent.push(9.0, 3);
    assert_eq!(recent.rank(1.5, 0.0), 0.0, "the oldest value was removed");
}

#[test]
fn a_safe_mean_stays_below_its_limit_by_the_given_deviations() {
    for limit in [0.5, 4.0, 100.0] {
        let mean = safe_mean(limit, 2.5);
        assert!(
            (mean + 2.5 * mean.sqrt() - limit).abs() < 1e-9,
            "{mean} under {limit}"
        );
    }
    assert_eq!(safe_mean(9.0, 0.0), 9.0);
}

#[test]
fn exponential_draws_have_mean_one() {
    let mut rng = fastrand::Rng::with_seed(1);
    let draws: Vec<f64> = (0..10_000).map(|_| exponential(&mut rng)).collect();
    assert!(draws.iter().all(|d| d.is_finite() && *d >= 0.0));
    let mean = draws.iter().sum::<f64>() / draws.len() as f64;
    assert!((0.95..1.05).contains(&mean), "{mean}");
}

#[test]
fn a_pid_controller_returns_the_change_of_its_output() {
    let only = |proportional, integral, derivative| PidGains {
        proportional,
        integral,
        derivative,
    };
    for (gains, changes) in [
        (only(0.5, 0.0, 0.0), [0.25, 0.0, -0.25]),
        (only(0.0, 0.5, 0.0), [1.0, 1.0, 0.0]),
        (only(0.0, 0.0, 0.5), [0.25, -0.25, -0.25]),
    ] {
        let mut pid = VelocityPid::default();
        let actual = [1.0, 1.0, 0.0].map(|error| pid.step(gains, error, 2.0, 2 * SECOND));
        assert_eq!(actual, changes, "{gains:?}");
    }
}

#[test]
fn a_falling_ramp_falls_from_one_to_zero() {
    let ramp = FallingRamp { from: 0.5, to: 1.5 };
    assert_eq!(
        [0.0, 0.5, 0.75, 1.5, 9.0].map(|x| ramp.at(x)),
        [1.0, 1.0, 0.75, 0.0, 0.0]
    );
}

#[test]
fn shares_are_balanced_over_overlapping_groups() {
    let group = |members: [usize; 2]| members.map(|member| Share { member, share: 1.0 });
    // Members 0 and 1 form the first group, 1 and 2 the second; member 1 has less capacity.
    let mut first = group([0, 1]);
    let mut second = group([1, 2]);
    let capacities = BTreeMap::from([(0, 1.0), (1, 0.5), (2, 1.0)]);
    balance_shares(&mut [&mut first, &mut second], &capacities, 50);
    let groups = [first, second];
    let load = |member| {
        groups
            .iter()
            .flatten()
            .filter(|s| s.member == member)
            .map(|s| s.share)
            .sum::<f64>()
    };
    assert!(
        (load(0) - 0.8).abs() < 1e-6
            && (load(1) - 0.4).abs() < 1e-6
            && (load(2) - 0.8).abs() < 1e-6
    );
    assert!(groups
        .iter()
        .all(|group| (group.iter().map(|s| s.share).sum::<f64>() - 1.0).abs() < 1e-9));
}

#[test]
fn a_backoff_doubles_with_each_failure_up_to_a_maximum() {
    let mut backoff = Backoff::default();
    assert!(!backoff.is_failing() && backoff.is_due(0));
    for (failures, wait) in [(1, 200), (2, 400), (3, 800), (4, 1_600), (5, 1_600)] {
        backoff.fail(1_000, 100.0);
        assert_eq!(backoff.failures(), failures);
        assert!(
            !backoff.is_due(1_000 + wait - 1) && backoff.is_due(1_000 + wait),
            "{failures}"
        );
    }
    backoff.succeed();
    assert!(!backoff.is_failing());
}
