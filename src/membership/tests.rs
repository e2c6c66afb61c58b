//! Tests of the endpoint list.

use super::Membership;
use crate::interface::{
    CellId, Endpoint, EndpointListKind, EndpointState, ReplicaId, Settings, ShardId, ZoneId,
};

fn replica(number: u8) -> ReplicaId {
    ReplicaId([10, 0, 0, number, 0, 80])
}

fn endpoint(number: u8, state: EndpointState) -> Endpoint {
    Endpoint {
        replica: replica(number),
        zone: ZoneId(0),
        cell: CellId(number.into()),
        state,
        started_at: 0,
    }
}

/// Returns a list of three ready replicas, each in its own cell, and settings in which two cells
/// hold a shard.
fn three_ready_replicas() -> (Membership, Settings) {
    let mut membership = Membership::default();
    let endpoints = [0, 1, 2].map(|number| endpoint(number, EndpointState::Ready));
    membership.apply(EndpointListKind::Full, &endpoints, 100);
    (
        membership,
        Settings {
            cells: 3,
            cells_per_shard: 2,
            ..Settings::default()
        },
    )
}

fn ready_replicas(membership: &Membership, shard: u32, settings: &Settings) -> Vec<u8> {
    membership
        .ready_replicas(ShardId(shard), settings)
        .map(|id| id.0[3])
        .collect()
}

#[test]
fn shard_is_held_by_consecutive_cells_starting_with_its_own() {
    let (membership, settings) = three_ready_replicas();
    assert_eq!(
        [0, 1, 2, 3].map(|shard| ready_replicas(&membership, shard, &settings)),
        [[0, 1], [1, 2], [0, 2], [0, 1]]
    );
}

#[test]
fn placement_overrides_the_cell() {
    let (mut membership, settings) = three_ready_replicas();
    membership.set_placement(replica(0), &[ShardId(1)]);
    assert_eq!(
        (
            membership.placed_shards(replica(0)),
            membership.placed_shards(replica(1))
        ),
        (2, 0)
    );
    assert_eq!(
        [0, 1, 2].map(|shard| ready_replicas(&membership, shard, &settings)),
        [vec![1], vec![0, 1, 2], vec![2]]
    );
}

#[test]
fn only_ready_replicas_hold_shards() {
    let (mut membership, settings) = three_ready_replicas();
    membership.apply(
        EndpointListKind::Delta,
        &[endpoint(0, EndpointState::Draining)],
        200,
    );
    assert_eq!(ready_replicas(&membership, 0, &settings), [1]);
    assert!(!membership.is_ready(replica(0)) && membership.contains(replica(0)));
    membership.apply(
        EndpointListKind::Full,
        &[endpoint(2, EndpointState::Ready)],
        300,
    );
    assert_eq!(membership.ready().collect::<Vec<_>>(), [replica(2)]);
}

#[test]
fn replicas_that_are_no_longer_listed_are_removed() {
    let (mut membership, _) = three_ready_replicas();
    membership.set_placement(replica(0), &[ShardId(1)]);
    membership.apply(
        EndpointListKind::Full,
        &[endpoint(2, EndpointState::Ready)],
        200,
    );
    membership.remove_unlisted(199, |_| false);
    assert!(
        membership.contains(replica(0)),
        "it was listed after the horizon"
    );
    membership.remove_unlisted(200, |id| id == replica(1));
    let left = [0, 1, 2].map(|number| membership.contains(replica(number)));
    assert_eq!(left, [false, true, true]);
    assert!(membership.placements.is_empty());
}
