//! Every decision of the coordinator. Its types, events and actions: `src/interface.rs`.
//!
//! Each batch of events is applied, then every open query is advanced in order of arrival: admit, send,
//! retry, answer or give up. Each rule is checked where its action leaves: `send`, `finish`.

mod admission;
mod cold;
mod controller;
mod quality;
mod query;
mod replicas;
mod sending;
mod shares;

use crate::interface::*;
use crate::stats::{
    exponential, ConnectionUse, DecayingAverage, FleetLatency, RatioBudget, RecentValues, TimeWindow,
    TokenBucket,
};
use admission::{outlook, LIGHT_CROWD, TOP_CROWD};
use controller::PidController;
use quality::QUALITY_WINDOW;
use query::{Attempt, Part, Query, Stage};
use replicas::{reaped, Replica};
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

/// A part: its query, and its place there.
type PartAt = (u64, usize);

/// The decisions of one coordinator.
#[derive(Debug, Default)]
pub struct DecisionPolicy {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    queries: BTreeMap<u64, Query>,
    next_query: u64,
    parts: BTreeMap<PartId, PartAt>,
    /// Where each attempt is, its class, how many of this instance's were there, it included, and whether
    /// it went out on a connection that had been idle.
    flights: BTreeMap<(PartId, AttemptNo), (ReplicaId, ClassId, f64, bool)>,
    replicas: BTreeMap<ReplicaId, Replica>,
    /// Who holds each shard, and its share of the turns.
    holders: Vec<Vec<(ReplicaId, f64)>>,
    /// What a replica holds where its cell does not tell.
    placed: BTreeMap<ReplicaId, BTreeSet<ShardId>>,
    /// Where the turns of each shard are, 0 to 1.
    turns: Vec<f64>,
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
        module.grow(shards);
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
        let open: Vec<u64> = self.queries.keys().copied().collect();
        for seq in open {
            self.step(seq, actions);
        }
        self.wake_up(actions);
    }

    fn take(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { kind, endpoints } => self.take_list(*kind, endpoints),
            Event::Placement { replica, shards } => {
                self.grow(shards.iter().map(|s| s.0 as usize + 1).max().unwrap_or(0));
                self.placed.insert(*replica, shards.iter().copied().collect());
            }
            Event::Query { query, group, class, tenant, expected_work, time_left } => {
                let Some(c) = self.settings.classes.get(usize::from(class.0)).cloned() else {
                    return actions.push(Action::Fail(*query));
                };
                let stretch = (c.objective_stretch * expected_work.unwrap_or(0) as f64) as Nanos;
                let aim = (c.latency_objective + stretch).min(c.deadline);
                let share = if self.over_quota(*tenant) { self.settings.over_quota_weight } else { 1.0 };
                let worth = c.priority_weight * share;
                let end = self.now.saturating_add(time_left.saturating_sub(self.settings.ticks(END_TICKS)));
                let due = self.now + aim.saturating_sub(self.settings.ticks(AIM_TICKS));
                self.retries.earn(self.now);
                let samples = self.queries.values().filter(|q| q.sampled).count();
                let top = worth >= self.settings.max_priority_weight();
                let sampled = top && quality::take_sample(samples, &mut self.rng);
                let seq = self.next_query;
                self.next_query += 1;
                let q = Query {
                    id: *query,
                    class: *class,
                    group: *group,
                    worth,
                    luck: self.rng.f64(),
                    stage: Stage::New,
                    taken: self.now,
                    due: due.min(end),
                    end,
                    sampled,
                    first: None,
                    parts: Vec::new(),
                };
                self.queries.insert(seq, q);
            }
            Event::Part { part, group, shard, weight } => {
                self.retries.earn(self.now);
                let mut open = self.queries.iter_mut().rev().filter(|(_, q)| q.open());
                let Some((seq, q)) = open.find(|(_, q)| q.group == *group) else { return };
                self.parts.insert(*part, (*seq, q.parts.len()));
                let second = q.stage == Stage::Second;
                let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
                let (id, class, shard) = (*part, q.class, *shard);
                q.parts.push(Part { id, class, shard, weight, second, asked: true, ..Part::default() });
            }
            Event::Outcome { part, attempt, outcome, elapsed } => {
                self.on_outcome(*part, *attempt, *outcome, *elapsed)
            }
            Event::Abandoned(query) => {
                if let Some(q) = self.queries.values_mut().find(|q| q.id == *query && q.open()) {
                    q.stage = Stage::Over;
                    // Nobody waits for these any more: on poor links clients leave long before their time.
                    let parts = q.parts.iter().filter(|_| self.settings.cancellation);
                    actions.extend(parts.flat_map(Part::call_off));
                }
            }
            Event::Settings { settings, class_mapping } => self.take_settings(settings, class_mapping),
            Event::TimerFired => self.wake = 0,
        }
    }

    /// Shards that are new get their places here. Where turns begin is drawn: were it the same everywhere,
    /// instances with little traffic would go in step.
    fn grow(&mut self, shards: usize) {
        let most = shards.max(self.holders.len());
        self.holders.resize(most, Vec::new());
        let rng = &mut self.rng;
        self.turns.resize_with(most, || rng.f64());
    }

    /// What was seen of replicas and classes stays; a class that is new begins with a guess.
    fn take_settings(&mut self, settings: &Settings, heirs: &[ClassId]) {
        self.latency.apply_settings(settings, heirs);
        self.quotas.resize(settings.tenants.len(), TokenBucket::new(1.0, self.now));
        self.settings = settings.clone();
        self.grow(settings.shards as usize);
        let ask_at = self.ask_at;
        self.take_list(EndpointListKind::Delta, &[]);
        self.ask_at = ask_at;
    }

    /// The one way out for a query. Rules 1, 2 and 5 are checked here.
    fn finish(&mut self, seq: u64, how: Final, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&seq).filter(|q| q.open()) else { return };
        let c = self.settings.class(q.class);
        let risky = c.effect != Effect::Idempotent && q.parts.iter().any(Part::may_have_run);
        match how {
            Final::Answer => {
                let weight = q.weight_in();
                let second = q.stage == Stage::Second;
                let floor = if second { c.min_share } else { c.min_share.min(c.required_share) };
                // All parts are all of it, whatever rounding left of their weights: many sum to less than 1.
                let all = q.complete(false);
                if !all && (weight + 1e-6 < floor || (second && !c.allows_partial())) {
                    return;
                }
                let enough = all || (!second && weight + 1e-6 >= c.required_share);
                let complete = enough && q.first.is_none_or(|f| f.1);
                actions.push(Action::Answer { query: q.id, complete });
                let first = q.first.is_none();
                q.first = q.first.or(Some((self.now, complete)));
                if first && c.follow_up_parts > 0 {
                    q.stage = Stage::Second;
                    return;
                }
            }
            Final::GiveUp if !risky => {
                let drawn = 0.5 * self.rng.f64() / self.settings.reduction.retry_after_factor.max(1.0);
                let retry_after =
                    self.settings.max_retry_after.map(|max| (max as f64 * (1.0 - drawn)) as Nanos);
                actions.push(Action::Reject { query: q.id, retry_after });
            }
            Final::GiveUp => actions.push(Action::Fail(q.id)),
        }
        // A sample's late parts run on to the record limit; the others are called off.
        let sampled = q.sampled && !self.settings.reduction.skip_late_samples;
        let runs_on = |p: &Part| sampled && !p.second && p.came.is_none();
        let parts = q.parts.iter().filter(|p| self.settings.cancellation && !runs_on(p));
        actions.extend(parts.flat_map(Part::call_off));
        q.stage = Stage::Over;
    }

    /// Looks at an open query: admits or refuses it, sends, and ends it when that is due.
    fn step(&mut self, seq: u64, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&seq).filter(|q| q.open()) else { return };
        let c = self.settings.class(q.class).clone();
        if q.stage == Stage::New {
            let waits = self.waits(q);
            let (crowd, late) = (self.crowd(q, &waits), q.due.saturating_sub(self.now) as f64 * TOP_CROWD.0);
            if self.turned_away(seq, crowd) {
                return self.finish(seq, Final::GiveUp, actions);
            }
            let admitted = self.controller.admitted_share().min(outlook(crowd, LIGHT_CROWD));
            let long = waits.iter().filter(|w| c.allows_partial() && w.0 >= late).map(|w| w.2);
            if let Some(q) = self.queries.get_mut(&seq) {
                q.stage = Stage::First;
                q.trim(c.min_share, admitted, long);
                for (at, p) in q.parts.iter().enumerate() {
                    self.parts.insert(p.id, (seq, at));
                }
            }
        }
        self.send_parts(seq, &c, actions);
        let Some(q) = self.queries.get(&seq) else { return };
        let partial = c.allows_partial();
        let weight = q.weight_in();
        let first = q.stage == Stage::First;
        let early = self.settings.reduction.answer_after * q.due.saturating_sub(q.taken) as f64;
        let due = self.now >= q.taken + early as Nanos;
        let enough = q.complete(true) || (first && weight >= c.required_share && c.required_share < 1.0);
        if enough || (due && partial && weight > 0.0 && weight >= c.min_share) {
            return self.finish(seq, Final::Answer, actions);
        }
        let lost = |p: &Part| p.came.is_none() && p.out() == 0 && !self.may_try(p, &c);
        let gone: f64 = q.parts.iter().filter(|p| p.second != first && lost(p)).map(|p| p.weight).sum();
        let hopeless = if partial { 1.0 - gone < c.min_share - 1e-6 } else { gone > 0.0 };
        let worthless = c.late_weight <= 0.0 && self.now >= q.due;
        if self.now >= q.end || hopeless || worthless {
            self.finish(seq, Final::GiveUp, actions);
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
        self.queries.retain(|_, q| q.open() || (q.sampled && q.taken >= horizon));
        self.parts.retain(|_, (seq, _)| self.queries.contains_key(seq));
        // Replicas are replaced by new ones for ever; one that comes back is told anew, with its start.
        let unused = self.now.saturating_sub(GONE_WINDOWS * QUALITY_WINDOW);
        self.replicas.retain(|_, r| r.ready || !r.flights.is_empty() || r.listed > unused);
        self.placed.retain(|id, _| self.replicas.contains_key(id));
        self.retries.expire(self.now, self.settings.retry_budget.map_or(0, |b| 2 * b.window));
        self.balance();
        let samples = self.queries.values().filter(|q| q.sampled);
        let last_ok = |a: &Attempt| self.replicas.get(&a.replica).map(|r| r.last_ok);
        let reading = quality::measure(samples, |a| last_ok(a).is_some_and(|ok| ok > a.at), self.now);
        self.controller.update(&reading, period);
    }

    fn wake_up(&mut self, actions: &mut Vec<Action>) {
        let open = || self.queries.values().filter(|q| q.open());
        let dues = open().flat_map(|q| [q.due, q.end]);
        let poll = open().next().map(|_| self.now + self.settings.ticks(CONTROL_TICKS / 10));
        let idle = Some(self.control_at.max(self.now + self.settings.tick));
        let next = dues.filter(|t| *t > self.now).chain(poll).chain(idle).chain(self.ask_at).min();
        if let Some(at) = next.filter(|at| self.wake <= self.now || *at < self.wake) {
            self.wake = at;
            actions.push(Action::SetTimer(at));
        }
    }
}
