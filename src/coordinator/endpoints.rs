//! The registry of endpoints: the servers that endpoint lists have named, their ids, and their last
//! known state.
//!
//! The registry decides which lines of an endpoint list apply; the policy and the drivers get the
//! result as events and commands.

use super::counters::COUNTERS;
use super::diagnostics::log_throttled;
use super::messages::{Command, EndpointUpdate, ServerEndpoint};
use super::turn::Turn;

use crate::interface::{
    CellId, Endpoint, EndpointListKind, EndpointState, Event, ReplicaId, ZoneId,
};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// The time for which a removed endpoint is remembered: it may return under its name.
const REMOVED_RETENTION: Micros = Micros::from_secs(30);
/// The maximum distance of two start times of one incarnation: each is computed from two clocks and
/// varies a little.
const START_TIME_TOLERANCE: Micros = Micros::from_millis(500);

/// An endpoint that a list has named.
#[derive(Debug)]
struct KnownEndpoint {
    name: Arc<str>,
    address: Arc<str>,
    ready: bool,
    /// The time of its last start, according to the lists received.
    started_at: Option<Micros>,
    /// The time since which it has been removed from the list, or missing in it.
    removed_at: Option<Micros>,
}

impl KnownEndpoint {
    /// Returns whether a line with this start time describes a later incarnation than the known
    /// one.
    fn is_later_incarnation(&self, started_at: Option<Micros>) -> bool {
        started_at.is_some_and(|start| {
            self.started_at
                .is_none_or(|known| start > known + START_TIME_TOLERANCE)
        })
    }

    /// Returns whether a line with this start time describes an earlier incarnation than the known
    /// one.
    fn is_earlier_incarnation(&self, started_at: Option<Micros>) -> bool {
        self.started_at.is_some_and(|known| {
            started_at.is_none_or(|start| start + START_TIME_TOLERANCE < known)
        })
    }

    /// Returns whether a line of a stale list still applies. A drain or a removal does, since an
    /// incarnation never becomes ready again after it, and so does a later incarnation. In all else
    /// the newer list is right.
    fn applies_if_stale(&self, node: &ServerEndpoint) -> bool {
        let stops = self.ready && node.state != EndpointState::Ready;
        self.is_later_incarnation(node.started_at)
            || (stops && !self.is_earlier_incarnation(node.started_at))
    }
}

/// All endpoints that are listed, or were until recently.
#[derive(Debug, Default)]
pub(super) struct EndpointRegistry {
    ids: HashMap<Arc<str>, ReplicaId>,
    endpoints: BTreeMap<ReplicaId, KnownEndpoint>,
    /// The highest version of a list received so far.
    version: u64,
    /// The id of the next new endpoint; never reused.
    next_id: u32,
}

impl EndpointRegistry {
    /// Returns the number of endpoints that are remembered, listed or not.
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of endpoints that are listed now, draining ones included.
    pub(super) fn count_listed(&self) -> usize {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.removed_at.is_none())
            .count()
    }

    /// Applies a list or a change to it, and reports it to the policy and the drivers.
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

    /// Reduces a list that is older than the current one to the lines that still apply.
    ///
    /// Discovery that has moved, or was restored from an older copy, may send such a list.
    /// Endpoints that are not in it may be newer than it, and those that it calls ready may be
    /// draining by now.
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
            known.is_none_or(|known| known.applies_if_stale(node))
        });
    }

    /// Applies one line of a list.
    fn update(&mut self, node: ServerEndpoint, turn: &mut Turn<'_>) -> Endpoint {
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
        let restarted = known.is_some_and(|known| known.is_later_incarnation(node.started_at));
        if let Some(started_at) = node.started_at.filter(|_| restarted) {
            turn.commands.push(Command::EndEarlierConnections {
                replica,
                opened_before: started_at - START_TIME_TOLERANCE,
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

    /// Returns the id of an endpoint; a new name gets the next id.
    fn id_of(&mut self, name: &Arc<str>) -> ReplicaId {
        let next_id = &mut self.next_id;
        *self.ids.entry(name.clone()).or_insert_with(|| {
            let [a, b, c, d] = next_id.to_be_bytes();
            *next_id = next_id.wrapping_add(1);
            ReplicaId([a, b, c, d, 0, 0])
        })
    }

    /// Marks the endpoints that a complete list does not contain as removed.
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

    /// Drops endpoints that were removed long ago and have no attempt in flight. Servers are
    /// replaced by new ones with new names for as long as the program runs, so the registry would
    /// grow without bound.
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
