//! Which collections there are, which shards hold each, and which servers hold each shard.

use super::inventory::{Server, Share};
use crate::core::{Node, Roster};
use crate::interface::{ListKind, MemberState, ShardId};
use crate::time::Micros;
use std::collections::{BTreeMap, HashMap};

/// The collections of the present inventory. Shards keep their numbers over reloads.
#[derive(Debug, Default)]
pub struct Catalog {
    numbers: HashMap<Share, ShardId>,
    shares: Vec<Share>,
    live: BTreeMap<String, Vec<ShardId>>,
    known: HashMap<String, (MemberState, Option<Micros>)>,
    loaded: bool,
}

impl Catalog {
    /// Takes an inventory in and tells the core's view of it. A server that appears or comes back after the first
    /// inventory counts as just started.
    pub fn load(&mut self, servers: &[Server], now: Micros) -> Roster {
        self.live.clear();
        let mut nodes = Vec::new();
        let mut known = HashMap::new();
        for server in servers {
            let mut shards = Vec::new();
            for share in &server.shares {
                let fresh = ShardId(self.shares.len() as u32);
                let shard = *self.numbers.entry(share.clone()).or_insert(fresh);
                if shard == fresh {
                    self.shares.push(share.clone());
                }
                shards.push(shard);
                if server.state != MemberState::Gone {
                    let live = self.live.entry(share.collection.clone()).or_default();
                    if !live.contains(&shard) {
                        live.push(shard);
                    }
                }
            }
            let before = self.known.get(&server.name).copied();
            let started = match before {
                Some((MemberState::Ready, started)) => started,
                None if !self.loaded => None,
                _ => (server.state == MemberState::Ready).then_some(now),
            };
            known.insert(server.name.clone(), (server.state, started));
            nodes.push(Node {
                name: server.name.as_str().into(),
                address: server.address.to_string().into(),
                zone: 0,
                cell: 0,
                shards: Some(shards),
                state: server.state,
                started,
            });
        }
        let shares = &self.shares;
        self.live
            .values_mut()
            .for_each(|l| l.sort_by(|a, b| shares[a.0 as usize].cmp(&shares[b.0 as usize])));
        (self.known, self.loaded) = (known, true);
        Roster { kind: ListKind::Full, nodes }
    }

    /// The names of the collections, in order.
    pub fn collections(&self) -> impl Iterator<Item = &str> {
        self.live.keys().map(String::as_str)
    }

    /// The shards that hold a collection, in the order of their names; `None`: there is no such collection.
    pub fn shards(&self, collection: &str) -> Option<&[ShardId]> {
        self.live.get(collection).map(Vec::as_slice)
    }

    /// The server's own name for a shard.
    pub fn source(&self, shard: ShardId) -> Option<&str> {
        self.shares.get(shard.0 as usize).map(|s| s.source.as_str())
    }
}
