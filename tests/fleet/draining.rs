//! The load of the other nodes while a node drains.

use crate::common::*;
use crate::support::{fleet_settings, Fleet, FleetEvent, INSTANCES, NODES};

#[test]
fn the_load_of_a_draining_node_spreads_beyond_its_neighbours() {
    // Two shards have only a neighbour of the draining node left, and each neighbour shares another
    // shard with the next node. Unless the load spreads over more nodes, the load of the neighbours
    // increases by half, and each instance sends them too few parts to detect that.
    let mut fleet = Fleet::new(&fleet_settings());
    let drain_start = START + 2 * S;
    for n in 0..INSTANCES {
        fleet.schedule(drain_start - START, n, FleetEvent::Draining(10));
    }
    let from = drain_start + S;
    let end = drain_start + 12 * S;
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
            "node {node} has {:.2} of the mean load",
            load(node) / mean
        );
    }
}
