//! Which collections there are, which shards hold each, and which servers hold each shard.

use super::inventory::{Server, Share};
use crate::coordinator::{EndpointUpdate, NodeEndpoint};
use crate::interface::{EndpointListKind, EndpointState, ShardId};
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

/// Other holders of a shard that are told apart: numbers grow with the square of the holders.
const MAX_OTHERS: usize = 8;

/// The collections of the present inventory. Shards keep their numbers over reloads.
#[derive(Debug, Default)]
pub struct Catalog {
    numbers: HashMap<Share, ShardId>,
    shares: Vec<Share>,
    live: BTreeMap<String, Vec<ShardId>>,
    known: HashMap<String, (EndpointState, Option<Micros>)>,
    loaded: bool,
    /// A shard at one server, by its name: what is gone on with there has a number of its own, which that server alone
    /// holds, so that the module knows no other place for it.
    pins: HashMap<(ShardId, String), ShardId>,
    /// Those numbers that the present inventory gives to a server.
    pinned_now: HashSet<ShardId>,
    /// A shard anywhere but at one server, by its name: where a shard broke off, it is begun anew elsewhere.
    without: HashMap<(ShardId, String), ShardId>,
    /// The servers by their addresses: name and state.
    places: HashMap<String, (String, EndpointState)>,
}

/// The number of a share, or of a share at some of its servers; a new one if it has none yet.
fn number<K: Eq + Hash>(
    numbers: &mut HashMap<K, ShardId>,
    key: K,
    shares: &mut Vec<Share>,
    share: &Share,
) -> ShardId {
    *numbers.entry(key).or_insert_with(|| {
        shares.push(share.clone());
        ShardId(shares.len() as u32 - 1)
    })
}

impl Catalog {
    /// Takes an inventory in and tells the core's view of it. A server that appears or comes back after the first
    /// inventory counts as just started.
    pub fn load(&mut self, servers: &[Server], now: Micros) -> EndpointUpdate {
        self.live.clear();
        self.places.clear();
        self.pinned_now.clear();
        // Numbers are never given out again, since a query may know one; what they were given to is forgotten.
        let named: HashSet<&str> = servers.iter().map(|s| s.name.as_str()).collect();
        self.pins.retain(|k, _| named.contains(k.1.as_str()));
        self.without.retain(|k, _| named.contains(k.1.as_str()));
        let mut nodes = Vec::new();
        let mut known = HashMap::new();
        for server in servers {
            let mut shards = Vec::new();
            for share in &server.shares {
                let shard = number(&mut self.numbers, share.clone(), &mut self.shares, share);
                let at = |server: &Server| (shard, server.name.clone());
                let pin = number(&mut self.pins, at(server), &mut self.shares, share);
                self.pinned_now.insert(pin);
                shards.extend([shard, pin]);
                let others = servers.iter().filter(|s| s.name != server.name && s.shares.contains(share));
                for other in others.take(MAX_OTHERS) {
                    shards.push(number(&mut self.without, at(other), &mut self.shares, share));
                }
                if server.state != EndpointState::Removed {
                    let live = self.live.entry(share.collection.clone()).or_default();
                    if !live.contains(&shard) {
                        live.push(shard);
                    }
                }
            }
            self.places.insert(server.address.to_string(), (server.name.clone(), server.state));
            let before = self.known.get(&server.name).copied();
            let started = match before {
                Some((EndpointState::Ready, started)) => started,
                None if !self.loaded => None,
                _ => (server.state == EndpointState::Ready).then_some(now),
            };
            known.insert(server.name.clone(), (server.state, started));
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
        let shares = &self.shares;
        self.live
            .values_mut()
            .for_each(|l| l.sort_by(|a, b| shares[a.0 as usize].cmp(&shares[b.0 as usize])));
        (self.known, self.loaded) = (known, true);
        EndpointUpdate { kind: EndpointListKind::Full, version: None, endpoints: nodes }
    }

    /// The names of the collections, in order.
    pub fn collections(&self) -> impl Iterator<Item = &str> {
        self.live.keys().map(String::as_str)
    }

    /// The shards that hold a collection, in the order of their names; `None`: there is no such collection.
    pub fn shards(&self, collection: &str) -> Option<&[ShardId]> {
        self.live.get(collection).map(Vec::as_slice)
    }

    /// The number of a shard anywhere but at the server of this address, if another one that takes new work holds it.
    pub fn elsewhere(&self, shard: ShardId, address: &str) -> Option<ShardId> {
        let (name, _) = self.places.get(address)?;
        let other = self.holders(shard).iter().any(|h| h.1 != address);
        other.then(|| self.without.get(&(shard, name.clone())).copied()).flatten()
    }

    /// The number of a shard at the server of this address, if that takes new work and holds it.
    pub fn pinned(&self, shard: ShardId, address: &str) -> Option<ShardId> {
        let (name, _) = self.places.get(address).filter(|p| p.1 == EndpointState::Ready)?;
        self.pins.get(&(shard, name.clone())).copied().filter(|pin| self.pinned_now.contains(pin))
    }

    /// The servers that take new work and hold a shard: the shard's number there, and the server's address.
    pub fn holders(&self, shard: ShardId) -> Vec<(ShardId, &str)> {
        let ready = self.places.iter().filter(|p| p.1 .1 == EndpointState::Ready);
        let mut holders: Vec<_> =
            ready.filter_map(|(address, _)| Some((self.pinned(shard, address)?, address.as_str()))).collect();
        holders.sort_unstable_by_key(|h| h.0 .0);
        holders
    }

    /// The name of the server at an address.
    pub fn name_at(&self, address: &str) -> Option<&str> {
        self.places.get(address).map(|p| p.0.as_str())
    }

    /// Where a server is.
    pub fn address_of(&self, name: &str) -> Option<String> {
        self.places.iter().find(|p| p.1 .0 == name).map(|p| p.0.clone())
    }

    /// The server's own name for a shard.
    pub fn source(&self, shard: ShardId) -> Option<&str> {
        self.shares.get(shard.0 as usize).map(|s| s.source.as_str())
    }
}
