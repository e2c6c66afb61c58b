//! Choice of replicas: keeps the state of all replicas of the endpoint list, and chooses the one
//! that an attempt is sent to among those of the shard.

mod outlier;
mod replica;
mod rotation;
mod slow_start;

pub use replica::Candidate;

use super::fleet::{FleetLatency, FleetStatistics};
use crate::interface::{
    ClassId, Endpoint, EndpointListKind, Nanos, Outcome, ReplicaId, Settings, ShardId,
};
use crate::membership::Membership;
use crate::queries::{Attempt, AttemptKey, EndedAttempt, InFlight, InFlightTable};
use crate::stats::exponential;
use replica::Replica;
use rotation::Rotation;
use std::collections::{BTreeMap, BTreeSet};

/// A replica is skipped if its cost exceeds this multiple of the lowest cost among the shard's
/// replicas by more than a margin.
const SKIP_RATIO: f64 = 1.4;
/// Margin above the lowest cost times `SKIP_RATIO`, in mean response times over all replicas.
const SKIP_MARGIN_RESPONSE_TIMES: f64 = 0.5;

/// Shard that a part needs an answer from, and the class of the part's query.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// Class of the query.
    pub class: ClassId,
    /// Shard of the part.
    pub shard: ShardId,
}

/// All replicas, their state and the attempts in flight.
#[derive(Debug)]
pub struct ReplicaTable {
    membership: Membership,
    replicas: BTreeMap<ReplicaId, Replica>,
    rotation: Rotation,
    in_flight: InFlightTable,
    fleet: FleetStatistics,
}

impl ReplicaTable {
    /// Creates a table without replicas.
    pub fn new(settings: &Settings, rng: &mut fastrand::Rng) -> Self {
        let mut rotation = Rotation::default();
        rotation.grow(settings.shards as usize, rng);
        ReplicaTable {
            membership: Membership::default(),
            replicas: BTreeMap::new(),
            rotation,
            in_flight: InFlightTable::new(),
            fleet: FleetStatistics::new(settings),
        }
    }

    /// Applies new settings. The state of replicas is kept. The statistics of classes are kept
    /// according to `class_mapping`, which has for each class the former class whose statistics it
    /// continues.
    pub fn apply_settings(
        &mut self,
        settings: &Settings,
        class_mapping: &[ClassId],
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) {
        self.fleet.latency.apply_settings(settings, class_mapping);
        self.rotation.grow(settings.shards as usize, rng);
        self.assign_shards(settings, now);
    }

    /// Sets the shards of a replica, where its cell does not determine them.
    pub fn set_placement(
        &mut self,
        replica: ReplicaId,
        shards: &[ShardId],
        rng: &mut fastrand::Rng,
    ) {
        self.membership.set_placement(replica, shards);
        self.rotation
            .grow(self.membership.placed_shards(replica), rng);
    }

    /// Applies an endpoint list, or changes to it.
    pub fn apply_list(
        &mut self,
        kind: EndpointListKind,
        endpoints: &[Endpoint],
        settings: &Settings,
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) {
        self.membership.apply(kind, endpoints, now);
        for endpoint in endpoints {
            let drawn_gap = exponential(rng);
            let replica = self
                .replicas
                .entry(endpoint.replica)
                .or_insert_with(|| Replica::new(&self.fleet, drawn_gap, now));
            replica.slow_start.record_start(endpoint.started_at);
        }
        self.assign_shards(settings, now);
    }

    fn assign_shards(&mut self, settings: &Settings, now: Nanos) {
        for shard in self.rotation.shards() {
            let replicas = self.membership.ready_replicas(shard, settings);
            self.rotation.set_replicas(shard, replicas);
        }
        self.balance(settings, now);
    }

    /// Rebalances the shares of all replicas by their current capacities.
    pub fn balance(&mut self, settings: &Settings, now: Nanos) {
        let capacity = |replica: &Replica| replica.capacity(settings, now);
        let capacities = self
            .replicas
            .iter()
            .map(|(id, replica)| (*id, capacity(replica)))
            .collect();
        self.rotation.balance(&capacities);
    }

    /// Removes replicas that are not ready, were last listed before `horizon` and have no attempts
    /// in flight. A replica that returns later is listed again with the time of its start.
    pub fn remove_unlisted(&mut self, horizon: Nanos) {
        let in_use = |id| {
            let replica = self.replicas.get(&id);
            replica.is_some_and(|replica| !replica.in_flight.is_empty())
        };
        self.membership.remove_unlisted(horizon, in_use);
        self.replicas.retain(|id, _| self.membership.contains(*id));
    }

    /// Returns the ready replicas that hold shards, but that no part of the first active class
    /// would be sent to now.
    pub fn avoided(&self, settings: &Settings, now: Nanos) -> Vec<ReplicaId> {
        let Some(index) = settings.classes.iter().position(|class| class.active) else {
            return Vec::new();
        };
        let class = ClassId(index as u16);
        let used: BTreeSet<ReplicaId> = self
            .rotation
            .shards()
            .flat_map(|shard| self.candidates(Target { class, shard }, &[], settings, now))
            .map(|candidate| candidate.replica)
            .collect();
        let holds_any = |id| {
            let mut shards = self.rotation.shards();
            shards.any(|shard| self.rotation.holds(shard, id))
        };
        self.membership
            .ready()
            .filter(|id| holds_any(*id) && !used.contains(id))
            .collect()
    }

    /// Chooses the replica for a part: the first candidate in the order of the rotation, except
    /// those in `exclude`.
    pub fn choose(
        &self,
        target: Target,
        exclude: &[ReplicaId],
        settings: &Settings,
        now: Nanos,
    ) -> Option<Candidate> {
        let candidates = self.candidates(target, exclude, settings, now);
        candidates.into_iter().next()
    }

    /// Returns the replicas of a shard that a part may be sent to, in the order of the rotation.
    ///
    /// Replicas that are warming up are left out if slow start does not admit the part now.
    /// Replicas that cost far more than the cheapest one are left out too; an overdue attempt in
    /// flight raises the cost. If all replicas are slow, none is left out for its cost.
    fn candidates(
        &self,
        target: Target,
        exclude: &[ReplicaId],
        settings: &Settings,
        now: Nanos,
    ) -> Vec<Candidate> {
        let class = settings.class(target.class);
        let min_objective = settings.min_latency_objective();
        let work = self.work(target.class, settings);
        let mut candidates: Vec<Candidate> = self
            .rotation
            .in_rotation(target.shard)
            .filter(|id| !exclude.contains(id))
            .filter_map(|id| self.replicas.get(&id).map(|replica| (id, replica)))
            .filter(|(_, replica)| replica.slow_start.admits(work, settings, now))
            .map(|(id, replica)| replica.candidate(id, class, &self.fleet, min_objective, now))
            .collect();
        let costs = candidates.iter().map(|candidate| candidate.cost);
        let lowest_cost = costs.fold(f64::INFINITY, f64::min);
        let margin = SKIP_MARGIN_RESPONSE_TIMES * self.fleet.latency.mean();
        candidates.retain(|candidate| candidate.cost <= SKIP_RATIO * lowest_cost + margin);
        candidates
    }

    /// Returns whether a part may be sent to a replica, which must be ready, hold the shard, and
    /// admit the part if it is warming up: the rules "nothing to draining endpoints" and "slow
    /// start".
    pub fn accepts(
        &self,
        target: Target,
        replica: ReplicaId,
        settings: &Settings,
        now: Nanos,
    ) -> bool {
        let work = self.work(target.class, settings);
        let has_capacity = |replica: &Replica| replica.slow_start.admits(work, settings, now);
        self.membership.is_ready(replica)
            && self.rotation.holds(target.shard, replica)
            && self.replicas.get(&replica).is_some_and(has_capacity)
    }

    /// Records an attempt that is sent, and returns whether idle connections to the replica must be
    /// closed first.
    pub fn record_send(
        &mut self,
        key: AttemptKey,
        target: Target,
        to: ReplicaId,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) -> bool {
        let work = self.work(target.class, settings);
        let Some(replica) = self.replicas.get_mut(&to) else {
            return false;
        };
        let min_objective = settings.min_latency_objective();
        let close_idle = replica.prepare_connection(&self.fleet, min_objective, rng, now);
        self.fleet.connections.record_use(replica.last_used_at, now);
        replica.last_used_at = now;
        replica.in_flight.insert(now, key);
        replica
            .slow_start
            .record_send(work, settings.slow_start, rng, now);
        let sent = InFlight {
            replica: to,
            class: target.class,
            concurrency: replica.in_flight.len(),
            idle_connection: replica.was_idle,
        };
        self.in_flight.insert(key, sent);
        self.rotation.advance(target.shard);
        close_idle
    }

    /// Records how an attempt ended, and returns whether it was in flight.
    pub fn complete(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        elapsed: Nanos,
        settings: &Settings,
        now: Nanos,
    ) -> bool {
        let Some(attempt) = self.in_flight.remove(&key) else {
            return false;
        };
        let Some(replica) = self.replicas.get_mut(&attempt.replica) else {
            return true;
        };
        replica.in_flight.remove(key);
        let silent = replica.health.is_silent_for(elapsed, now);
        let lost = outcome != Outcome::Ok && silent;
        self.fleet
            .connections
            .record_attempt(attempt.idle_connection, lost);
        let ended = EndedAttempt {
            attempt,
            outcome,
            elapsed,
            silent,
        };
        replica.health.record(&ended, &self.fleet, settings, now);
        if outcome == Outcome::Ok {
            replica.last_used_at = now;
            let concurrency = attempt.concurrency as f64;
            self.fleet
                .latency
                .record(attempt.class, elapsed, concurrency);
        }
        true
    }

    /// Returns whether the replica of an attempt has answered anything since the attempt was sent.
    pub fn has_answered_since(&self, attempt: &Attempt) -> bool {
        let replica = self.replicas.get(&attempt.replica);
        replica.is_some_and(|replica| replica.health.has_answered_since(attempt.sent_at))
    }

    /// Returns the response times over all replicas.
    pub fn latency(&self) -> &FleetLatency {
        &self.fleet.latency
    }

    /// Returns the work of a part and of its call, in ns, as estimated for the class.
    fn work(&self, class: ClassId, settings: &Settings) -> f64 {
        self.fleet.latency.work(class) + settings.call_overhead as f64
    }
}
