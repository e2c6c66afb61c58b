//! The registry of endpoints: the servers that endpoint lists have named, their ids, and their last
//! known state.
//!
//! The registry decides which entries of an endpoint list apply. It passes the result to the policy
//! as events and to the coordinator's loop as commands.

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

/// The time for which a removed endpoint is remembered. A server that returns under the same name
/// within this time keeps its id.
const REMOVED_RETENTION: Micros = Micros::from_secs(30);
/// The maximum difference between two start times of one incarnation: each is computed from the
/// readings of two clocks, so it varies a little.
const START_TIME_TOLERANCE: Micros = Micros::from_millis(500);

/// An endpoint that a list has named.
#[derive(Debug)]
struct KnownEndpoint {
    name: Arc<str>,
    address: Arc<str>,
    ready: bool,
    /// The time of the last start of the server, according to the lists received.
    started_at: Option<Micros>,
    /// The time at which a list first marked the endpoint as removed or omitted it; `None` while it
    /// is listed.
    removed_at: Option<Micros>,
}

impl KnownEndpoint {
    /// Returns whether an entry with this start time describes a later incarnation than the known
    /// one.
    fn is_later_incarnation(&self, started_at: Option<Micros>) -> bool {
        started_at.is_some_and(|start| {
            self.started_at
                .is_none_or(|known| start > known + START_TIME_TOLERANCE)
        })
    }

    /// Returns whether an entry with this start time describes an earlier incarnation than the
    /// known one.
    fn is_earlier_incarnation(&self, started_at: Option<Micros>) -> bool {
        self.started_at.is_some_and(|known| {
            started_at.is_none_or(|start| start + START_TIME_TOLERANCE < known)
        })
    }

    /// Returns whether an entry of a stale list still applies. A drain or a removal does, since an
    /// incarnation never becomes ready again after it, and so does a later incarnation. In all
    /// other cases the newer list takes precedence.
    fn applies_if_stale(&self, entry: &ServerEndpoint) -> bool {
        let stops_being_ready = self.ready && entry.state != EndpointState::Ready;
        self.is_later_incarnation(entry.started_at)
            || (stops_being_ready && !self.is_earlier_incarnation(entry.started_at))
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

    /// Applies a list or a change to it, and adds the resulting events and commands to the turn.
    pub(super) fn apply(&mut self, mut update: EndpointUpdate, turn: &mut Turn<'_>) {
        COUNTERS.endpoint_updates.increment();
        self.filter_stale(&mut update);
        let mut endpoints = Vec::new();
        let mut listed = BTreeSet::new();
        for entry in update.endpoints {
            let endpoint = self.update(entry, turn);
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

    /// Reduces a list that is older than the current one to the entries that still apply.
    ///
    /// Discovery may send such a list after it was moved or restored from an older copy. Endpoints
    /// that are missing in it may be newer than it, and those that it lists as ready may be
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
        update.endpoints.retain(|entry| {
            let known = self
                .ids
                .get(&entry.name)
                .and_then(|replica| self.endpoints.get(replica));
            known.is_none_or(|known| known.applies_if_stale(entry))
        });
    }

    /// Applies one entry of a list, and returns its endpoint for the policy.
    fn update(&mut self, entry: ServerEndpoint, turn: &mut Turn<'_>) -> Endpoint {
        let replica = self.id_of(&entry.name);
        if let Some(shards) = entry.shards {
            turn.events.push(Event::Placement { replica, shards });
        }
        let ready = entry.state == EndpointState::Ready;
        let known = self.endpoints.get(&replica);
        if known.is_none_or(|known| known.address != entry.address || known.ready != ready) {
            turn.commands.push(Command::UpdateServer {
                replica,
                address: entry.address.clone(),
                ready,
            });
        }
        let restarted = known.is_some_and(|known| known.is_later_incarnation(entry.started_at));
        if let Some(started_at) = entry.started_at.filter(|_| restarted) {
            turn.commands.push(Command::EndEarlierConnections {
                replica,
                opened_before: started_at - START_TIME_TOLERANCE,
            });
        }
        let removed = entry.state == EndpointState::Removed;
        let removed_at =
            removed.then(|| known.and_then(|known| known.removed_at).unwrap_or(turn.now));
        let started_at = entry
            .started_at
            .max(known.and_then(|known| known.started_at));
        let known = KnownEndpoint {
            name: entry.name,
            address: entry.address,
            ready,
            started_at,
            removed_at,
        };
        self.endpoints.insert(replica, known);
        Endpoint {
            replica,
            zone: ZoneId(entry.zone),
            cell: CellId(entry.cell),
            state: entry.state,
            started_at: entry.started_at.map_or(0, Micros::to_nanos),
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

    /// Drops endpoints that were removed long ago and have no attempt in flight. New servers with
    /// new names replace old ones for as long as the process runs, so the registry would otherwise
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
