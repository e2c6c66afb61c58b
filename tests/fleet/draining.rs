//! The load of the other nodes while one drains.

use crate::common::*;
use crate::support::{fleet_settings, Due, Fleet, INSTANCES, NODES};

#[test]
fn the_load_of_a_draining_node_spreads_beyond_its_neighbours() {
    // The neighbours hold two shards alone and share two: without a spread over further nodes they
    // get half as much load again, which each instance meets too seldom to notice.
    let mut fleet = Fleet::new(&fleet_settings());
    let drained = START + 2 * S;
    for n in 0..INSTANCES {
        fleet.schedule(drained - START, n, Due::Draining(10));
    }
    let from = drained + S;
    let end = drained + 12 * S;
    fleet.run(end);
    let load = |node: u8| {
        fleet
            .sent
            .iter()
            .filter(|s| s.node == node && s.at >= from)
            .count() as f64
    };
    let mean = (0..NODES).filter(|n| *n != 10).map(load).sum::<f64>() / f64::from(NODES - 1);
    assert_eq!(load(10), 0.0);
    for node in [9, 11] {
        assert!(
            load(node) < 1.2 * mean,
            "node {node}: {:.2} of the mean",
            load(node) / mean
        );
    }
}
