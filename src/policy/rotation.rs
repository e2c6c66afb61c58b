//! Replica rotation: the replicas that hold each shard take turns, in shares that even out their load.

use crate::interface::{ReplicaId, ShardId};
use std::collections::BTreeMap;

/// Rounds of balancing: each carries what a replica has too much of one neighbour further.
const BALANCE_ROUNDS: usize = 8;
/// What the position goes on beyond an even step, so that in time it meets all of each share.
const DRIFT: f64 = 0.01;

/// A replica that holds a shard, and its share of the shard's parts.
#[derive(Debug, Clone, Copy)]
struct Holder {
    replica: ReplicaId,
    share: f64,
}

/// The holders of one shard, and where their turns are: from 0 to 1, over their shares in order.
#[derive(Debug)]
struct Shard {
    holders: Vec<Holder>,
    position: f64,
}

/// The rotations of all shards.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    shards: Vec<Shard>,
}

impl Rotation {
    /// Adds shards up to this count. Where turns begin is drawn: were it the same everywhere, instances with
    /// little traffic would go in step.
    pub(super) fn grow(&mut self, count: usize, rng: &mut fastrand::Rng) {
        let count = count.max(self.shards.len());
        self.shards.resize_with(count, || Shard { holders: Vec::new(), position: rng.f64() });
    }

    pub(super) fn shards(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shards.len() as u32).map(ShardId)
    }

    fn holders(&self, shard: ShardId) -> &[Holder] {
        self.shards.get(shard.0 as usize).map_or(&[], |shard| &shard.holders)
    }

    /// Sets who holds a shard, in equal shares.
    pub(super) fn set_holders(&mut self, shard: ShardId, replicas: impl Iterator<Item = ReplicaId>) {
        self.shards[shard.0 as usize].holders =
            replicas.map(|replica| Holder { replica, share: 1.0 }).collect();
    }

    pub(super) fn holds(&self, shard: ShardId, replica: ReplicaId) -> bool {
        self.holders(shard).iter().any(|holder| holder.replica == replica)
    }

    pub(super) fn holds_any(&self, replica: ReplicaId) -> bool {
        self.shards().any(|shard| self.holds(shard, replica))
    }

    /// The holders of a shard in turn, beginning with the one in whose share the position is.
    pub(super) fn in_turn(&self, shard: ShardId) -> impl Iterator<Item = ReplicaId> + '_ {
        let holders = self.holders(shard);
        let position = self.shards.get(shard.0 as usize).map_or(0.0, |shard| shard.position);
        let up_to = |n: usize| holders[..=n].iter().map(|holder| holder.share).sum::<f64>();
        let first = (0..holders.len()).find(|n| position < up_to(*n)).unwrap_or(0);
        (0..holders.len()).map(move |n| holders[(first + n) % holders.len()].replica)
    }

    /// A part was sent to one of the shard's holders.
    pub(super) fn advance(&mut self, shard: ShardId) {
        let shard = &mut self.shards[shard.0 as usize];
        shard.position = (shard.position + 1.0 / shard.holders.len() as f64 + DRIFT).fract();
    }

    /// Shares each shard's parts out so that all replicas bear alike for what each can do. A replica whose
    /// neighbour drains or warms up has that one's parts on top: all instances know that from their list at
    /// once, while each would need many answers to see it. What it shares goes to others.
    pub(super) fn balance(&mut self, capacities: &BTreeMap<ReplicaId, f64>) {
        let indices: BTreeMap<ReplicaId, usize> = capacities.keys().copied().zip(0..).collect();
        let capacities: Vec<f64> = capacities.values().copied().collect();
        let index = |holder: &Holder| indices[&holder.replica];
        let indices: Vec<Vec<usize>> =
            self.shards.iter().map(|s| s.holders.iter().map(index).collect()).collect();
        self.shards.iter_mut().flat_map(|shard| &mut shard.holders).for_each(|holder| holder.share = 1.0);
        for _ in 0..BALANCE_ROUNDS {
            let mut load = vec![0.0; capacities.len()];
            for (holder, at) in self.shards.iter().flat_map(|s| &s.holders).zip(indices.iter().flatten()) {
                load[*at] += holder.share;
            }
            for (shard, indices) in self.shards.iter_mut().zip(&indices) {
                for (holder, at) in shard.holders.iter_mut().zip(indices) {
                    holder.share *= (capacities[*at] / load[*at]).sqrt();
                }
                let total: f64 = shard.holders.iter().map(|holder| holder.share).sum();
                shard.holders.iter_mut().for_each(|holder| holder.share /= total);
            }
        }
    }
}
