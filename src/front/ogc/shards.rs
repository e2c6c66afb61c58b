//! The shards of a collection and their replicas.

use super::capabilities::ReplicaKey;
use super::catalog::ReadyReplica;
use super::error::ApiError;
use super::state::FrontState;
use crate::interface::ShardId;
use crate::sync::lock;
use std::sync::Arc;

/// A shard of a collection, with its name at the servers.
#[derive(Debug, Clone)]
pub(super) struct NamedShard {
    /// The identifier of the shard at any of its servers.
    pub shard: ShardId,
    /// The name of the shard's collection at its servers.
    pub server_collection: String,
}

/// A replica of a shard at a server that accepts new work.
pub(super) struct ShardReplica {
    /// The identifier of the shard at only this server.
    pub sticky_shard: ShardId,
    /// The key of the replica's cached capabilities.
    pub key: ReplicaKey,
}

/// Returns the shards of a collection, in order.
///
/// # Errors
///
/// Returns [`ApiError::NoSuchCollection`] if there is no such collection.
pub(super) fn shards_of(state: &FrontState, collection: &str) -> Result<Vec<NamedShard>, ApiError> {
    let catalog = lock(&state.catalog);
    let shards = catalog.shards(collection);
    let shards = shards.ok_or_else(|| ApiError::NoSuchCollection(collection.to_owned()))?;
    let named_shard = |shard: &ShardId| NamedShard {
        shard: *shard,
        server_collection: catalog
            .server_collection(*shard)
            .unwrap_or_default()
            .to_owned(),
    };
    Ok(shards.iter().map(named_shard).collect())
}

/// Returns the replicas of each shard, in the order of `shards`, at servers that accept new work.
pub(super) fn replicas(state: &FrontState, shards: &[NamedShard]) -> Vec<Vec<ShardReplica>> {
    let catalog = lock(&state.catalog);
    let replicas_of = |shard: &NamedShard| {
        let replica = |ready: ReadyReplica<'_>| ShardReplica {
            sticky_shard: ready.sticky_shard,
            key: ReplicaKey {
                address: Arc::from(ready.address),
                server_collection: Arc::from(shard.server_collection.as_str()),
            },
        };
        catalog
            .ready_replicas(shard.shard)
            .into_iter()
            .map(replica)
            .collect()
    };
    shards.iter().map(replicas_of).collect()
}
