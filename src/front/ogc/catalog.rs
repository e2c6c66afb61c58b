//! The catalog of the present inventory: its collections, the shards of each, and the servers that
//! hold each shard. Reading an inventory is left to [`inventory`](super::inventory).

use super::inventory::{CollectionShard, Server};
use crate::coordinator::{EndpointUpdate, ServerEndpoint};
use crate::interface::{EndpointListKind, EndpointState, ShardId};
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

/// The maximum number of holders of a shard that get an identifier excluding them. The number of
/// identifiers grows with its square.
const MAX_EXCLUDED_HOLDERS: usize = 8;

/// A server that accepts new work and holds a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardHolder<'a> {
    /// The identifier of the shard at this server alone.
    pub sticky_shard: ShardId,
    /// The server's address.
    pub address: &'a str,
}

/// A shard and one of its servers, by name.
#[derive(Debug, PartialEq, Eq, Hash)]
struct ShardAtServer {
    shard: ShardId,
    server: String,
}

/// A server of the present inventory, without its address.
#[derive(Debug)]
struct ServerEntry {
    name: String,
    state: EndpointState,
}

/// The state of a server in the previous inventory.
#[derive(Debug, Clone, Copy)]
struct ServerHistory {
    state: EndpointState,
    /// The time of the server's last start; `None` if that was before this process started.
    started: Option<Micros>,
}

/// The assignment of shard identifiers. An identifier is never reused, since a query may still
/// refer to it.
#[derive(Debug, Default)]
struct ShardIds {
    /// The number of identifiers assigned so far.
    assigned: u32,
}

impl ShardIds {
    /// Returns the identifier that `ids` has under `key`, after assigning a new one if there is
    /// none.
    fn get_or_assign<K: Eq + Hash>(&mut self, ids: &mut HashMap<K, ShardId>, key: K) -> ShardId {
        *ids.entry(key).or_insert_with(|| {
            self.assigned += 1;
            ShardId(self.assigned - 1)
        })
    }
}

/// The collections of the present inventory. Shards keep their identifiers when the inventory is
/// reloaded.
#[derive(Debug, Default)]
pub struct Catalog {
    ids: ShardIds,
    shard_ids: HashMap<CollectionShard, ShardId>,
    /// The shard that each identifier of a shard stands for, whichever server holds it.
    shards_by_id: HashMap<ShardId, CollectionShard>,
    /// The identifiers that only one server holds. The policy module can route a request for such
    /// an identifier to no other server: requests for pages that continue at a server use it.
    sticky_ids: HashMap<ShardAtServer, ShardId>,
    /// The sticky identifiers that a server has in the present inventory.
    active_sticky_ids: HashSet<ShardId>,
    /// The identifiers that all holders of a shard but one have. A shard that was interrupted at
    /// that one is restarted at another by this identifier.
    excluding_ids: HashMap<ShardAtServer, ShardId>,
    /// The shards of each collection that at least one server holds.
    live_shards: BTreeMap<String, Vec<ShardId>>,
    servers_by_address: HashMap<String, ServerEntry>,
    history: HashMap<String, ServerHistory>,
    /// Whether an inventory was loaded before.
    loaded: bool,
}

impl Catalog {
    /// Replaces the inventory and returns the endpoints for the core. A server that appears or
    /// becomes ready again after the first inventory counts as started at `now`.
    pub fn load(&mut self, servers: &[Server], now: Micros) -> EndpointUpdate {
        self.clear_present(servers);
        let mut nodes = Vec::new();
        let mut history = HashMap::new();
        for server in servers {
            let shards = self.assign_shards(server, servers);
            let entry = ServerEntry {
                name: server.name.clone(),
                state: server.state,
            };
            self.servers_by_address
                .insert(server.address.to_string(), entry);
            let started = self.started(server, now);
            history.insert(
                server.name.clone(),
                ServerHistory {
                    state: server.state,
                    started,
                },
            );
            nodes.push(ServerEndpoint {
                name: server.name.as_str().into(),
                address: server.address.to_string().into(),
                zone: 0,
                cell: 0,
                shards: Some(shards),
                state: server.state,
                started_at: started,
            });
        }
        self.sort_live_shards();
        self.history = history;
        self.loaded = true;
        EndpointUpdate {
            kind: EndpointListKind::Full,
            version: None,
            endpoints: nodes,
        }
    }

    /// Clears the entries of the previous inventory, and the identifiers of servers that `servers`
    /// does not name.
    fn clear_present(&mut self, servers: &[Server]) {
        self.live_shards.clear();
        self.servers_by_address.clear();
        self.active_sticky_ids.clear();
        let names: HashSet<&str> = servers.iter().map(|server| server.name.as_str()).collect();
        self.sticky_ids
            .retain(|key, _| names.contains(key.server.as_str()));
        self.excluding_ids
            .retain(|key, _| names.contains(key.server.as_str()));
    }

    /// Returns the identifiers under which a server holds its shards: each shard's own, the sticky
    /// one, and one for each other holder that excludes that holder.
    fn assign_shards(&mut self, server: &Server, servers: &[Server]) -> Vec<ShardId> {
        let mut assigned = Vec::new();
        for shard in &server.shards {
            let id = self.ids.get_or_assign(&mut self.shard_ids, shard.clone());
            self.shards_by_id.insert(id, shard.clone());
            let at = |server: &Server| ShardAtServer {
                shard: id,
                server: server.name.clone(),
            };
            let sticky = self.ids.get_or_assign(&mut self.sticky_ids, at(server));
            self.active_sticky_ids.insert(sticky);
            assigned.extend([id, sticky]);
            let others = servers
                .iter()
                .filter(|s| s.name != server.name && s.shards.contains(shard));
            for other in others.take(MAX_EXCLUDED_HOLDERS) {
                assigned.push(self.ids.get_or_assign(&mut self.excluding_ids, at(other)));
            }
            if server.state != EndpointState::Removed {
                self.add_live_shard(&shard.collection, id);
            }
        }
        assigned
    }

    /// Adds a shard to those of its collection, unless it is among them.
    fn add_live_shard(&mut self, collection: &str, shard: ShardId) {
        let live = self.live_shards.entry(collection.to_owned()).or_default();
        if !live.contains(&shard) {
            live.push(shard);
        }
    }

    /// Returns the time of a server's last start by the inventories; `None` if that was before this
    /// process started.
    fn started(&self, server: &Server, now: Micros) -> Option<Micros> {
        match self.history.get(&server.name) {
            Some(ServerHistory {
                state: EndpointState::Ready,
                started,
            }) => *started,
            None if !self.loaded => None,
            _ => (server.state == EndpointState::Ready).then_some(now),
        }
    }

    /// Sorts each collection's shards by their names.
    fn sort_live_shards(&mut self) {
        let by_id = &self.shards_by_id;
        for shards in self.live_shards.values_mut() {
            shards.sort_by(|a, b| by_id.get(a).cmp(&by_id.get(b)));
        }
    }

    /// Returns the names of the collections, in order.
    pub fn collections(&self) -> impl Iterator<Item = &str> {
        self.live_shards.keys().map(String::as_str)
    }

    /// Returns the shards of a collection in the order of their names; `None` if there is no such
    /// collection.
    #[must_use]
    pub fn shards(&self, collection: &str) -> Option<&[ShardId]> {
        self.live_shards.get(collection).map(Vec::as_slice)
    }

    /// Returns the identifier of a shard that excludes the server at `address`; `None` if no other
    /// server that accepts new work holds the shard.
    #[must_use]
    pub fn excluding_server(&self, shard: ShardId, address: &str) -> Option<ShardId> {
        let server = self.servers_by_address.get(address)?;
        if self
            .ready_holders(shard)
            .iter()
            .all(|holder| holder.address == address)
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

    /// Returns the identifier of a shard that only the server at `address` holds; `None` if that
    /// server does not accept new work or does not hold the shard.
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

    /// Returns the servers that accept new work and hold a shard, ordered by the sticky identifier.
    #[must_use]
    pub fn ready_holders(&self, shard: ShardId) -> Vec<ShardHolder<'_>> {
        let ready = self
            .servers_by_address
            .iter()
            .filter(|(_, s)| s.state == EndpointState::Ready);
        let mut holders: Vec<_> = ready
            .filter_map(|(address, _)| {
                Some(ShardHolder {
                    sticky_shard: self.sticky_shard(shard, address)?,
                    address,
                })
            })
            .collect();
        holders.sort_unstable_by_key(|holder| holder.sticky_shard.0);
        holders
    }

    /// Returns whether a server with this name is listed and drains.
    #[must_use]
    pub fn is_draining(&self, name: &str) -> bool {
        let mut servers = self.servers_by_address.values();
        servers.any(|server| server.name == name && server.state == EndpointState::Draining)
    }

    /// Returns the name of the server at an address.
    #[must_use]
    pub fn server_name(&self, address: &str) -> Option<&str> {
        self.servers_by_address
            .get(address)
            .map(|server| server.name.as_str())
    }

    /// Returns the address of the server with this name.
    #[must_use]
    pub fn server_address(&self, name: &str) -> Option<String> {
        let found = self
            .servers_by_address
            .iter()
            .find(|(_, server)| server.name == name);
        found.map(|(address, _)| address.clone())
    }

    /// Returns the name that the servers use for a shard.
    #[must_use]
    pub fn source_name(&self, shard: ShardId) -> Option<&str> {
        let shard = self.shards_by_id.get(&shard)?;
        Some(shard.source.as_str())
    }
}

#[cfg(test)]
mod tests;
