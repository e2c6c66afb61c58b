//! Slow start: the load of nodes that have just started.

use crate::common::*;
use crate::support::{fleet_settings, Due, Fleet, SentPart, INSTANCES, LOOKUP, REPORT, SEND};
use quinceflow::*;

/// Asserts that the parts that all instances together send a starting node in any second stay
/// within its capacity, and returns their number.
fn parts_within_capacity(fleet: &Fleet, node: u8, started: Nanos) -> usize {
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

/// Returns a fleet in which these nodes start at one time, which all instances learn at once.
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
            .for_each(|node| fleet.schedule(started - START, n, Due::Started(*node)));
    }
    fleet.run(started + 20 * S);
    fleet
}

#[test]
fn the_fleet_does_not_overload_a_starting_node_and_uses_it() {
    let started = START + 5 * S;
    let fleet = fleet_with_starting(&[3], started);
    let sent = parts_within_capacity(&fleet, 3, started);
    assert!(sent > 100, "{sent} parts in its warm-up");
    for class in [SEND, LOOKUP, REPORT] {
        assert!(
            fleet.served(class, started, started + 18 * S) > 0.99,
            "class {class}"
        );
    }
}

#[test]
fn starting_all_holders_of_a_shard_overloads_none_and_loses_no_query() {
    let started = START + 5 * S;
    let fleet = fleet_with_starting(&[3, 4], started);
    let sent = [3, 4].map(|node| parts_within_capacity(&fleet, node, started));
    assert!(
        sent.iter().all(|n| *n > 100),
        "{sent:?} parts in their warm-up"
    );
    fleet.assert_one_final_answer_each(started + 20 * S);
    // Reports may lack a part of twenty: they are served meanwhile.
    assert!(fleet.served(REPORT, started, started + 18 * S) > 0.9);
}
