//! Rotation: weighted round robin over the replicas of each shard, with weights that balance the
//! load of the replicas.

use crate::interface::{ReplicaId, ShardId};
use crate::stats::{balance_shares, Share};
use std::collections::BTreeMap;

/// Number of balancing rounds. Each round passes excess load of a replica on to the replicas with
/// which it has a shard in common.
const BALANCE_ROUNDS: usize = 8;
/// Distance by which each step of the position exceeds an even step, so that over time the position
/// falls on all of each replica's share.
const POSITION_DRIFT: f64 = 0.01;

/// Rotation over the replicas of one shard.
#[derive(Debug)]
struct ShardRotation {
    /// Ready replicas of the shard, with their shares of its parts.
    replicas: Vec<Share<ReplicaId>>,
    /// Position, 0 to 1, in the sequence of the replicas' shares.
    position: f64,
}

impl ShardRotation {
    fn new(position: f64) -> Self {
        ShardRotation {
            replicas: Vec::new(),
            position,
        }
    }

    /// Returns the index of the replica whose share contains the position.
    fn first_replica(&self) -> usize {
        let end_of_share =
            |index: usize| -> f64 { self.replicas[..=index].iter().map(|r| r.share).sum() };
        (0..self.replicas.len())
            .find(|index| self.position < end_of_share(*index))
            .unwrap_or(0)
    }

    /// Advances the position by one even step and the drift.
    fn advance(&mut self) {
        let even_step = 1.0 / self.replicas.len() as f64;
        self.position = (self.position + even_step + POSITION_DRIFT).fract();
    }
}

/// Rotations of all shards.
#[derive(Debug, Default)]
pub struct Rotation {
    shards: Vec<ShardRotation>,
}

impl Rotation {
    /// Adds shards up to this count, each at a random position. From equal positions, coordinators
    /// with little traffic would send their parts to the same replicas.
    pub fn grow(&mut self, count: usize, rng: &mut fastrand::Rng) {
        let count = self.shards.len().max(count);
        self.shards
            .resize_with(count, || ShardRotation::new(rng.f64()));
    }

    /// Returns all shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shards.len() as u32).map(ShardId)
    }

    /// Sets the ready replicas of a shard, with equal shares.
    pub fn set_replicas(&mut self, shard: ShardId, replicas: impl Iterator<Item = ReplicaId>) {
        let equal_shares = replicas.map(|member| Share { member, share: 1.0 });
        self.shards[shard.0 as usize].replicas = equal_shares.collect();
    }

    /// Returns whether a replica holds a shard.
    pub fn holds(&self, shard: ShardId, replica: ReplicaId) -> bool {
        self.get(shard)
            .is_some_and(|shard| shard.replicas.iter().any(|share| share.member == replica))
    }

    /// Returns the ready replicas of a shard in the order of the rotation, starting with the one
    /// whose share contains the position.
    pub fn in_rotation(&self, shard: ShardId) -> impl Iterator<Item = ReplicaId> + '_ {
        let rotation = self.get(shard);
        let shares = rotation.map_or(&[][..], |shard| &shard.replicas);
        let first = rotation.map_or(0, ShardRotation::first_replica);
        let (before, from_first) = shares.split_at(first);
        from_first.iter().chain(before).map(|share| share.member)
    }

    /// Advances the rotation of a shard after a part was sent to one of its replicas.
    pub fn advance(&mut self, shard: ShardId) {
        self.shards[shard.0 as usize].advance();
    }

    /// Balances the shares so that load is proportional to capacity.
    ///
    /// While a replica drains or warms up, the other replicas of its shards receive its parts too,
    /// and so parts of their other shards shift to the other replicas of those. Computed from the
    /// endpoint list, this takes effect at once in all coordinators; from answers alone it would
    /// take long.
    ///
    /// # Panics
    /// If a replica has no entry in `capacities`.
    pub fn balance(&mut self, capacities: &BTreeMap<ReplicaId, f64>) {
        let mut groups: Vec<&mut [Share<ReplicaId>]> = self
            .shards
            .iter_mut()
            .map(|shard| shard.replicas.as_mut_slice())
            .collect();
        balance_shares(&mut groups, capacities, BALANCE_ROUNDS);
    }

    fn get(&self, shard: ShardId) -> Option<&ShardRotation> {
        self.shards.get(shard.0 as usize)
    }
}
