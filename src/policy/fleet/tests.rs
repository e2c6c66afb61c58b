//! Tests of the statistics over all replicas.

use super::{ConnectionStatistics, FleetLatency};
use crate::interface::{Class, ClassId, Nanos, Settings};
use crate::test_fixtures;

fn class(objective: Nanos) -> Class {
    Class {
        latency_objective: objective,
        deadline: 2 * objective,
        max_attempts: 1,
        ..test_fixtures::class("")
    }
}

fn settings(objectives: &[Nanos]) -> Settings {
    Settings {
        classes: objectives
            .iter()
            .map(|objective| class(*objective))
            .collect(),
        ..Settings::default()
    }
}

#[test]
fn fleet_latency_is_estimated_from_the_objectives_until_answers_are_observed() {
    let mut latency = FleetLatency::new(&settings(&[800, 1_600]));
    assert_eq!((latency.mean(), latency.baseline()), (100.0, 100.0));
    assert_eq!(
        (latency.work(ClassId(0)), latency.work(ClassId(1))),
        (100.0, 200.0)
    );
    assert!(!latency.is_any_observed());
    latency.record(ClassId(1), 100, 2.0);
    assert!(
        latency.is_any_observed()
            && latency.is_observed(ClassId(1))
            && !latency.is_observed(ClassId(0))
    );
    assert_eq!(
        latency.work(ClassId(1)),
        150.0,
        "an answer faster than the estimate has a gain of one half"
    );
}

#[test]
fn an_outlier_moves_the_mean_latency_more_than_the_baseline() {
    let mut latency = FleetLatency::new(&settings(&[800]));
    latency.record(ClassId(0), 1_100, 1.0);
    assert!((latency.mean() - 130.0).abs() < 1e-9);
    assert!((latency.baseline() - 103.0).abs() < 1e-9);
    assert!(
        (latency.work(ClassId(0)) - 102.0).abs() < 1e-9,
        "a long answer hardly raises the work"
    );
}

#[test]
fn new_settings_keep_the_observed_work_of_a_class_and_estimate_that_of_others() {
    let mut latency = FleetLatency::new(&settings(&[800, 800]));
    latency.record(ClassId(0), 60, 1.0);
    latency.apply_settings(
        &settings(&[1_600, 1_600, 1_600]),
        &[ClassId(1), ClassId(0), ClassId(7)],
    );
    assert_eq!(
        [0, 1, 2].map(|class| latency.work(ClassId(class))),
        [200.0, 80.0, 200.0]
    );
    assert_eq!(
        [0, 1, 2].map(|class| latency.is_observed(ClassId(class))),
        [false, true, false]
    );
}

#[test]
fn idle_connections_count_as_dropped_if_far_more_attempts_are_lost_on_them_than_on_others() {
    let mut connections = ConnectionStatistics::default();
    let idle_are_dropped_after_losses = |connections: &mut ConnectionStatistics, idle, count| {
        (0..count).for_each(|_| connections.record_attempt(idle, true));
        connections.idle_are_dropped()
    };
    assert!(
        !idle_are_dropped_after_losses(&mut connections, true, 9),
        "a difference of 0.24 in losses is below the threshold"
    );
    assert!(
        idle_are_dropped_after_losses(&mut connections, true, 1),
        "a difference of 0.26 in losses is above the threshold"
    );
    assert!(
        !idle_are_dropped_after_losses(&mut connections, false, 1),
        "an outage raises both losses"
    );
}

#[test]
fn the_interval_between_uses_is_smoothed() {
    let mut connections = ConnectionStatistics::default();
    connections.record_use(0, 5_000);
    connections.record_use(5_000, 5_000);
    assert_eq!(
        connections.reuse_interval(),
        0.0,
        "neither a first use nor two uses at the same time are an interval"
    );
    connections.record_use(5_000, 5_100);
    assert_eq!(connections.reuse_interval(), 3.0);
}
