//! The endpoint table: the state of each replica, and the choice of a replica for a part.

mod outlier;
mod rotation;
mod slow_start;

pub use outlier::is_overdue;

use super::Context;
use crate::interface::{ClassId, Endpoint, EndpointListKind, Nanos, Outcome, ReplicaId, ShardId};
use crate::membership::Membership;
use crate::queries::{Attempt, AttemptKey, AttemptsByAge, EndedAttempt, InFlight, InFlightTable};
use crate::stats::exponential;
use outlier::OutlierDetector;
use rotation::Rotation;
use slow_start::SlowStartGuard;
use std::collections::{BTreeMap, BTreeSet};

/// A replica is skipped if its cost exceeds this multiple of the lowest among the shard's holders
const SKIP_RATIO: f64 = 1.4;
/// plus this share of the mean response time.
const SKIP_MARGIN: f64 = 0.5;
/// The least share of its capacity at which a failing or warming replica counts: some parts must probe it.
const MIN_CAPACITY: f64 = 0.1;
/// An unused connection counts as idle after this fraction of the shortest objective.
const IDLE_FRACTION: u64 = 4;
/// The share of sends that still use idle connections while these are dropped, to detect when that ends.
const IDLE_SAMPLE: f64 = 0.2;

/// The state of a replica.
#[derive(Debug, Default)]
struct Replica {
    health: OutlierDetector,
    slow_start: SlowStartGuard,
    in_flight: AttemptsByAge,
    /// When a connection to it was last used, and whether it had been idle before that.
    used_at: Nanos,
    idle_connection: bool,
}

/// The shard that a part is for, and its class.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    pub class: ClassId,
    pub shard: ShardId,
}

/// A replica that a part may be sent to, its expected wait, and that plus the cost of errors, in ns.
pub struct Candidate {
    pub replica: ReplicaId,
    pub expected_wait: f64,
    cost: f64,
}

/// All replicas: their listing, health, warm-up and rotation, and the attempts in flight there.
#[derive(Debug, Default)]
pub struct EndpointTable {
    membership: Membership,
    replicas: BTreeMap<ReplicaId, Replica>,
    rotation: Rotation,
    in_flight: InFlightTable,
}

impl EndpointTable {
    /// Applies new settings. What was observed of replicas is kept.
    pub fn apply_settings(&mut self, context: &mut Context) {
        self.rotation.grow(context.settings.shards as usize, &mut context.rng);
        self.assign_shards(context);
    }

    pub fn set_placement(&mut self, replica: ReplicaId, shards: &[ShardId], context: &mut Context) {
        self.membership.set_placement(replica, shards);
        self.rotation.grow(self.membership.placed_shards(replica), &mut context.rng);
    }

    pub fn apply_list(&mut self, kind: EndpointListKind, endpoints: &[Endpoint], context: &mut Context) {
        self.membership.apply(kind, endpoints, context.now);
        for endpoint in endpoints {
            let drawn_gap = exponential(&mut context.rng);
            let replica = self.replicas.entry(endpoint.replica).or_insert_with(|| Replica {
                health: OutlierDetector::new(context.fleet.latency.mean(), context.now),
                slow_start: SlowStartGuard::new(drawn_gap),
                ..Replica::default()
            });
            replica.slow_start.restart(endpoint.started_at);
        }
        self.assign_shards(context);
    }

    fn assign_shards(&mut self, context: &Context) {
        for shard in self.rotation.shards() {
            self.rotation.set_holders(shard, self.membership.holders(shard, &context.settings));
        }
        self.balance(context);
    }

    /// Rebalances the shares of all replicas by their present capacities.
    pub fn balance(&mut self, context: &Context) {
        let capacity = |replica: &Replica| {
            (replica.slow_start.capacity(context) * replica.health.capacity()).max(MIN_CAPACITY)
        };
        let capacities = self.replicas.iter().map(|(id, replica)| (*id, capacity(replica))).collect();
        self.rotation.balance(&capacities);
    }

    /// Replicas are replaced over time; one that returns is listed again with its start.
    pub fn remove_unlisted(&mut self, horizon: Nanos) {
        let in_use = |id| self.replicas.get(&id).is_some_and(|replica| !replica.in_flight.is_empty());
        self.membership.remove_unlisted(horizon, in_use);
        self.replicas.retain(|id, _| self.membership.contains(*id));
    }

    /// Ready replicas that no part of an active class would be sent to now, whatever its shard.
    pub fn ejected(&self, context: &Context) -> Vec<ReplicaId> {
        let Some(at) = context.settings.classes.iter().position(|c| c.active) else { return Vec::new() };
        let class = ClassId(at as u16);
        let candidates = |shard| self.candidates(Target { class, shard }, &[], context);
        let used: BTreeSet<_> = self.rotation.shards().flat_map(candidates).map(|c| c.replica).collect();
        let holds_any = |id| self.rotation.shards().any(|shard| self.rotation.holds(shard, id));
        let ejected = |id: &ReplicaId| holds_any(*id) && !used.contains(id);
        self.membership.ready().filter(ejected).collect()
    }

    /// Chooses the replica for a part.
    pub fn choose(&self, target: Target, exclude: &[ReplicaId], context: &Context) -> Option<Candidate> {
        self.candidates(target, exclude, context).into_iter().next()
    }

    /// A shard's holders in rotation, skipping those with an overdue attempt unless all have one. Beyond the
    /// paper's design it skips replicas that cost far more than the shard's best; none if all are slow.
    fn candidates(&self, target: Target, exclude: &[ReplicaId], context: &Context) -> Vec<Candidate> {
        let class = context.settings.class(target.class);
        let work = work(target.class, context);
        let candidate = |id: ReplicaId| {
            let replica = self.replicas.get(&id).filter(|r| r.slow_start.admits(work, context))?;
            let expected_wait = replica.health.expected_wait(&replica.in_flight, class, context);
            let cost = expected_wait + replica.health.error_cost(class, context);
            Some(Candidate { replica: id, expected_wait, cost })
        };
        let holders = self.rotation.in_turn(target.shard).filter(|id| !exclude.contains(id));
        let mut candidates: Vec<Candidate> = holders.filter_map(candidate).collect();
        let best = candidates.iter().map(|c| c.cost).fold(f64::INFINITY, f64::min);
        candidates.retain(|c| c.cost <= SKIP_RATIO * best + SKIP_MARGIN * context.fleet.latency.mean());
        candidates
    }

    /// Rules 3 and 4: the replica is ready, holds the shard, and has capacity for the part if it warms up.
    pub fn accepts(&self, target: Target, replica: ReplicaId, context: &Context) -> bool {
        let work = work(target.class, context);
        self.membership.is_ready(replica)
            && self.rotation.holds(target.shard, replica)
            && self.replicas.get(&replica).is_some_and(|r| r.slow_start.admits(work, context))
    }

    /// Records an attempt that is sent. `true`: idle connections to the replica must be closed first.
    pub fn send(&mut self, key: AttemptKey, target: Target, to: ReplicaId, context: &mut Context) -> bool {
        let work = work(target.class, context);
        let Some(replica) = self.replicas.get_mut(&to) else { return false };
        let mut close = false;
        if replica.used_at < context.now && replica.in_flight.is_empty() {
            // While idle connections are dropped they are closed before use, except for a sample.
            let fresh = context.now.saturating_sub(context.settings.min_latency_objective() / IDLE_FRACTION);
            let idle = (1..fresh).contains(&replica.used_at);
            close = idle && context.fleet.connections.idle_are_dropped() && context.rng.f64() > IDLE_SAMPLE;
            replica.idle_connection = idle && !close;
        }
        context.fleet.connections.record_use(replica.used_at, context.now);
        replica.used_at = context.now;
        replica.in_flight.insert(context.now, key);
        replica.slow_start.record_send(work, context);
        let (concurrency, idle_connection) = (replica.in_flight.len(), replica.idle_connection);
        let sent = InFlight { replica: to, class: target.class, concurrency, idle_connection };
        self.in_flight.insert(key, sent);
        self.rotation.advance(target.shard);
        close
    }

    /// Records how an attempt ended; `false`: it was not in flight.
    pub fn complete(
        &mut self,
        key: AttemptKey,
        outcome: Outcome,
        elapsed: Nanos,
        context: &mut Context,
    ) -> bool {
        let Some(attempt) = self.in_flight.remove(&key) else { return false };
        let Some(replica) = self.replicas.get_mut(&attempt.replica) else { return true };
        replica.in_flight.remove(key);
        let silent = replica.health.last_success < context.now.saturating_sub(elapsed);
        context.fleet.connections.record_attempt(attempt.idle_connection, outcome != Outcome::Ok && silent);
        replica.health.record(&EndedAttempt { attempt, outcome, elapsed, silent }, context);
        if outcome == Outcome::Ok {
            replica.used_at = context.now;
            context.fleet.latency.record(attempt.class, elapsed, attempt.concurrency as f64);
        }
        true
    }

    /// The replica of an attempt has answered something since the attempt was sent.
    pub fn served_since(&self, attempt: &Attempt) -> bool {
        self.replicas.get(&attempt.replica).is_some_and(|r| r.health.last_success > attempt.sent_at)
    }
}

/// The work of a part and its call, in ns, by what was observed of its class.
fn work(class: ClassId, context: &Context) -> f64 {
    context.fleet.latency.work(class) + context.settings.call_overhead as f64
}
