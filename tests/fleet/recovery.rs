//! Recovery of nodes after an outage.

use crate::common::*;
use crate::support::{site, Fate, Fleet, Outage, LOOKUP, REPORT, SEND};
use quinceflow::*;

#[test]
fn all_instances_return_to_recovered_nodes_gradually() {
    let mut fleet = Fleet::new(&site());
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
    let open = |f: &Fate| f.final_answers == 0 && f.at + S >= end;
    assert!(
        fleet
            .fates
            .values()
            .all(|f| f.final_answers == 1 || open(f)),
        "one final answer each"
    );
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
    let most = |from: Nanos, to: Nanos| {
        let parts: Vec<Nanos> = fleet
            .sent
            .iter()
            .filter(|s| s.node == 0)
            .map(|s| s.at)
            .collect();
        let within = |at: Nanos| {
            parts
                .iter()
                .filter(|p| (at..at + 100 * MS).contains(p))
                .count()
        };
        (from..to)
            .step_by(100 * MS as usize)
            .map(within)
            .max()
            .unwrap_or(0)
    };
    let usual = most(START, from);
    let returning = most(back, back + 5 * S);
    assert!(
        returning <= 2 * usual,
        "{returning} parts in 100 ms, {usual} before"
    );
}

#[test]
fn instances_with_only_non_idempotent_queries_return_to_recovered_nodes() {
    // A failed node is probed by non-idempotent parts too, where an instance has no others.
    let mut fleet = Fleet::new(&site());
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
