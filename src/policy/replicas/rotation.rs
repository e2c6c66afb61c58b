//! Replica rotation: weighted round robin over the holders of each shard, with weights that balance load.

use crate::interface::{ReplicaId, ShardId};
use crate::stats::{balance_shares, Share};
use std::collections::BTreeMap;

/// Rounds of balancing; each spreads the excess load of a replica one neighbour further.
const BALANCE_ROUNDS: usize = 8;
/// The drift of the position beyond an even step, so that over time it samples all of each share.
const DRIFT: f64 = 0.01;

/// The replicas that hold a shard, and the position of the rotation: 0 to 1, over their shares in order.
#[derive(Debug)]
struct Shard {
    holders: Vec<Share<ReplicaId>>,
    position: f64,
}

/// The rotations of all shards.
#[derive(Debug, Default)]
pub struct Rotation {
    shards: Vec<Shard>,
}

impl Rotation {
    /// Adds shards up to this count. Each rotation starts at a random position: otherwise instances with
    /// little traffic would rotate in step.
    pub fn grow(&mut self, count: usize, rng: &mut fastrand::Rng) {
        let count = self.shards.len().max(count);
        self.shards.resize_with(count, || Shard { holders: Vec::new(), position: rng.f64() });
    }

    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        (0..self.shards.len() as u32).map(ShardId)
    }

    fn holders(&self, shard: ShardId) -> &[Share<ReplicaId>] {
        self.shards.get(shard.0 as usize).map_or(&[], |shard| &shard.holders)
    }

    /// Sets the holders of a shard, with equal shares.
    pub fn set_holders(&mut self, shard: ShardId, replicas: impl Iterator<Item = ReplicaId>) {
        self.shards[shard.0 as usize].holders = replicas.map(|member| Share { member, share: 1.0 }).collect();
    }

    pub fn holds(&self, shard: ShardId, replica: ReplicaId) -> bool {
        self.holders(shard).iter().any(|holder| holder.member == replica)
    }

    /// The holders of a shard in rotation, starting with the one whose share contains the position.
    pub fn in_turn(&self, shard: ShardId) -> impl Iterator<Item = ReplicaId> + '_ {
        let holders = self.holders(shard);
        let position = self.shards.get(shard.0 as usize).map_or(0.0, |shard| shard.position);
        let up_to = |n: usize| holders[..=n].iter().map(|holder| holder.share).sum::<f64>();
        let first = (0..holders.len()).find(|n| position < up_to(*n)).unwrap_or(0);
        (0..holders.len()).map(move |n| holders[(first + n) % holders.len()].member)
    }

    /// Advances the rotation after a part was sent to one of the shard's holders.
    pub fn advance(&mut self, shard: ShardId) {
        let shard = &mut self.shards[shard.0 as usize];
        shard.position = (shard.position + 1.0 / shard.holders.len() as f64 + DRIFT).fract();
    }

    /// Balances the shares so that load is proportional to capacity. A replica whose neighbour drains or
    /// warms up receives that one's parts too; all instances know this at once from the endpoint list, while
    /// from answers alone it would take long. Its parts of other shards are shifted to their other holders.
    pub fn balance(&mut self, capacities: &BTreeMap<ReplicaId, f64>) {
        let mut groups: Vec<_> = self.shards.iter_mut().map(|shard| shard.holders.as_mut_slice()).collect();
        balance_shares(&mut groups, capacities, BALANCE_ROUNDS);
    }
}
