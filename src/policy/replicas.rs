//! What is known of replicas: the list, what their answers tell, and which one a part goes to.

use super::*;

/// Weight of a new response time in a replica's pace.
const PACE_GAIN: f64 = 0.5;
/// A pace loses half its distance to the fleet's in so many aims: a skipped replica gets another look.
const FADE_AIMS: f64 = 0.5;
/// Weight of a new answer in a replica's share of errors, which loses half of itself in so many aims.
const ERROR_GAIN: f64 = 0.15;
const ERROR_FADE_AIMS: f64 = 4.0;
/// What an error costs a part that may be repeated, in typical response times: the way there and another.
const ERROR_COST: f64 = 2.0;
/// Share of the aim that a pace fades to at most, so that a jam's memory can't outlive it.
const CALM_SHARE: f64 = 0.25;
/// A replica is skipped when its expected wait is so many times the best of the shard's.
const SKIP_RATIO: f64 = 1.4;
/// Idle connections are closed before use when they lose so much more of what is sent than others.
const IDLE_LOSS: f64 = 0.25;
/// Share of `must-ask-in` within which an unanswered call for the list is made again.
const ASK_SHARE: u64 = 8;

/// What is thought of a replica with each of its silent failures in a row, as a share of before,
const FAILURE_FACTOR: f64 = 0.5;
/// and the least of one that is silent or warms up, as a share of a sound one: someone has to try it.
const MIN_CAPACITY: f64 = 0.1;

#[derive(Debug, Default)]
pub(super) struct Replica {
    pub(super) cell: CellId,
    pub(super) ready: bool,
    /// When a list last named it, or left it out as it was ready.
    pub(super) listed: Nanos,
    /// Smoothed response time.
    pub(super) pace: DecayingAverage,
    pub(super) last_ok: Nanos,
    /// Share of its answers that were errors.
    pub(super) errors: DecayingAverage,
    /// When a connection to it was last in use, and whether it had been idle then.
    pub(super) used: Nanos,
    pub(super) idle: bool,
    /// Silent failures in a row, and when the next trial is due.
    pub(super) strikes: u32,
    pub(super) trial_at: Nanos,
    pub(super) flights: BTreeSet<(Nanos, PartId, AttemptNo)>,
    pub(super) slow_start: SlowStartGuard,
}

/// Idle connections are dropped unseen: far more is lost on them than on others. An outage raises both.
pub(super) fn reaped(connections: &ConnectionUse) -> bool {
    connections.idle_loss() > connections.in_use_loss() + IDLE_LOSS
}

impl DecisionPolicy {
    /// Ready replicas that no part of a listed class would go to now, whatever its shard.
    pub fn ejected(&self) -> Vec<ReplicaId> {
        let Some(c) = self.settings.classes.iter().position(|c| c.active) else { return Vec::new() };
        let class = ClassId(c as u16);
        let fit = |shard| self.fit(class, shard, &[]).into_iter().map(|r| r.0);
        let used: BTreeSet<ReplicaId> = self.rotation.shards().flat_map(fit).collect();
        let ready = self.replicas.iter().filter(|r| r.1.ready).map(|r| *r.0);
        ready.filter(|id| self.rotation.holds_any(*id) && !used.contains(id)).collect()
    }

    pub(super) fn take_list(&mut self, kind: EndpointListKind, members: &[Endpoint]) {
        if kind == EndpointListKind::Failed {
            // Ask again after a jittered wait, well inside the time that counts as told.
            let wait = |within| (within / ASK_SHARE) as f64 * (0.25 + 0.75 * self.rng.f64());
            self.ask_at = self.settings.max_poll_interval.map(wait).map(|wait| self.now + wait as Nanos);
            return;
        }
        self.ask_at = self.ask_at.filter(|_| kind == EndpointListKind::Cached);
        if kind != EndpointListKind::Delta {
            for r in self.replicas.values_mut().filter(|r| r.ready) {
                (r.ready, r.listed) = (false, self.now);
            }
        }
        for m in members {
            let (typical, now) = (self.latency.mean(), self.now);
            let draw = exponential(&mut self.rng);
            let r = self.replicas.entry(m.replica).or_insert_with(|| Replica {
                pace: DecayingAverage::new(typical, now),
                slow_start: SlowStartGuard::new(draw),
                ..Replica::default()
            });
            r.cell = m.cell;
            r.listed = now;
            r.ready = m.state == EndpointState::Ready;
            r.slow_start.restart(m.started_at);
        }
        let cells = self.settings.cells.max(1);
        for shard in self.rotation.shards() {
            let first = shard.0 % cells;
            let holds = |(id, r): &(&ReplicaId, &Replica)| match self.placed.get(*id) {
                Some(placed) => placed.contains(&shard),
                None => (u32::from(r.cell.0) + cells - first) % cells < self.settings.cells_per_shard.max(1),
            };
            let ready = self.replicas.iter().filter(|r| r.1.ready && holds(r));
            self.rotation.set_holders(shard, ready.map(|(id, _)| *id));
        }
        self.balance();
    }

    /// Has each replica bear by what it can do now.
    pub(super) fn balance(&mut self) {
        let capacity = |r: &Replica| {
            let warm = r.slow_start.capacity(self.settings.slow_start, self.now);
            (warm * FAILURE_FACTOR.powi(r.strikes as i32)).max(MIN_CAPACITY)
        };
        let capacities = self.replicas.iter().map(|(id, r)| (*id, capacity(r))).collect();
        self.rotation.balance(&capacities);
    }

    pub(super) fn on_outcome(&mut self, part: PartId, attempt: AttemptNo, outcome: Outcome, elapsed: Nanos) {
        let Some((replica, class, place, idle)) = self.flights.remove(&(part, attempt)) else { return };
        let (now, typical) = (self.now, self.latency.mean());
        let aim = self.settings.class(class).latency_objective as f64;
        let fade = ERROR_FADE_AIMS * self.settings.min_latency_objective() as f64;
        if let Some(r) = self.replicas.get_mut(&replica) {
            let sent = now.saturating_sub(elapsed);
            r.flights.retain(|f| (f.1, f.2) != (part, attempt));
            let silent = r.last_ok < sent;
            self.connections.record_attempt(idle, outcome != Outcome::Ok && silent);
            if matches!(outcome, Outcome::Ok | Outcome::Error) {
                r.errors.record_decayed(now, fade, f64::from(outcome == Outcome::Error), ERROR_GAIN);
            }
            let brief =
                (elapsed as f64) < OVERDUE_RATIO * self.latency.baseline() && now - r.last_ok < aim as Nanos;
            match outcome {
                Outcome::Ok => {
                    r.strikes = 0;
                    r.pace.record(now, elapsed as f64, PACE_GAIN);
                    r.last_ok = now;
                    r.used = now;
                    self.latency.record(class, elapsed, place);
                }
                // Turned away in no time, yet a full waiting room is a long wait, whatever was seen before.
                Outcome::Rejected => r.pace.raise_to(now, aim),
                // Not sent, lost with an idle connection, or ended early where answers came lately: no sign.
                _ if outcome == Outcome::NotSent || (idle && silent && reaped(&self.connections)) => {}
                Outcome::Cancelled | Outcome::Reset | Outcome::Error if brief => {}
                _ if !silent && outcome != Outcome::ConnectFailed => {
                    // Given up on while others were answered: the wait is known to be at least this long.
                    r.pace.record_lower_bound(now, elapsed as f64, PACE_GAIN);
                }
                _ => {
                    // Nothing answered since it was sent: a trial after two typical responses, then four, ...
                    r.strikes += 1;
                    r.trial_at = now + (typical * f64::from(1u32 << r.strikes.min(4))) as Nanos;
                }
            }
        }
        self.queries.complete_attempt(part, attempt, outcome, now);
    }

    /// The one judgement of a replica: the wait to expect there. The longest of what it took lately, which
    /// fades; how long its oldest part has been out; and what own parts there cost.
    /// One that was silent, or has a part out past the aim, has an aim on top: it is passed over where
    /// another can be had. When a trial is due the classes with parts to spare make it; the others have half
    /// an aim on top, so that nothing is refused for ever for a silence that is long over.
    fn wait_at(&self, r: &Replica, class: &Class) -> f64 {
        let aim = self.settings.min_latency_objective() as f64;
        let calm = self.latency.mean().min(aim * CALM_SHARE);
        let pace = r.pace.value_at(self.now, (FADE_AIMS * aim).max(self.connections.reuse_interval()), calm);
        let out = r.flights.first().map_or(0, |f| self.now - f.0);
        let per_part = self.latency.per_in_flight().min(aim * CALM_SHARE);
        let wait = pace.max(out as f64).max(per_part * (r.flights.len() as f64 + 1.0));
        let trial = r.flights.is_empty() && self.now >= r.trial_at;
        let shut = (r.strikes > 0 && !trial) || out >= class.latency_objective;
        let all_needed = !class.allows_partial();
        let on_top = if shut { 1.0 } else { f64::from(r.strikes > 0 && all_needed) / 2.0 };
        wait + on_top * class.latency_objective as f64
    }

    /// Work of a part with its call, as far as observed.
    pub(super) fn work(&self, class: ClassId) -> f64 {
        self.latency.work(class) + self.settings.call_overhead as f64
    }

    /// What errors there may cost a part, as time: one that must not run twice is lost with its query.
    /// A replica that fails fast looks idle; parts that can go again find out when it is sound again.
    fn risk_at(&self, r: &Replica, class: &Class) -> f64 {
        let errors =
            r.errors.value_at(self.now, ERROR_FADE_AIMS * self.settings.min_latency_objective() as f64, 0.0);
        let unrepeatable = class.effect == Effect::NonIdempotent;
        errors * if unrepeatable { class.latency_objective as f64 } else { ERROR_COST * self.latency.mean() }
    }

    /// Where a part goes, with the wait to expect there.
    pub(super) fn pick(&self, class: ClassId, shard: ShardId, not: &[ReplicaId]) -> Option<(ReplicaId, f64)> {
        self.fit(class, shard, not).first().copied()
    }

    /// A shard's replicas in turn, skipping one with a part out past the aim; if all are, the next goes.
    /// Beyond the design it skips any whose wait is far over the shard's best; with all slow it skips none.
    fn fit(&self, class: ClassId, shard: ShardId, not: &[ReplicaId]) -> Vec<(ReplicaId, f64)> {
        let c = self.settings.class(class);
        let able: Vec<(ReplicaId, f64, f64)> = self
            .rotation
            .in_turn(shard)
            .filter(|id| !not.contains(id))
            .filter_map(|id| self.replicas.get(&id).map(|r| (id, r)))
            .filter(|(_, r)| r.slow_start.admits(self.work(class), &self.settings, self.now))
            .map(|(id, r)| (id, self.wait_at(r, c), self.risk_at(r, c)))
            .collect();
        let best = able.iter().map(|r| r.1 + r.2).fold(f64::INFINITY, f64::min);
        let fit = able.iter().filter(|r| r.1 + r.2 <= SKIP_RATIO * best + 0.5 * self.latency.mean());
        fit.map(|r| (r.0, r.1)).collect()
    }
}
