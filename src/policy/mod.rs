//! Every decision of the coordinator. Its types, events and actions: `src/interface.rs`.
//!
//! Each batch of events is applied, then every open query is advanced in order of arrival: admit, send,
//! retry, answer or give up. Each rule is checked where its action leaves: `send`, `finish`.

mod admission;
mod controller;
mod quality;
mod replicas;
mod rotation;
mod sending;
mod slow_start;

use crate::interface::*;
use crate::queries::{Attempt, FirstAnswer, Part, PartKey, Query, QueryNo, QueryTable, Stage};
use crate::stats::{
    exponential, ConnectionUse, DecayingAverage, FleetLatency, RatioBudget, RecentValues, TokenBucket,
};
use controller::PidController;
use quality::QUALITY_WINDOW;
use replicas::{reaped, Replica};
use rotation::Rotation;
use slow_start::SlowStartGuard;
use std::collections::{BTreeMap, BTreeSet};

/// Ticks kept free before an aim: one to see the answer, one to send it, one for the way to the client.
const AIM_TICKS: u64 = 3;
/// Ticks kept free before the client's time is up.
const END_TICKS: u64 = 4;
/// Period of the controller, in ticks; open queries are looked at after each tenth of it.
const CONTROL_TICKS: u64 = 50;
/// A replica that is not ready is forgotten after so many windows.
const GONE_WINDOWS: u64 = 3;
/// A part is overdue after so many times the fleet's usual response time.
const OVERDUE_RATIO: f64 = 5.5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Final {
    Answer,
    /// Refused where that is true and harmless, failed otherwise.
    GiveUp,
}

/// The decisions of one coordinator.
#[derive(Debug, Default)]
pub struct DecisionPolicy {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    queries: QueryTable,
    /// Where each attempt is, its class, how many of this instance's were there, it included, and whether
    /// it went out on a connection that had been idle.
    flights: BTreeMap<(PartId, AttemptNo), (ReplicaId, ClassId, f64, bool)>,
    replicas: BTreeMap<ReplicaId, Replica>,
    rotation: Rotation,
    /// What a replica holds where its cell does not tell.
    placed: BTreeMap<ReplicaId, BTreeSet<ShardId>>,
    latency: FleetLatency,
    connections: ConnectionUse,
    /// Retries and hedged requests against what was received; see rule 6.
    retries: RatioBudget,
    ranks: RecentValues,
    quotas: Vec<TokenBucket>,
    controller: PidController,
    control_at: Nanos,
    ask_at: Option<Nanos>,
    wake: Nanos,
}

impl DecisionPolicy {
    /// An instance that holds nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let shards = settings.shards as usize;
        let mut module = Self {
            rng: fastrand::Rng::with_seed(seed),
            now,
            latency: FleetLatency::new(&settings),
            quotas: vec![TokenBucket::new(1.0, now); settings.tenants.len()],
            controller: PidController::new(),
            control_at: now,
            ask_at: settings.max_poll_interval.map(|_| now),
            settings,
            ..Self::default()
        };
        module.rotation.grow(shards, &mut module.rng);
        module
    }

    /// Takes a batch of events that came at `now`, in order, and appends what is to be done, in order.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.take(event, actions);
        }
        if self.ask_at.is_some_and(|at| at <= self.now) {
            actions.push(Action::Subscribe);
            self.ask_at = Some(self.now + self.settings.max_poll_interval.unwrap_or(Nanos::MAX) / 2);
        }
        self.control();
        let numbers: Vec<QueryNo> = self.queries.numbers().collect();
        for number in numbers {
            self.step(number, actions);
        }
        self.wake_up(actions);
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { kind, endpoints } => self.take_list(*kind, endpoints),
            Event::Placement { replica, shards } => {
                let count = shards.iter().map(|shard| shard.0 as usize + 1).max().unwrap_or(0);
                self.rotation.grow(count, &mut self.rng);
                self.placed.insert(*replica, shards.iter().copied().collect());
            }
            Event::Query { query, group, class, tenant, expected_work, time_left } => {
                let Some(c) = self.settings.classes.get(usize::from(class.0)).cloned() else {
                    return actions.push(Action::Fail(*query));
                };
                let stretch = (c.objective_stretch * expected_work.unwrap_or(0) as f64) as Nanos;
                let objective = (c.latency_objective + stretch).min(c.deadline);
                let share = if self.over_quota(*tenant) { self.settings.over_quota_weight } else { 1.0 };
                let priority = c.priority_weight * share;
                let time_left = time_left.saturating_sub(self.settings.ticks(END_TICKS));
                let deadline = self.now.saturating_add(time_left);
                let respond_by = self.now + objective.saturating_sub(self.settings.ticks(AIM_TICKS));
                self.retries.earn(self.now);
                let top = priority >= self.settings.max_priority_weight();
                let sampled = top && quality::take_sample(self.queries.samples().count(), &mut self.rng);
                self.queries.insert(Query {
                    id: *query,
                    class: *class,
                    group: *group,
                    priority,
                    admission_draw: self.rng.f64(),
                    stage: Stage::Received,
                    received_at: self.now,
                    respond_by: respond_by.min(deadline),
                    deadline,
                    sampled,
                    first_answer: None,
                    parts: Vec::new(),
                });
            }
            Event::Part { part, group, shard, weight } => {
                self.retries.earn(self.now);
                self.queries.add_part(*group, Part::new(*part, *shard, *weight));
            }
            Event::Outcome { part, attempt, outcome, elapsed } => {
                self.on_outcome(*part, *attempt, *outcome, *elapsed)
            }
            Event::Abandoned(query) => {
                if let Some(query) = self.queries.find_open_mut(*query) {
                    query.stage = Stage::Closed;
                    // Nobody waits for these any more: on poor links clients leave long before their time.
                    let parts = query.parts.iter().filter(|_| self.settings.cancellation);
                    actions.extend(parts.flat_map(Part::cancellations));
                }
            }
            Event::Settings { settings, class_mapping } => self.take_settings(settings, class_mapping),
            Event::TimerFired => self.wake = 0,
        }
    }

    /// What was seen of replicas and classes stays; a class that is new begins with a guess.
    fn take_settings(&mut self, settings: &Settings, heirs: &[ClassId]) {
        self.latency.apply_settings(settings, heirs);
        self.quotas.resize(settings.tenants.len(), TokenBucket::new(1.0, self.now));
        self.settings = settings.clone();
        self.rotation.grow(settings.shards as usize, &mut self.rng);
        let ask_at = self.ask_at;
        self.take_list(EndpointListKind::Delta, &[]);
        self.ask_at = ask_at;
    }

    /// The one way out for a query. Rules 1, 2 and 5 are checked here.
    fn finish(&mut self, number: QueryNo, how: Final, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open_mut(number) else { return };
        let class = self.settings.class(query.class);
        let risky = class.effect != Effect::Idempotent && query.parts.iter().any(Part::may_have_run);
        match how {
            Final::Answer => {
                let weight = query.answered_weight();
                let follow_up = query.stage == Stage::FollowUp;
                let floor =
                    if follow_up { class.min_share } else { class.min_share.min(class.required_share) };
                // All parts are all of it, whatever rounding left of their weights: many sum to less than 1.
                let all = query.all_answered();
                if !all && (weight + 1e-6 < floor || (follow_up && !class.allows_partial())) {
                    return;
                }
                let enough = all || (!follow_up && weight + 1e-6 >= class.required_share);
                let complete = enough && query.first_answer.is_none_or(|first| first.complete);
                actions.push(Action::Answer { query: query.id, complete });
                let first = query.first_answer.is_none();
                query.first_answer = query.first_answer.or(Some(FirstAnswer { at: self.now, complete }));
                if first && class.follow_up_parts > 0 {
                    query.stage = Stage::FollowUp;
                    return;
                }
            }
            Final::GiveUp if !risky => {
                let drawn = 0.5 * self.rng.f64() / self.settings.reduction.retry_after_factor.max(1.0);
                let retry_after =
                    self.settings.max_retry_after.map(|max| (max as f64 * (1.0 - drawn)) as Nanos);
                actions.push(Action::Reject { query: query.id, retry_after });
            }
            Final::GiveUp => actions.push(Action::Fail(query.id)),
        }
        // A sample's late parts run on to the record limit; the others are cancelled.
        let sampled = query.sampled && !self.settings.reduction.skip_late_samples;
        let runs_on = |part: &Part| sampled && !part.follow_up && !part.is_answered();
        let parts = query.parts.iter().filter(|part| self.settings.cancellation && !runs_on(part));
        actions.extend(parts.flat_map(Part::cancellations));
        query.stage = Stage::Closed;
    }

    /// Advances an open query: admits or rejects it, sends its parts, and ends it when that is due.
    fn step(&mut self, number: QueryNo, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open(number) else { return };
        let class = self.settings.class(query.class).clone();
        if query.stage == Stage::Received && !self.admit(number, &class) {
            return self.finish(number, Final::GiveUp, actions);
        }
        self.send_parts(number, &class, actions);
        let Some(query) = self.queries.get(number) else { return };
        let partial = class.allows_partial();
        let weight = query.answered_weight();
        let time = query.respond_by.saturating_sub(query.received_at) as f64;
        let answer_at = query.received_at + (self.settings.reduction.answer_after * time) as Nanos;
        let first = query.stage == Stage::FirstStep;
        let required = first && weight >= class.required_share && class.required_share < 1.0;
        let due = self.now >= answer_at;
        if query.all_requested_answered()
            || required
            || (due && partial && weight > 0.0 && weight >= class.min_share)
        {
            return self.finish(number, Final::Answer, actions);
        }
        let lost = |p: &&Part| !p.is_answered() && p.in_flight().next().is_none() && !self.may_try(p, &class);
        let gone: f64 = query.step_parts().filter(lost).map(|part| part.weight).sum();
        let hopeless = if partial { 1.0 - gone < class.min_share - 1e-6 } else { gone > 0.0 };
        let worthless = class.late_weight <= 0.0 && self.now >= query.respond_by;
        if self.now >= query.deadline || hopeless || worthless {
            self.finish(number, Final::GiveUp, actions);
        }
    }

    /// Forgets what is over, and sets the admitted share by the quality of the last window.
    fn control(&mut self) {
        if self.now < self.control_at {
            return;
        }
        let period = self.settings.ticks(CONTROL_TICKS);
        self.control_at = self.now + period;
        let horizon = self.now.saturating_sub(QUALITY_WINDOW);
        self.queries.remove_closed(horizon);
        // Replicas are replaced by new ones for ever; one that comes back is told anew, with its start.
        let unused = self.now.saturating_sub(GONE_WINDOWS * QUALITY_WINDOW);
        self.replicas.retain(|_, r| r.ready || !r.flights.is_empty() || r.listed > unused);
        self.placed.retain(|id, _| self.replicas.contains_key(id));
        self.retries.expire(self.now, self.settings.retry_budget.map_or(0, |b| 2 * b.window));
        self.balance();
        let last_ok = |a: &Attempt| self.replicas.get(&a.replica).map(|r| r.last_ok);
        let reading = quality::measure(
            self.queries.samples(),
            |a| last_ok(a).is_some_and(|ok| ok > a.sent_at),
            self.now,
        );
        self.controller.update(&reading, period);
    }

    fn wake_up(&mut self, actions: &mut Vec<Action>) {
        let dues = self.queries.open().flat_map(|query| [query.respond_by, query.deadline]);
        let poll = self.queries.open().next().map(|_| self.now + self.settings.ticks(CONTROL_TICKS / 10));
        let idle = Some(self.control_at.max(self.now + self.settings.tick));
        let next = dues.filter(|t| *t > self.now).chain(poll).chain(idle).chain(self.ask_at).min();
        if let Some(at) = next.filter(|at| self.wake <= self.now || *at < self.wake) {
            self.wake = at;
            actions.push(Action::SetTimer(at));
        }
    }
}
