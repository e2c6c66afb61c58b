//! Recovery of nodes after an outage.

use crate::common::*;
use crate::support::{fleet_settings, Fleet, Outage, LOOKUP, REPORT, SEND};
use quinceflow::*;
use std::ops::Range;

/// The length of the windows in which [`most_parts_sent`] counts.
const WINDOW: Nanos = 100 * MS;

/// Returns the most parts that a node was sent in any window of the period.
fn most_parts_sent(fleet: &Fleet, node: u8, period: Range<Nanos>) -> usize {
    let to_node = fleet.sent.iter().filter(|part| part.node == node);
    let times: Vec<Nanos> = to_node.map(|part| part.at).collect();
    let count_from = |start: Nanos| {
        let window = start..start + WINDOW;
        times.iter().filter(|at| window.contains(at)).count()
    };
    let starts = period.step_by(WINDOW as usize);
    starts.map(count_from).max().unwrap_or(0)
}

#[test]
fn all_instances_return_to_recovered_nodes_gradually() {
    let mut fleet = Fleet::new(&fleet_settings());
    let from = START + 5 * S;
    let back = START + 10 * S;
    let end = START + 26 * S;
    // Two neighbours: nobody answers for the shard that both hold.
    fleet.outage = Outage {
        nodes: 2,
        from,
        until: back,
    };
    fleet.run(end);
    fleet.assert_one_final_answer_each(end);
    for class in [SEND, LOOKUP, REPORT] {
        assert!(
            fleet.served(class, START, from - S) > 0.99,
            "class {class} before"
        );
        let after = fleet.served(class, back + 8 * S, end - S);
        assert!(after > 0.95, "class {class} after: {after}");
    }
    assert!(
        fleet.served(REPORT, from, back) > 0.9,
        "reports may lack two of twenty parts: they are served meanwhile"
    );
    let usual = most_parts_sent(&fleet, 0, START..from);
    let returning = most_parts_sent(&fleet, 0, back..back + 5 * S);
    assert!(
        returning <= 2 * usual,
        "{returning} parts in 100 ms, {usual} before"
    );
}

#[test]
fn instances_with_only_non_idempotent_queries_return_to_recovered_nodes() {
    // A failed node is probed by non-idempotent parts too, where an instance has no others.
    let mut fleet = Fleet::new(&fleet_settings());
    let back = START + 10 * S;
    let end = START + 26 * S;
    fleet.wide = 0;
    fleet.outage = Outage {
        nodes: 2,
        from: START + 3 * S,
        until: back,
    };
    fleet.run(end);
    let after = fleet.served(SEND, back + 8 * S, end - S);
    assert!(after > 0.98, "{after}");
}
