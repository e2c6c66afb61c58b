//! The catalog of the current inventory: its collections, the shards of each collection, and the
//! replicas of each shard. The inventory itself is read by [`inventory`](super::inventory).

use super::inventory::{CollectionShard, Inventory, Server};
use crate::coordinator::{EndpointUpdate, ServerEndpoint};
use crate::interface::{EndpointListKind, EndpointState, ShardId};
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

/// The maximum number of excluding identifiers that a server has for one of its shards. Without
/// this limit the number of identifiers would grow with the square of the number of a shard's
/// servers.
const MAX_EXCLUDED_REPLICAS: usize = 8;

/// A replica of a shard at a server that accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyReplica<'a> {
    /// The identifier of the shard at this server alone.
    pub sticky_shard: ShardId,
    /// The server's address.
    pub address: &'a str,
}

/// Key of an identifier that concerns a shard and one server, by the server's name.
#[derive(Debug, PartialEq, Eq, Hash)]
struct ShardAtServer {
    shard: ShardId,
    server: String,
}

/// A server of the current inventory, without its address.
#[derive(Debug)]
struct ServerEntry {
    name: String,
    state: EndpointState,
}

/// A server of the previous inventory.
#[derive(Debug, Clone, Copy)]
struct PreviousServer {
    state: EndpointState,
    /// The time of the server's last start, or `None` if that was before this process started.
    started_at: Option<Micros>,
}

/// The allocation of shard identifiers. An identifier is never reused, since a query may still
/// refer to it.
#[derive(Debug, Default)]
struct ShardIdAllocator {
    /// The number of identifiers allocated so far.
    allocated_count: u32,
}

impl ShardIdAllocator {
    /// Returns the identifier of `key` in `ids`. If there is none, it is allocated and inserted
    /// first.
    fn get_or_allocate<K: Eq + Hash>(&mut self, ids: &mut HashMap<K, ShardId>, key: K) -> ShardId {
        *ids.entry(key).or_insert_with(|| {
            self.allocated_count += 1;
            ShardId(self.allocated_count - 1)
        })
    }
}

/// The collections, shards and servers of the current inventory. Shards keep their identifiers when
/// the inventory is reloaded.
#[derive(Debug, Default)]
pub struct Catalog {
    id_allocator: ShardIdAllocator,
    /// The identifier of each shard at any of its servers.
    shard_ids: HashMap<CollectionShard, ShardId>,
    /// The shard of each identifier in `shard_ids`.
    shards_by_id: HashMap<ShardId, CollectionShard>,
    /// The identifier of each shard that only this server has. The policy module can route a
    /// request for such an identifier to no other server. Requests for a following page use it,
    /// since they must go to the server that returned the previous page.
    sticky_ids: HashMap<ShardAtServer, ShardId>,
    /// The sticky identifiers of the servers in the current inventory.
    active_sticky_ids: HashSet<ShardId>,
    /// The identifier of each shard that all of its servers but this one have. It is used to
    /// restart a shard at another server after its pages were interrupted at this one.
    excluding_ids: HashMap<ShardAtServer, ShardId>,
    /// The shards of each collection. A shard stays in its collection when its last server is
    /// removed, until the operator retires it: answers without it are not complete.
    shards_by_collection: BTreeMap<String, Vec<ShardId>>,
    /// The shards of the current inventory's servers, without servers that are removed.
    served_shards: HashSet<ShardId>,
    /// The servers of the current inventory.
    servers_by_address: HashMap<String, ServerEntry>,
    /// The servers of the previous inventory by name.
    previous_servers: HashMap<String, PreviousServer>,
    /// Whether an inventory was loaded before.
    is_loaded: bool,
}

impl Catalog {
    /// Replaces the inventory and returns the endpoint update for the coordinator. A server that
    /// appears or becomes ready again after the first inventory counts as started at `now`.
    pub fn load(&mut self, inventory: &Inventory, now: Micros) -> EndpointUpdate {
        let servers = &inventory.servers;
        self.clear_inventory(servers);
        for shard in &inventory.retired_shards {
            self.remove_shard(shard);
        }
        let mut endpoints = Vec::new();
        let mut previous_servers = HashMap::new();
        for server in servers {
            let shards = self.register_shards(server, servers);
            let entry = ServerEntry {
                name: server.name.clone(),
                state: server.state,
            };
            self.servers_by_address
                .insert(server.address.to_string(), entry);
            let started_at = self.started_at(server, now);
            previous_servers.insert(
                server.name.clone(),
                PreviousServer {
                    state: server.state,
                    started_at,
                },
            );
            endpoints.push(ServerEndpoint {
                name: server.name.as_str().into(),
                address: server.address.to_string().into(),
                zone: 0,
                cell: 0,
                shards: Some(shards),
                state: server.state,
                started_at,
            });
        }
        self.sort_shards();
        self.previous_servers = previous_servers;
        self.is_loaded = true;
        EndpointUpdate {
            kind: EndpointListKind::Full,
            version: None,
            endpoints,
        }
    }

    /// Removes the servers of the previous inventory, and the sticky and excluding identifiers of
    /// servers that are not among `servers`.
    fn clear_inventory(&mut self, servers: &[Server]) {
        self.servers_by_address.clear();
        self.served_shards.clear();
        self.active_sticky_ids.clear();
        let names: HashSet<&str> = servers.iter().map(|server| server.name.as_str()).collect();
        self.sticky_ids
            .retain(|key, _| names.contains(key.server.as_str()));
        self.excluding_ids
            .retain(|key, _| names.contains(key.server.as_str()));
    }

    /// Adds a server's shards to the catalog and returns the identifiers that the server has for
    /// them: for each shard its own identifier, the sticky one, and for each other server of the
    /// shard the one that excludes that server.
    fn register_shards(&mut self, server: &Server, servers: &[Server]) -> Vec<ShardId> {
        let mut ids = Vec::new();
        for shard in &server.shards {
            let id = self
                .id_allocator
                .get_or_allocate(&mut self.shard_ids, shard.clone());
            self.shards_by_id.insert(id, shard.clone());
            let key_at = |server: &Server| ShardAtServer {
                shard: id,
                server: server.name.clone(),
            };
            let sticky = self
                .id_allocator
                .get_or_allocate(&mut self.sticky_ids, key_at(server));
            self.active_sticky_ids.insert(sticky);
            ids.extend([id, sticky]);
            let others = servers
                .iter()
                .filter(|s| s.name != server.name && s.shards.contains(shard));
            for other in others.take(MAX_EXCLUDED_REPLICAS) {
                ids.push(
                    self.id_allocator
                        .get_or_allocate(&mut self.excluding_ids, key_at(other)),
                );
            }
            self.add_shard(&shard.collection, id);
            if server.state != EndpointState::Removed {
                self.served_shards.insert(id);
            }
        }
        ids
    }

    /// Removes a shard from its collection. If a later inventory has it again, it gets another
    /// identifier.
    fn remove_shard(&mut self, shard: &CollectionShard) {
        let Some(id) = self.shard_ids.remove(shard) else {
            return;
        };
        self.shards_by_id.remove(&id);
        self.sticky_ids.retain(|key, _| key.shard != id);
        self.excluding_ids.retain(|key, _| key.shard != id);
        if let Some(shards) = self.shards_by_collection.get_mut(&shard.collection) {
            shards.retain(|other| *other != id);
            if shards.is_empty() {
                self.shards_by_collection.remove(&shard.collection);
            }
        }
    }

    /// Adds a shard to those of its collection unless it is already among them.
    fn add_shard(&mut self, collection: &str, shard: ShardId) {
        let shards = self
            .shards_by_collection
            .entry(collection.to_owned())
            .or_default();
        if !shards.contains(&shard) {
            shards.push(shard);
        }
    }

    /// Returns the time of a server's last start according to the inventories. Returns `None` if
    /// the server started before this process, or is ready neither in the previous nor in the
    /// current inventory.
    fn started_at(&self, server: &Server, now: Micros) -> Option<Micros> {
        match self.previous_servers.get(&server.name) {
            Some(PreviousServer {
                state: EndpointState::Ready,
                started_at,
            }) => *started_at,
            None if !self.is_loaded => None,
            _ => (server.state == EndpointState::Ready).then_some(now),
        }
    }

    /// Sorts each collection's shards by their names.
    fn sort_shards(&mut self) {
        let by_id = &self.shards_by_id;
        for shards in self.shards_by_collection.values_mut() {
            shards.sort_by(|a, b| by_id.get(a).cmp(&by_id.get(b)));
        }
    }

    /// Returns the names of the collections, in order.
    pub fn collections(&self) -> impl Iterator<Item = &str> {
        self.shards_by_collection.keys().map(String::as_str)
    }

    /// Returns the shards of a collection in the order of their names, or `None` if there is no
    /// such collection.
    #[must_use]
    pub fn shards(&self, collection: &str) -> Option<&[ShardId]> {
        self.shards_by_collection.get(collection).map(Vec::as_slice)
    }

    /// Returns the shards that no server of the inventory has, other than servers that are removed.
    #[must_use]
    pub fn unserved_shards(&self) -> Vec<&CollectionShard> {
        let shards = self.shards_by_collection.values().flatten();
        shards
            .filter(|shard| !self.served_shards.contains(shard))
            .filter_map(|shard| self.shards_by_id.get(shard))
            .collect()
    }

    /// Returns the identifier of a shard that excludes the server at `address`, or `None` if no
    /// other server that accepts new work has the shard.
    #[must_use]
    pub fn excluding_server(&self, shard: ShardId, address: &str) -> Option<ShardId> {
        let server = self.servers_by_address.get(address)?;
        if self
            .ready_replicas(shard)
            .iter()
            .all(|replica| replica.address == address)
        {
            return None;
        }
        self.excluding_ids
            .get(&ShardAtServer {
                shard,
                server: server.name.clone(),
            })
            .copied()
    }

    /// Returns the identifier of a shard that only the server at `address` has, or `None` if that
    /// server does not accept new work or does not have the shard.
    #[must_use]
    pub fn sticky_shard(&self, shard: ShardId, address: &str) -> Option<ShardId> {
        let server = self
            .servers_by_address
            .get(address)
            .filter(|s| s.state == EndpointState::Ready)?;
        let key = ShardAtServer {
            shard,
            server: server.name.clone(),
        };
        let sticky = self.sticky_ids.get(&key).copied()?;
        self.active_sticky_ids.contains(&sticky).then_some(sticky)
    }

    /// Returns the replicas of a shard at servers that accept new work, ordered by their sticky
    /// identifiers.
    #[must_use]
    pub fn ready_replicas(&self, shard: ShardId) -> Vec<ReadyReplica<'_>> {
        let ready = self
            .servers_by_address
            .iter()
            .filter(|(_, s)| s.state == EndpointState::Ready);
        let mut replicas: Vec<_> = ready
            .filter_map(|(address, _)| {
                Some(ReadyReplica {
                    sticky_shard: self.sticky_shard(shard, address)?,
                    address,
                })
            })
            .collect();
        replicas.sort_unstable_by_key(|replica| replica.sticky_shard.0);
        replicas
    }

    /// Returns whether a server with this name is in the inventory and draining.
    #[must_use]
    pub fn is_draining(&self, name: &str) -> bool {
        let mut servers = self.servers_by_address.values();
        servers.any(|server| server.name == name && server.state == EndpointState::Draining)
    }

    /// Returns the name of the server at an address, or `None` if there is no such server.
    #[must_use]
    pub fn server_name(&self, address: &str) -> Option<&str> {
        self.servers_by_address
            .get(address)
            .map(|server| server.name.as_str())
    }

    /// Returns the address of the server with this name, or `None` if there is no such server.
    #[must_use]
    pub fn server_address(&self, name: &str) -> Option<String> {
        let found = self
            .servers_by_address
            .iter()
            .find(|(_, server)| server.name == name);
        found.map(|(address, _)| address.clone())
    }

    /// Returns the name of a shard's collection at its servers, or `None` if `shard` is not the
    /// identifier of a shard at any of its servers.
    #[must_use]
    pub fn server_collection(&self, shard: ShardId) -> Option<&str> {
        let shard = self.shards_by_id.get(&shard)?;
        Some(shard.server_collection.as_str())
    }
}

#[cfg(test)]
mod tests;
