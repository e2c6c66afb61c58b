//! The endpoint list as last received: which replicas there are, and which shards they hold.
//!
//! A record of what discovery tells. Which of the replicas is used is for the policy to decide.

#[cfg(test)]
mod tests;

use crate::interface::{
    CellId, Endpoint, EndpointListKind, EndpointState, Nanos, ReplicaId, Settings, ShardId,
};
use std::collections::{BTreeMap, BTreeSet};

/// A replica that a list has named.
#[derive(Debug, Clone, PartialEq)]
struct Member {
    cell: CellId,
    ready: bool,
    /// When a list last named it, or left it out as it was ready.
    listed_at: Nanos,
}

/// The replicas by id.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Membership {
    members: BTreeMap<ReplicaId, Member>,
    /// What a replica holds where its cell does not tell.
    placements: BTreeMap<ReplicaId, BTreeSet<ShardId>>,
}

impl Membership {
    /// Takes an endpoint list, or changes to it. A replica that a full list leaves out is no longer ready.
    pub fn apply(&mut self, kind: EndpointListKind, endpoints: &[Endpoint], now: Nanos) {
        if kind != EndpointListKind::Delta {
            for member in self.members.values_mut().filter(|member| member.ready) {
                (member.ready, member.listed_at) = (false, now);
            }
        }
        for endpoint in endpoints {
            let ready = endpoint.state == EndpointState::Ready;
            self.members.insert(
                endpoint.replica,
                Member {
                    cell: endpoint.cell,
                    ready,
                    listed_at: now,
                },
            );
        }
    }

    /// Takes the shards that a replica holds, where its cell does not tell.
    pub fn set_placement(&mut self, replica: ReplicaId, shards: &[ShardId]) {
        self.placements
            .insert(replica, shards.iter().copied().collect());
    }

    /// How many shards there are at least, by what the replica was placed on.
    #[must_use]
    pub fn placed_shards(&self, replica: ReplicaId) -> usize {
        let last = self
            .placements
            .get(&replica)
            .and_then(|shards| shards.last());
        last.map_or(0, |shard| shard.0 as usize + 1)
    }

    /// The replica is listed as ready.
    #[must_use]
    pub fn is_ready(&self, replica: ReplicaId) -> bool {
        self.members
            .get(&replica)
            .is_some_and(|member| member.ready)
    }

    /// All replicas that are ready.
    pub fn ready(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.ready)
            .map(|(id, _)| *id)
    }

    /// The replicas that are ready and hold a shard.
    pub fn holders<'a>(
        &'a self,
        shard: ShardId,
        settings: &'a Settings,
    ) -> impl Iterator<Item = ReplicaId> + 'a {
        self.ready()
            .filter(move |replica| self.holds(*replica, shard, settings))
    }

    /// Shard `s` is held by the cells `(s + n) % cells`, `n` below the number of cells that hold a shard.
    fn holds(&self, replica: ReplicaId, shard: ShardId, settings: &Settings) -> bool {
        if let Some(shards) = self.placements.get(&replica) {
            return shards.contains(&shard);
        }
        let Some(member) = self.members.get(&replica) else {
            return false;
        };
        let cells = settings.cells.max(1);
        let distance = (u32::from(member.cell.0) + cells - shard.0 % cells) % cells;
        distance < settings.cells_per_shard.max(1)
    }

    /// Removes replicas that are not ready and were last listed before `horizon`, but for those to be kept.
    pub fn remove_unlisted(&mut self, horizon: Nanos, keep: impl Fn(ReplicaId) -> bool) {
        self.members
            .retain(|id, member| member.ready || keep(*id) || member.listed_at > horizon);
        self.placements
            .retain(|id, _| self.members.contains_key(id));
    }

    /// The replica is in the table, ready or not.
    #[must_use]
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.members.contains_key(&replica)
    }
}
