//! Every decision of the coordinator. Its types, events and actions: `src/interface/`.
//!
//! Each batch of events is applied, then every open query is advanced in order of arrival: admit, send,
//! retry, answer or give up. The operators' rules are checked in one place each: `dispatch`, `finish`. The
//! design follows "Obtaining and Managing Answer Quality for Online Data-Intensive Services" (Ubora, by
//! Kelley et al.), here the paper: the quality of sampled answers sets how much of low priority is admitted.

mod admission;
mod answers;
mod attempts;
mod fleet;
mod polling;
mod quality;
mod replicas;

use crate::interface::{Action, EndpointListKind, Event, Nanos, ReplicaId, Settings};
use crate::queries::{AttemptKey, Part, Query, QueryTable};
use crate::stats::RatioBudget;
use admission::{Admission, AdmissionController};
use fleet::FleetStatistics;
use polling::EndpointPoll;
use quality::{measure_quality, take_sample, QUALITY_WINDOW};
use replicas::EndpointTable;

/// Ticks reserved before an objective: to receive the last answer, to respond, and for the network.
const OBJECTIVE_MARGIN_TICKS: u64 = 3;
/// Ticks reserved before the client's deadline.
const DEADLINE_MARGIN_TICKS: u64 = 4;
/// The period of the controller, in ticks; open queries are checked every tenth of it.
const CONTROL_TICKS: u64 = 50;
/// A replica that is not ready is removed after so many quality windows.
const REMOVAL_WINDOWS: u64 = 3;

/// The input common to all decisions; `now` is the time of the present batch.
#[derive(Debug)]
struct Context {
    settings: Settings,
    now: Nanos,
    fleet: FleetStatistics,
    rng: fastrand::Rng,
}

/// The decision policy of one coordinator.
#[derive(Debug)]
pub struct DecisionPolicy {
    context: Context,
    queries: QueryTable,
    endpoints: EndpointTable,
    admission: Admission,
    controller: AdmissionController,
    /// Retries and hedged requests against queries and parts received; see rule 6.
    retries: RatioBudget,
    poll: EndpointPoll,
    next_control_at: Nanos,
    timer_at: Nanos,
}

impl DecisionPolicy {
    /// A policy without queries or replicas; `seed` determines its random draws.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Self {
        let (fleet, rng) = (FleetStatistics::new(&settings), fastrand::Rng::with_seed(seed));
        let mut policy = DecisionPolicy {
            queries: QueryTable::default(),
            endpoints: EndpointTable::default(),
            admission: Admission::default(),
            controller: AdmissionController::new(),
            retries: RatioBudget::default(),
            poll: EndpointPoll::new(settings.max_poll_interval, now),
            next_control_at: now,
            timer_at: 0,
            context: Context { settings, now, fleet, rng },
        };
        policy.admission.apply_settings(&policy.context);
        policy.endpoints.apply_settings(&mut policy.context);
        policy
    }

    /// Applies a batch of events received at `now`, in order, and appends the resulting actions, in order.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.context.now = now.max(self.context.now);
        for event in events {
            self.apply(event, actions);
        }
        if self.poll.take_due(self.context.settings.max_poll_interval, self.context.now) {
            actions.push(Action::Subscribe);
        }
        if self.context.now >= self.next_control_at {
            self.control();
        }
        for number in self.queries.numbers().collect::<Vec<_>>() {
            self.advance(number, actions);
        }
        self.set_timer(actions);
    }

    /// Ready replicas that no part of an active class would be sent to now, whatever its shard.
    #[must_use]
    pub fn ejected(&self) -> Vec<ReplicaId> {
        self.endpoints.ejected(&self.context)
    }

    fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let now = self.context.now;
        match event {
            Event::Endpoints { kind: EndpointListKind::Failed, .. } => {
                self.poll.poll_failed(self.context.settings.max_poll_interval, now, &mut self.context.rng);
            }
            Event::Endpoints { kind, endpoints } => {
                self.poll.list_received(*kind);
                self.endpoints.apply_list(*kind, endpoints, &mut self.context);
            }
            Event::Placement { replica, shards } => {
                self.endpoints.set_placement(*replica, shards, &mut self.context)
            }
            Event::Query { .. } => self.receive(event, actions),
            Event::Part { part, group, shard, weight } => {
                self.retries.earn(now);
                self.queries.add_part(*group, Part::new(*part, *shard, *weight));
            }
            Event::Outcome { part, attempt, outcome, elapsed } => {
                let key = AttemptKey { part: *part, attempt: *attempt };
                if self.endpoints.complete(key, *outcome, *elapsed, &mut self.context) {
                    self.queries.complete_attempt(*part, *attempt, *outcome, now);
                }
            }
            Event::Abandoned(query) => {
                // Its parts are not needed any more: on poor links clients disconnect before their deadline.
                let query = self.queries.abandon(*query).filter(|_| self.context.settings.cancellation);
                actions.extend(query.iter().flat_map(|query| &query.parts).flat_map(Part::cancellations));
            }
            Event::Settings { settings, class_mapping } => {
                self.context.settings = Settings::clone(settings);
                self.context.fleet.latency.apply_settings(settings, class_mapping);
                self.admission.apply_settings(&self.context);
                self.endpoints.apply_settings(&mut self.context);
            }
            Event::TimerFired => self.timer_at = 0,
        }
    }

    fn receive(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let Event::Query { query, group, class, tenant, expected_work, time_left } = event else { return };
        let (settings, now) = (&self.context.settings, self.context.now);
        let Some(of_class) = settings.classes.get(usize::from(class.0)) else {
            return actions.push(Action::Fail(*query));
        };
        let stretch = (of_class.objective_stretch * expected_work.unwrap_or(0) as f64) as Nanos;
        let objective = (of_class.latency_objective + stretch).min(of_class.deadline);
        let over_quota = self.admission.over_quota(*tenant, &self.context);
        let priority = of_class.priority_weight * if over_quota { settings.over_quota_weight } else { 1.0 };
        let deadline = now.saturating_add(time_left.saturating_sub(settings.ticks(DEADLINE_MARGIN_TICKS)));
        let respond_by = now + objective.saturating_sub(settings.ticks(OBJECTIVE_MARGIN_TICKS));
        let top = priority >= settings.max_priority_weight();
        let sampled = top && take_sample(self.queries.samples().count(), &mut self.context.rng);
        self.retries.earn(now);
        self.queries.insert(Query {
            priority,
            admission_draw: self.context.rng.f64(),
            respond_by: respond_by.min(deadline),
            deadline,
            sampled,
            ..Query::new(*query, *class, *group, now)
        });
    }

    /// Removes expired state, and updates the admitted share by the quality of the last window.
    fn control(&mut self) {
        let (settings, now) = (&self.context.settings, self.context.now);
        let period = settings.ticks(CONTROL_TICKS);
        self.next_control_at = now + period;
        self.queries.remove_closed(now.saturating_sub(QUALITY_WINDOW));
        self.endpoints.remove_unlisted(now.saturating_sub(REMOVAL_WINDOWS * QUALITY_WINDOW));
        self.retries.expire(now, settings.retry_budget.map_or(0, |budget| 2 * budget.window));
        self.endpoints.balance(&self.context);
        let reading = measure_quality(self.queries.samples(), |a| self.endpoints.served_since(a), now);
        self.controller.update(&reading, period);
    }

    /// Sets a timer for what is due next, unless an earlier one is set already.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let (settings, now) = (&self.context.settings, self.context.now);
        let look = self.queries.open().next().map(|_| now + settings.ticks(CONTROL_TICKS / 10));
        let control = Some(self.next_control_at.max(now + settings.tick));
        let next = self.queries.due_after(now).chain(look).chain(control).chain(self.poll.due_at()).min();
        if let Some(at) = next.filter(|at| self.timer_at <= now || *at < self.timer_at) {
            self.timer_at = at;
            actions.push(Action::SetTimer(at));
        }
    }
}
