//! Slow start: the load of nodes that have just started.

use crate::common::*;
use crate::support::{
    fleet_settings, Fleet, FleetEvent, SentPart, INSTANCES, LOOKUP, REPORT, SEND,
};
use quinceflow::*;

/// Asserts that the parts that all instances together send to a starting node in any second are
/// within its capacity, and returns the number of parts that it was sent.
fn assert_parts_within_capacity(fleet: &Fleet, node: u8, started: Nanos) -> usize {
    let sent: Vec<_> = fleet
        .sent
        .iter()
        .filter(|s| s.node == node && s.at >= started)
        .collect();
    for (n, SentPart { at, .. }) in sent.iter().enumerate() {
        let age = (at - started) as f64 / (20 * S) as f64;
        let work: Nanos = sent[..=n]
            .iter()
            .filter(|s| s.at + S > *at)
            .map(|s| s.work)
            .sum();
        let capacity = 3.0 * (0.2 + 0.8 * age) * S as f64;
        assert!(
            work as f64 <= capacity,
            "node {node}: {work} ns of work at {age:.2} of the warm-up"
        );
    }
    sent.len()
}

/// Returns a fleet 20 s after these nodes started at the same time; the start was reported to all
/// instances at once.
fn fleet_with_starting(nodes: &[u8], started: Nanos) -> Fleet {
    let rule = SlowStartRule {
        overload_factor: 3.0,
        overload_window: S,
        initial_capacity: 0.2,
        warm_up: 20 * S,
    };
    let mut fleet = Fleet::new(&Settings {
        slow_start: Some(rule),
        ..fleet_settings()
    });
    for n in 0..INSTANCES {
        nodes
            .iter()
            .for_each(|node| fleet.schedule(started - START, n, FleetEvent::Started(*node)));
    }
    fleet.run(started + 20 * S);
    fleet
}

#[test]
fn the_fleet_does_not_overload_a_starting_node_and_uses_it() {
    let started = START + 5 * S;
    let fleet = fleet_with_starting(&[3], started);
    let sent = assert_parts_within_capacity(&fleet, 3, started);
    assert!(sent > 100, "{sent} parts are sent during the warm-up");
    for class in [SEND, LOOKUP, REPORT] {
        assert!(
            fleet.served(class, started, started + 18 * S) > 0.99,
            "queries of class {class} are served"
        );
    }
}

#[test]
fn starting_all_replicas_of_a_shard_overloads_none_and_loses_no_query() {
    let started = START + 5 * S;
    let fleet = fleet_with_starting(&[3, 4], started);
    let sent = [3, 4].map(|node| assert_parts_within_capacity(&fleet, node, started));
    assert!(
        sent.iter().all(|n| *n > 100),
        "{sent:?} parts are sent during the warm-up"
    );
    fleet.assert_one_final_answer_each(started + 20 * S);
    // Reports may lack one of twenty parts, so they are served during the start.
    assert!(fleet.served(REPORT, started, started + 18 * S) > 0.9);
}
