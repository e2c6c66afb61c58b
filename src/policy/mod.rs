//! Decision policy of the coordinator; its settings, events and actions are in `src/interface/`.
//!
//! [`DecisionPolicy::handle`] applies a batch of events, then advances every open query in order of
//! arrival: it admits or rejects the query, sends and retries its parts, and answers, rejects or
//! fails the query. Each submodule makes one kind of decision and owns the state for it:
//!
//! * `admission`: which queries are admitted, and which parts of an admitted query are omitted;
//! * `attempts`: which attempts are sent; `replicas`: which replica an attempt is sent to;
//! * `answers`: when a query is answered, rejected or failed, and whether its answer is complete;
//! * `quality`: sampling and measurement of answer quality, the admission controller's input;
//! * `polling`: when to poll for the endpoint list; `fleet`: statistics over all replicas;
//! * `margins`: time reserved before latency objectives and deadlines.
//!
//! The design follows "Obtaining and Managing Answer Quality for Online Data-Intensive Services"
//! (Ubora, by Kelley et al.): the quality of sampled answers determines how many queries of low
//! priority are admitted. `docs/rules.md` lists the rules that every decision must obey; comments
//! refer to them by name.

mod admission;
mod answers;
mod attempts;
mod fleet;
mod margins;
mod polling;
mod quality;
mod replicas;

use crate::interface::{
    Action, Endpoint, EndpointListKind, Event, Nanos, Outcome, QueryId, ReplicaId, Settings,
    TenantId,
};
use crate::queries::{AttemptKey, Part, Query, QueryNo, QueryTable, Stage};
use admission::Admission;
use answers::{due_resolution, resolve, Resolution};
use attempts::{attempt_timeout, AttemptSender};
use margins::{DEADLINE_MARGIN_TICKS, OBJECTIVE_MARGIN_TICKS};
use polling::PollSchedule;
use quality::{measure_quality, should_sample, QUALITY_WINDOW};
use replicas::ReplicaTable;

/// Period of the admission controller, in ticks.
const CONTROL_PERIOD_TICKS: u64 = 50;
/// Longest time between two checks of open queries, in ticks.
const CHECK_PERIOD_TICKS: u64 = 5;
/// Time since its last listing after which a replica that is not ready is removed, in quality
/// windows.
const REMOVAL_DELAY_WINDOWS: u64 = 3;

/// Decision policy of one coordinator.
#[derive(Debug)]
pub struct DecisionPolicy {
    settings: Settings,
    /// Time of the current batch.
    now: Nanos,
    rng: fastrand::Rng,
    queries: QueryTable,
    replicas: ReplicaTable,
    admission: Admission,
    attempts: AttemptSender,
    polls: PollSchedule,
    next_control_at: Nanos,
    /// Time of the timer that is set; 0 if none is.
    timer_at: Nanos,
}

impl DecisionPolicy {
    /// Creates a policy without queries or replicas; `seed` determines its random draws.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        DecisionPolicy {
            queries: QueryTable::default(),
            replicas: ReplicaTable::new(&settings, &mut rng),
            admission: Admission::new(&settings, now),
            attempts: AttemptSender::default(),
            polls: PollSchedule::new(settings.max_poll_interval, now),
            next_control_at: now,
            timer_at: 0,
            settings,
            now,
            rng,
        }
    }

    /// Applies a batch of events received at `now`, in order, and appends the resulting actions, in
    /// order.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.apply(event, actions);
        }
        if self
            .polls
            .take_due(self.settings.max_poll_interval, self.now)
        {
            actions.push(Action::Subscribe);
        }
        if self.now >= self.next_control_at {
            self.control();
        }
        let numbers: Vec<QueryNo> = self.queries.numbers().collect();
        for number in numbers {
            self.advance(number, actions);
        }
        self.set_timer(actions);
    }

    /// Returns the ready replicas that hold shards, but that no part of the first active class
    /// would be sent to now.
    #[must_use]
    pub fn avoided_replicas(&self) -> Vec<ReplicaId> {
        self.replicas.avoided(&self.settings, self.now)
    }

    fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let now = self.now;
        match event {
            Event::Endpoints { kind, endpoints } => self.apply_list(*kind, endpoints),
            Event::Placement { replica, shards } => {
                self.replicas.set_placement(*replica, shards, &mut self.rng);
            }
            Event::Query {
                query,
                group,
                class,
                tenant,
                expected_work,
                time_left,
            } => {
                let received = Query::new(*query, *class, *group, now);
                let expected_work = expected_work.unwrap_or(0);
                self.receive(received, *tenant, expected_work, *time_left, actions);
            }
            Event::Part {
                part,
                group,
                shard,
                weight,
            } => {
                self.attempts.record_received(now);
                self.queries
                    .add_part(*group, Part::new(*part, *shard, *weight));
            }
            Event::Outcome {
                part,
                attempt,
                outcome,
                elapsed,
            } => {
                let key = AttemptKey {
                    part: *part,
                    attempt: *attempt,
                };
                self.complete(key, *outcome, *elapsed);
            }
            Event::Abandoned(query) => self.abandon(*query, actions),
            Event::Settings {
                settings,
                class_mapping,
            } => {
                self.settings = Settings::clone(settings);
                self.admission.apply_settings(settings, now);
                let rng = &mut self.rng;
                self.replicas
                    .apply_settings(settings, class_mapping, rng, now);
            }
            Event::TimerFired => self.timer_at = 0,
        }
    }

    /// Applies an endpoint list, or records that a poll for it failed.
    fn apply_list(&mut self, kind: EndpointListKind, endpoints: &[Endpoint]) {
        let now = self.now;
        let rng = &mut self.rng;
        if kind == EndpointListKind::Failed {
            let max_interval = self.settings.max_poll_interval;
            self.polls.record_failure(max_interval, now, rng);
        } else {
            self.polls.record_list(kind);
            self.replicas
                .apply_list(kind, endpoints, &self.settings, rng, now);
        }
    }

    /// Records how an attempt ended, unless it is not in flight.
    fn complete(&mut self, key: AttemptKey, outcome: Outcome, elapsed: Nanos) {
        let now = self.now;
        let settings = &self.settings;
        if self.replicas.complete(key, outcome, elapsed, settings, now) {
            self.queries
                .complete_attempt(key.part, key.attempt, outcome, now);
        }
    }

    /// Closes a query whose client disconnected, and cancels its attempts in flight: their answers
    /// are no longer needed.
    fn abandon(&mut self, query: QueryId, actions: &mut Vec<Action>) {
        let abandoned = self.queries.abandon(query);
        if let Some(query) = abandoned.filter(|_| self.settings.cancellation) {
            actions.extend(query.parts.iter().flat_map(Part::cancellations));
        }
    }

    /// Adds a query that was received, or fails it if its class is unknown.
    fn receive(
        &mut self,
        mut query: Query,
        tenant: TenantId,
        expected_work: Nanos,
        time_left: Nanos,
        actions: &mut Vec<Action>,
    ) {
        let settings = &self.settings;
        let Some(class) = settings.classes.get(usize::from(query.class.0)) else {
            actions.push(Action::Fail(query.id));
            return;
        };
        let extension = (class.objective_stretch * expected_work as f64) as Nanos;
        let objective = (class.latency_objective + extension).min(class.deadline);
        let objective_margin = settings.ticks(OBJECTIVE_MARGIN_TICKS);
        let deadline_margin = settings.ticks(DEADLINE_MARGIN_TICKS);
        let time_to_deadline = time_left.saturating_sub(deadline_margin);
        query.deadline = self.now.saturating_add(time_to_deadline);
        query.respond_by =
            (self.now + objective.saturating_sub(objective_margin)).min(query.deadline);
        query.priority = class.priority_weight;
        if self.admission.is_over_quota(tenant, settings, self.now) {
            query.priority *= settings.over_quota_weight;
        }
        if query.priority >= settings.max_priority_weight() {
            let samples = self.queries.samples().count();
            query.sampled = should_sample(samples, &mut self.rng);
        }
        query.admission_draw = self.rng.f64();
        self.attempts.record_received(self.now);
        self.queries.insert(query);
    }

    /// Advances an open query: admits or rejects it, sends its parts, and answers, rejects
    /// or fails it when that is due.
    fn advance(&mut self, number: QueryNo, actions: &mut Vec<Action>) {
        if !self.admit(number) {
            self.resolve(number, Resolution::RejectOrFail, actions);
            return;
        }
        self.send_parts(number, actions);
        let query = self.queries.get_open(number);
        let due = query.and_then(|query| due_resolution(query, &self.settings, self.now));
        if let Some(resolution) = due {
            self.resolve(number, resolution, actions);
        }
    }

    /// Admits a query if it was received in this batch; returns false if it is rejected.
    fn admit(&mut self, number: QueryNo) -> bool {
        let Some(query) = self.queries.get_open_mut(number) else {
            return true;
        };
        if query.stage != Stage::Received {
            return true;
        }
        let settings = &self.settings;
        let admitted = self
            .admission
            .admit(query, &self.replicas, settings, self.now);
        if admitted {
            query.stage = Stage::FirstStep;
            self.queries.reindex(number);
        }
        admitted
    }

    /// Sends, retries and cancels attempts at the parts of an open query, as needed.
    fn send_parts(&mut self, number: QueryNo, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get_open_mut(number) else {
            return;
        };
        let settings = &self.settings;
        let is_rejecting = self.admission.is_rejecting();
        let timeout = attempt_timeout(query, is_rejecting, settings, self.now);
        let replicas = &mut self.replicas;
        let rng = &mut self.rng;
        let sent = self
            .attempts
            .send_parts(query, timeout, replicas, settings, rng, self.now);
        actions.extend(sent);
    }

    /// Answers, rejects or fails an open query.
    fn resolve(&mut self, number: QueryNo, resolution: Resolution, actions: &mut Vec<Action>) {
        if let Some(query) = self.queries.get_open_mut(number) {
            let rng = &mut self.rng;
            actions.extend(resolve(query, resolution, &self.settings, rng, self.now));
        }
    }

    /// Removes expired state, rebalances the replicas, and updates the admission controller by the
    /// answer quality of the last window.
    fn control(&mut self) {
        let now = self.now;
        let period = self.settings.ticks(CONTROL_PERIOD_TICKS);
        self.next_control_at = now + period;
        let window_start = now.saturating_sub(QUALITY_WINDOW);
        self.queries.remove_closed(window_start);
        let removal_horizon = now.saturating_sub(REMOVAL_DELAY_WINDOWS * QUALITY_WINDOW);
        self.replicas.remove_unlisted(removal_horizon);
        self.attempts.expire(&self.settings, now);
        self.replicas.balance(&self.settings, now);
        let answered_since = |attempt: &_| self.replicas.has_answered_since(attempt);
        let measurement = measure_quality(self.queries.samples(), answered_since, now);
        self.admission.update(&measurement, period);
    }

    /// Sets a timer for the next time at which something is due, unless an earlier timer is set.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let next_control = self.next_control_at.max(now + self.settings.tick);
        let next_check = now + self.settings.ticks(CHECK_PERIOD_TICKS);
        let has_open_queries = self.queries.open().next().is_some();
        let next = self
            .queries
            .due_after(now)
            .chain(has_open_queries.then_some(next_check))
            .chain(self.polls.due_at())
            .fold(next_control, Nanos::min);
        let is_set = self.timer_at > now;
        if !is_set || next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::SetTimer(next));
        }
    }
}
