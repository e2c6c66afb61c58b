//! The registry of endpoints: the servers that endpoint lists have named, their ids, and what is known of
//! each.

use super::counters::COUNTERS;
use super::diagnostics::log_throttled;
use super::messages::{Command, EndpointUpdate, NodeEndpoint};
use super::turn::Turn;

use crate::interface::{
    CellId, Endpoint, EndpointListKind, EndpointState, Event, ReplicaId, ZoneId,
};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A removed endpoint is remembered this long: it may come back under its name.
const REMOVED_RETENTION: Micros = Micros::from_secs(30);
/// Two start times this close are of the same incarnation: each is computed from two clocks and varies a
/// little.
const START_TIME_TOLERANCE: Micros = Micros::from_millis(500);

/// An endpoint that some list has named.
#[derive(Debug)]
struct KnownEndpoint {
    name: Arc<str>,
    address: Arc<str>,
    ready: bool,
    /// When it last started, according to the lists received.
    started_at: Option<Micros>,
    /// Since when it has been removed from the list, or missing in it.
    removed_at: Option<Micros>,
}

impl KnownEndpoint {
    /// Whether a list speaks of a later incarnation than the known one.
    fn is_later_incarnation(&self, started_at: Option<Micros>) -> bool {
        started_at.is_some_and(|start| {
            self.started_at
                .is_none_or(|known| start > known + START_TIME_TOLERANCE)
        })
    }

    /// Whether a list speaks of an earlier incarnation than the known one.
    fn is_earlier_incarnation(&self, started_at: Option<Micros>) -> bool {
        self.started_at.is_some_and(|known| {
            started_at.is_none_or(|start| start + START_TIME_TOLERANCE < known)
        })
    }

    /// Whether a line of a stale list is news. An incarnation that is draining or removed never becomes ready
    /// again, so that is believed however old the list is, and so is a later incarnation. All else the newer
    /// list knew better.
    fn accepts_stale(&self, node: &NodeEndpoint) -> bool {
        let stops = self.ready && node.state != EndpointState::Ready;
        self.is_later_incarnation(node.started_at)
            || (stops && !self.is_earlier_incarnation(node.started_at))
    }
}

/// All endpoints that are listed, or were not long ago.
#[derive(Debug, Default)]
pub(super) struct EndpointRegistry {
    ids: HashMap<Arc<str>, ReplicaId>,
    endpoints: BTreeMap<ReplicaId, KnownEndpoint>,
    /// The highest version of the list that was received.
    version: u64,
    /// The number of the next new endpoint; never reused.
    next_id: u32,
}

impl EndpointRegistry {
    /// Endpoints that are remembered, listed or not.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Endpoints that are listed now, draining ones included.
    pub(super) fn count_listed(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.removed_at.is_none())
            .count()
    }

    /// Applies a list or a change to it, and passes it on to the policy and the drivers.
    pub(super) fn apply(&mut self, mut update: EndpointUpdate, turn: &mut Turn<'_>) {
        COUNTERS.endpoint_updates.increment();
        self.filter_stale(&mut update);
        let mut endpoints = Vec::new();
        let mut listed = BTreeSet::new();
        for node in update.endpoints {
            let endpoint = self.update(node, turn);
            listed.insert(endpoint.replica);
            endpoints.push(endpoint);
        }
        if matches!(
            update.kind,
            EndpointListKind::Full | EndpointListKind::Cached
        ) {
            self.remove_unlisted(&listed, turn);
        }
        turn.events.push(Event::Endpoints {
            kind: update.kind,
            endpoints,
        });
    }

    /// Discovery that was moved, or came back from an older copy, may send an older list than the current
    /// one: endpoints that it lacks may be newer than it, and those that it calls ready may have begun to
    /// drain since.
    fn filter_stale(&mut self, update: &mut EndpointUpdate) {
        let Some(version) = update.version else {
            return;
        };
        if version >= self.version {
            self.version = version;
            return;
        }
        let current_version = self.version;
        log_throttled(&COUNTERS.stale_endpoint_updates, || {
            tracing::warn!(
                version,
                current_version,
                "stale endpoint list: only its drains, removals and restarts are applied"
            );
        });
        update.kind = EndpointListKind::Delta;
        update.endpoints.retain(|node| {
            let known = self
                .ids
                .get(&node.name)
                .and_then(|replica| self.endpoints.get(replica));
            known.is_none_or(|known| known.accepts_stale(node))
        });
    }

    /// Applies one line of a list.
    fn update(&mut self, node: NodeEndpoint, turn: &mut Turn<'_>) -> Endpoint {
        let replica = self.id_of(&node.name);
        if let Some(shards) = node.shards {
            turn.events.push(Event::Placement { replica, shards });
        }
        let ready = node.state == EndpointState::Ready;
        let known = self.endpoints.get(&replica);
        if known.is_none_or(|known| known.address != node.address || known.ready != ready) {
            turn.commands.push(Command::UpdateServer {
                replica,
                address: node.address.clone(),
                ready,
            });
        }
        let removed = node.state == EndpointState::Removed;
        let removed_at =
            removed.then(|| known.and_then(|known| known.removed_at).unwrap_or(turn.now));
        let started_at = node
            .started_at
            .max(known.and_then(|known| known.started_at));
        let known = KnownEndpoint {
            name: node.name,
            address: node.address,
            ready,
            started_at,
            removed_at,
        };
        self.endpoints.insert(replica, known);
        Endpoint {
            replica,
            zone: ZoneId(node.zone),
            cell: CellId(node.cell),
            state: node.state,
            started_at: node.started_at.map_or(0, Micros::to_nanos),
        }
    }

    /// The id of an endpoint; a new name gets the next one.
    fn id_of(&mut self, name: &Arc<str>) -> ReplicaId {
        let next_id = &mut self.next_id;
        *self.ids.entry(name.clone()).or_insert_with(|| {
            let [a, b, c, d] = next_id.to_be_bytes();
            *next_id = next_id.wrapping_add(1);
            ReplicaId([a, b, c, d, 0, 0])
        })
    }

    /// A complete list that lacks an endpoint removes it.
    fn remove_unlisted(&mut self, listed: &BTreeSet<ReplicaId>, turn: &mut Turn<'_>) {
        for (replica, endpoint) in &mut self.endpoints {
            if listed.contains(replica) {
                continue;
            }
            endpoint.removed_at = endpoint.removed_at.or(Some(turn.now));
            if std::mem::take(&mut endpoint.ready) {
                let address = endpoint.address.clone();
                turn.commands.push(Command::UpdateServer {
                    replica: *replica,
                    address,
                    ready: false,
                });
            }
        }
    }

    /// Forgets endpoints that were removed long ago and have no attempt in flight: servers are replaced by
    /// new ones with new names for as long as the program runs.
    pub(super) fn purge_removed(
        &mut self,
        has_attempts: impl Fn(ReplicaId) -> bool,
        turn: &mut Turn<'_>,
    ) {
        let expired = |endpoint: &KnownEndpoint| {
            endpoint
                .removed_at
                .is_some_and(|since| turn.now.since(since) > REMOVED_RETENTION)
        };
        let candidates: Vec<ReplicaId> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| expired(endpoint))
            .map(|(id, _)| *id)
            .collect();
        for replica in candidates {
            if has_attempts(replica) {
                continue;
            }
            if let Some(endpoint) = self.endpoints.remove(&replica) {
                self.ids.remove(&endpoint.name);
                turn.commands.push(Command::RemoveServer(replica));
            }
        }
    }
}
