//! The endpoint list as last received: the replicas, their states and the shards that they hold.
//!
//! The policy decides which of the replicas it uses.

#[cfg(test)]
mod tests;

use crate::interface::{
    CellId, Endpoint, EndpointListKind, EndpointState, Nanos, ReplicaId, Settings, ShardId,
};
use std::collections::{BTreeMap, BTreeSet};

/// The record of a replica that a list has named.
#[derive(Debug, Clone, PartialEq)]
struct Member {
    cell: CellId,
    ready: bool,
    /// The time at which a list last named the replica, or omitted it while it was ready.
    listed_at: Nanos,
}

/// The replicas of the endpoint list, ready or not.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Membership {
    members: BTreeMap<ReplicaId, Member>,
    /// The shards of replicas whose cell does not determine them.
    placements: BTreeMap<ReplicaId, BTreeSet<ShardId>>,
}

impl Membership {
    /// Applies an endpoint list, or changes to it. A replica that a full list omits is no longer
    /// ready.
    pub fn apply(&mut self, kind: EndpointListKind, endpoints: &[Endpoint], now: Nanos) {
        if kind != EndpointListKind::Delta {
            for member in self.members.values_mut().filter(|member| member.ready) {
                member.ready = false;
                member.listed_at = now;
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

    /// Sets the shards of a replica whose cell does not determine them.
    pub fn set_placement(&mut self, replica: ReplicaId, shards: &[ShardId]) {
        self.placements
            .insert(replica, shards.iter().copied().collect());
    }

    /// Returns the number of shards that must exist for the placement of a replica: its highest
    /// shard number plus 1; 0 without a placement.
    #[must_use]
    pub fn placed_shards(&self, replica: ReplicaId) -> usize {
        let last = self
            .placements
            .get(&replica)
            .and_then(|shards| shards.last());
        last.map_or(0, |shard| shard.0 as usize + 1)
    }

    /// Returns whether a replica is listed as ready.
    #[must_use]
    pub fn is_ready(&self, replica: ReplicaId) -> bool {
        self.members
            .get(&replica)
            .is_some_and(|member| member.ready)
    }

    /// Returns the replicas that are ready.
    pub fn ready(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.ready)
            .map(|(id, _)| *id)
    }

    /// Returns the ready replicas of a shard.
    pub fn ready_replicas<'a>(
        &'a self,
        shard: ShardId,
        settings: &'a Settings,
    ) -> impl Iterator<Item = ReplicaId> + 'a {
        self.ready()
            .filter(move |replica| self.holds(*replica, shard, settings))
    }

    /// Returns whether a replica holds a shard according to its placement or, without one, its
    /// cell. Shard `s` is held by the cells `(s + n) % cells`, for each `n` below the number of
    /// cells that hold a shard.
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

    /// Removes replicas that are not ready and whose last listing was not after `horizon`, except
    /// those for which `keep` returns true.
    pub fn remove_unlisted(&mut self, horizon: Nanos, keep: impl Fn(ReplicaId) -> bool) {
        self.members
            .retain(|id, member| member.ready || keep(*id) || member.listed_at > horizon);
        self.placements
            .retain(|id, _| self.members.contains_key(id));
    }

    /// Returns whether there is a record of a replica, ready or not.
    #[must_use]
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.members.contains_key(&replica)
    }
}
