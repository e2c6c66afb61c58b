//! Recovery of nodes after an outage.

use crate::common::*;
use crate::support::{fleet_settings, Fleet, Outage, LOOKUP, REPORT, SEND};
use quinceflow::*;
use std::ops::Range;

/// The length of the windows in which [`max_parts_sent`] counts.
const WINDOW: Nanos = 100 * MS;

/// Returns the largest number of parts that a node was sent in a window of the period.
fn max_parts_sent(fleet: &Fleet, node: u8, period: Range<Nanos>) -> usize {
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
    let recovered_at = START + 10 * S;
    let end = START + 26 * S;
    // Two neighbours fail: no node answers for the shard that only these two have.
    fleet.outage = Outage {
        nodes: 2,
        from,
        until: recovered_at,
    };
    fleet.run(end);
    fleet.assert_one_final_answer_each(end);
    for class in [SEND, LOOKUP, REPORT] {
        assert!(
            fleet.served(class, START, from - S) > 0.99,
            "queries of class {class} are served before the outage"
        );
        let after = fleet.served(class, recovered_at + 8 * S, end - S);
        assert!(
            after > 0.95,
            "class {class}: a share of {after} is served after the outage"
        );
    }
    assert!(
        fleet.served(REPORT, from, recovered_at) > 0.9,
        "reports may lack two of twenty parts, so they are served during the outage"
    );
    let usual = max_parts_sent(&fleet, 0, START..from);
    let returning = max_parts_sent(&fleet, 0, recovered_at..recovered_at + 5 * S);
    assert!(
        returning <= 2 * usual,
        "{returning} parts in 100 ms after the outage, {usual} before"
    );
}

#[test]
fn instances_with_only_non_idempotent_queries_return_to_recovered_nodes() {
    // An instance that has only non-idempotent parts probes a failed node with these.
    let mut fleet = Fleet::new(&fleet_settings());
    let recovered_at = START + 10 * S;
    let end = START + 26 * S;
    fleet.wide_per_ten = 0;
    fleet.outage = Outage {
        nodes: 2,
        from: START + 3 * S,
        until: recovered_at,
    };
    fleet.run(end);
    let after = fleet.served(SEND, recovered_at + 8 * S, end - S);
    assert!(after > 0.98, "{after}");
}
