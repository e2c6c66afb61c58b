//! Which collections there are, which shards each consists of, and which servers hold each shard.

use super::inventory::{CollectionShard, Server};
use crate::coordinator::{EndpointUpdate, NodeEndpoint};
use crate::interface::{EndpointListKind, EndpointState, ShardId};
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

/// Most holders of a shard that get an identifier which excludes them: identifiers grow with the square of the holders.
const MAX_EXCLUDED_HOLDERS: usize = 8;

/// A server that takes new work and holds a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardHolder<'a> {
    /// The identifier of the shard at this server alone.
    pub sticky_shard: ShardId,
    /// The server's address.
    pub address: &'a str,
}

/// A shard, and one of its servers by name.
#[derive(Debug, PartialEq, Eq, Hash)]
struct ShardAtServer {
    shard: ShardId,
    server: String,
}

/// A server of the present inventory, as found by its address.
#[derive(Debug)]
struct ServerEntry {
    name: String,
    state: EndpointState,
}

/// What the previous inventory said of a server.
#[derive(Debug, Clone, Copy)]
struct ServerHistory {
    state: EndpointState,
    /// When it last started; `None`: before this process.
    started: Option<Micros>,
}

/// Assigns shard identifiers. None is ever assigned again, since a query may still refer to it.
#[derive(Debug, Default)]
struct ShardIds {
    /// The shard that each identifier stands for, by its number.
    shards: Vec<CollectionShard>,
}

impl ShardIds {
    /// The identifier that `ids` has under `key`, or a new one for `shard`.
    fn get_or_assign<K: Eq + Hash>(
        &mut self,
        ids: &mut HashMap<K, ShardId>,
        key: K,
        shard: &CollectionShard,
    ) -> ShardId {
        *ids.entry(key).or_insert_with(|| {
            self.shards.push(shard.clone());
            ShardId(self.shards.len() as u32 - 1)
        })
    }

    /// The shard that an identifier stands for.
    fn get(&self, id: ShardId) -> Option<&CollectionShard> {
        self.shards.get(id.0 as usize)
    }
}

/// The collections of the present inventory. Shards keep their identifiers over reloads.
#[derive(Debug, Default)]
pub struct Catalog {
    ids: ShardIds,
    shard_ids: HashMap<CollectionShard, ShardId>,
    /// A shard at one server: a page that continues there has an identifier of its own, which that server alone holds,
    /// so that the module routes it nowhere else.
    sticky_ids: HashMap<ShardAtServer, ShardId>,
    /// The sticky identifiers that the present inventory gives to a server.
    active_sticky_ids: HashSet<ShardId>,
    /// A shard anywhere but at one server: a shard that broke off there is begun anew at another one.
    excluding_ids: HashMap<ShardAtServer, ShardId>,
    /// The shards that some server holds.
    live_shards: BTreeMap<String, Vec<ShardId>>,
    servers_by_address: HashMap<String, ServerEntry>,
    history: HashMap<String, ServerHistory>,
    /// An inventory was loaded before.
    loaded: bool,
}

impl Catalog {
    /// Replaces the inventory and returns the core's view of it. A server that appears or comes back after the first
    /// inventory counts as just started.
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
            nodes.push(NodeEndpoint {
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

    /// Drops what only the previous inventory said, and the identifiers of servers that `servers` doesn't name.
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

    /// The identifiers under which a server holds its shards: each shard's own, the sticky one, and one for each other
    /// holder that excludes that holder.
    fn assign_shards(&mut self, server: &Server, servers: &[Server]) -> Vec<ShardId> {
        let mut assigned = Vec::new();
        for shard in &server.shards {
            let id = self
                .ids
                .get_or_assign(&mut self.shard_ids, shard.clone(), shard);
            let at = |server: &Server| ShardAtServer {
                shard: id,
                server: server.name.clone(),
            };
            let sticky = self
                .ids
                .get_or_assign(&mut self.sticky_ids, at(server), shard);
            self.active_sticky_ids.insert(sticky);
            assigned.extend([id, sticky]);
            let others = servers
                .iter()
                .filter(|s| s.name != server.name && s.shards.contains(shard));
            for other in others.take(MAX_EXCLUDED_HOLDERS) {
                assigned.push(
                    self.ids
                        .get_or_assign(&mut self.excluding_ids, at(other), shard),
                );
            }
            if server.state != EndpointState::Removed {
                let live = self
                    .live_shards
                    .entry(shard.collection.clone())
                    .or_default();
                if !live.contains(&id) {
                    live.push(id);
                }
            }
        }
        assigned
    }

    /// When a server last started, as far as the inventories tell; `None`: before this process.
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

    /// Orders each collection's shards by their names.
    fn sort_live_shards(&mut self) {
        let ids = &self.ids;
        for shards in self.live_shards.values_mut() {
            shards.sort_by(|a, b| ids.get(*a).cmp(&ids.get(*b)));
        }
    }

    /// The names of the collections, in order.
    pub fn collections(&self) -> impl Iterator<Item = &str> {
        self.live_shards.keys().map(String::as_str)
    }

    /// The shards that hold a collection, in the order of their names; `None`: there is no such collection.
    #[must_use]
    pub fn shards(&self, collection: &str) -> Option<&[ShardId]> {
        self.live_shards.get(collection).map(Vec::as_slice)
    }

    /// The identifier of a shard anywhere but at the server of this address, if another server that takes new work
    /// holds it.
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

    /// The identifier of a shard at the server of this address alone, if that takes new work and holds it.
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

    /// The servers that take new work and hold a shard, ordered by the shard's identifier there.
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

    /// The name of the server at an address.
    #[must_use]
    pub fn server_name(&self, address: &str) -> Option<&str> {
        self.servers_by_address
            .get(address)
            .map(|server| server.name.as_str())
    }

    /// The address of a server, by its name.
    #[must_use]
    pub fn server_address(&self, name: &str) -> Option<String> {
        let found = self
            .servers_by_address
            .iter()
            .find(|(_, server)| server.name == name);
        found.map(|(address, _)| address.clone())
    }

    /// The server's own name for a shard.
    #[must_use]
    pub fn source_name(&self, shard: ShardId) -> Option<&str> {
        self.ids.get(shard).map(|shard| shard.source.as_str())
    }
}
