//! The core: it owns the module, the held queries, attempt numbers, timers and counters, and knows no wire.
//!
//! A driver collects what comes in and calls [`Coordinator::turn`] with all of it and one reading of the clock. The turn
//! hands the module its events, carries out its actions in order and gives back what is to be done outside.

mod active_settings;
mod batching;
mod classes;
mod counters;
mod endpoints;
mod metrics;
mod reporting;
mod types;

use active_settings::ActiveSettings;
use batching::batch_dispatches;
use classes::Classes;
pub use counters::{check_invariant, log_throttled, Counter, Counters, COUNTERS};
use endpoints::EndpointRegistry;
pub use metrics::{ClassMetrics, Metrics};
use reporting::MetricsReporter;
pub use types::*;

use crate::interface::*;
use crate::policy::DecisionPolicy;
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Kept free of a client's time for the way here, the turn and the way back; the module keeps its own ticks.
const NETWORK_MARGIN: Micros = Micros::from_millis(3);
/// An end this near to the wanted time was brought by it: the module ends a query some ticks ahead.
const LATE_TOLERANCE: Micros = Micros::from_millis(25);

/// An attempt that is out.
#[derive(Debug)]
struct InFlightAttempt {
    replica: ReplicaId,
    sent_at: Micros,
    deadline: Micros,
    /// When it is looked at next: at `until`, or when it must have begun to leave if that is earlier.
    timer_at: Micros,
    /// Some of it has left this machine: it may run.
    write_started: bool,
    request_id: Arc<str>,
    class: ClassId,
}

/// A query that has no final answer yet.
#[derive(Debug)]
struct PendingQuery {
    request: Request,
    class: ClassId,
    /// When its client's time is over.
    deadline: Micros,
    /// When its answer is wanted.
    objective: Micros,
    values: Vec<Option<Value>>,
}

/// Which of two processes this one is while a new version is started beside the old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessGeneration {
    /// The one that served so far.
    Predecessor,
    /// The one that takes over.
    Successor,
}

/// The core of one coordinator.
#[derive(Debug)]
pub struct Coordinator {
    policy: DecisionPolicy,
    settings: ActiveSettings,
    classes: Classes,
    reporter: MetricsReporter,
    pending: BTreeMap<QueryId, PendingQuery>,
    reserved_slots: usize,
    by_token: HashMap<Token, QueryId>,
    /// What is held or out under each label: servers know parts by it, so two requests must not share one.
    request_ids: HashMap<Arc<str>, usize>,
    parts: HashMap<PartId, (QueryId, usize)>,
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    attempt_numbers: HashMap<PartId, u16>,
    timers: BTreeSet<(Micros, AttemptKey)>,
    deadlines: BTreeSet<(Micros, QueryId)>,
    policy_timer: Option<Micros>,
    /// What is taken from now on must be answered by then.
    final_deadline: Option<Micros>,
    next_id: u64,
    next_group: u32,
    endpoints: EndpointRegistry,
    /// Events that arose while actions were carried out; they are for the next turn.
    deferred_events: Vec<Event>,
}

impl Coordinator {
    /// A coordinator without queries or endpoints.
    pub fn new(
        settings: Settings,
        max_in_flight: usize,
        seed: u64,
        now: Micros,
        metrics: Arc<Metrics>,
    ) -> Self {
        let settings = ActiveSettings::new(settings, max_in_flight);
        Self {
            policy: DecisionPolicy::new(settings.for_new_policy(), seed, now.to_nanos()),
            classes: Classes::new(settings.classes(), metrics.clone()),
            settings,
            reporter: MetricsReporter::new(metrics),
            pending: BTreeMap::new(),
            reserved_slots: 0,
            by_token: HashMap::new(),
            request_ids: HashMap::new(),
            parts: HashMap::new(),
            in_flight: BTreeMap::new(),
            attempt_numbers: HashMap::new(),
            timers: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            policy_timer: None,
            final_deadline: None,
            next_id: 1,
            next_group: 1,
            endpoints: EndpointRegistry::default(),
            deferred_events: Vec::new(),
        }
    }

    /// Queries that wait for their final answer.
    pub fn pending_queries(&self) -> usize {
        self.pending.len()
    }

    /// The program is to end: whatever is held or taken from now on has its answer by then.
    pub fn set_final_deadline(&mut self, last: Micros) {
        self.final_deadline = Some(last);
        let late: Vec<_> = self.deadlines.range((last, QueryId(u64::MAX))..).copied().collect();
        for (until, query) in late {
            if let Some(held) = self.pending.get_mut(&query) {
                held.deadline = last;
                self.deadlines.remove(&(until, query));
                self.deadlines.insert((last, query));
            }
        }
    }

    /// Is this attempt out?
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.in_flight.contains_key(&key)
    }

    /// Attempts that are out.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// When the next turn is due at the latest; `None` while nothing is.
    pub fn next_turn_due(&self) -> Option<Micros> {
        if !self.deferred_events.is_empty() {
            return Some(Micros::ZERO);
        }
        let first =
            [self.timers.first().map(|t| t.0), self.deadlines.first().map(|t| t.0), self.policy_timer];
        first.into_iter().flatten().min()
    }

    /// One turn: takes in what came, hands the module its events, and appends what is to be done, in order.
    pub fn turn(&mut self, now: Micros, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Command>) {
        let mut events = std::mem::take(&mut self.deferred_events);
        for input in inputs {
            self.handle_input(now, input, &mut events, out);
        }
        self.expire_attempts(now, &mut events, out);
        if self.policy_timer.is_some_and(|at| at <= now) {
            self.policy_timer = None;
            events.push(Event::TimerFired);
        }
        let mut actions = Vec::new();
        self.policy.handle(now.to_nanos(), &events, &mut actions);
        for action in actions {
            self.execute(now, action, out);
        }
        // After the module: a turn that comes late must leave it to the module to end what is over.
        self.expire_queries(now, out);
        batch_dispatches(out, self.settings.max_batch());
        let endpoints = &self.endpoints;
        self.reporter.report(now, self.pending.len(), &self.policy, || endpoints.count_listed());
    }

    /// Another process of a hand-over shares the limits of this one from now on, or no longer does. Limits hold for the sum
    /// of both.
    pub fn set_process_generation(&mut self, generation: Option<ProcessGeneration>) {
        self.settings.set_generation(generation);
        let event = self.settings_event();
        self.deferred_events.push(event);
    }

    /// Puts other settings in force; a pending query keeps the class that it came with.
    fn apply_settings(&mut self, settings: Settings, max_in_flight: usize, events: &mut Vec<Event>) {
        self.settings.replace(settings, max_in_flight);
        events.push(self.settings_event());
    }

    /// Brings the classes up to the settings in force, and tells the policy both.
    fn settings_event(&mut self) -> Event {
        let class_mapping = self.classes.replace(self.settings.classes());
        let settings = self.settings.for_policy(self.classes.all());
        Event::Settings { settings: Box::new(settings), class_mapping }
    }

    /// Gives a request its final answer: the one place where answers are counted for operators.
    fn reply(&self, class: ClassId, request: &Request, answer: Answer, out: &mut Vec<Command>) {
        let token = request.token;
        if request.counted {
            let tally = self.classes.metrics(class);
            match answer {
                Answer::Served { .. } => &tally.ok,
                Answer::Rejected { .. } => &tally.shed,
                Answer::Failed { .. } | Answer::DuplicateRequestId | Answer::UnknownClass => &tally.errors,
            }
            .increment();
        }
        out.push(Command::Reply { token, answer });
    }

    fn handle_input(&mut self, now: Micros, input: Input, events: &mut Vec<Event>, out: &mut Vec<Command>) {
        match input {
            Input::EndpointUpdate(roster) => self.apply_endpoint_update(now, roster, events, out),
            Input::Submit(request) => self.submit(now, request, events, out),
            Input::ClientLeft(token) => {
                if let Some(query) = self.by_token.get(&token).copied() {
                    COUNTERS.queries_abandoned.increment();
                    events.push(Event::Abandoned(query));
                    self.remove_query(now, query, out);
                }
            }
            Input::WriteStarted(key) => self.mark_write_started(key),
            Input::FullyWritten(key) => {
                COUNTERS.attempts_fully_written.add(usize::from(self.is_in_flight(key)));
                self.mark_write_started(key);
            }
            Input::AttemptEnded { key, end } => self.attempt_ended(now, key, end, events),
            Input::Settings { settings, max_in_flight } => {
                self.apply_settings(*settings, max_in_flight, events)
            }
            Input::TimerDue => {}
        }
    }

    fn apply_endpoint_update(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        events: &mut Vec<Event>,
        out: &mut Vec<Command>,
    ) {
        self.endpoints.apply(now, update, events, out);
        let in_flight = &self.in_flight;
        let has_attempts = |replica| in_flight.values().any(|attempt| attempt.replica == replica);
        self.endpoints.purge_removed(now, has_attempts, out);
    }

    /// Servers that are remembered, listed or not.
    pub fn known_endpoints(&self) -> usize {
        self.endpoints.len()
    }

    fn submit(&mut self, now: Micros, request: Request, events: &mut Vec<Event>, out: &mut Vec<Command>) {
        let Some(class) = self.classes.find(&request.class) else {
            // Dropped by a reload while the request was on its way here.
            COUNTERS.bad_requests.increment();
            return out.push(Command::Reply { token: request.token, answer: Answer::UnknownClass });
        };
        let until = request.sent_at + request.timeout;
        let until = self.final_deadline.map_or(until, |last| until.min(last));
        if until <= now + NETWORK_MARGIN {
            // Over before it began: nothing can be in time any more, and nothing was sent.
            COUNTERS.rejected_expired.increment();
            COUNTERS.queries_rejected.increment();
            let answer = Answer::Rejected { retry_after: None, late: true };
            return self.reply(class, &request, answer, out);
        }
        let size = 1 + request.parts.len();
        if self.reserved_slots + size > self.settings.max_reserved_slots() {
            // Told at once, like a refusal of the module's: nothing was sent, asking again does no harm.
            COUNTERS.rejected_over_capacity.increment();
            COUNTERS.queries_rejected.increment();
            let come_back = self.settings.max_retry_after();
            return self.reply(
                class,
                &request,
                Answer::Rejected { retry_after: come_back, late: false },
                out,
            );
        }
        if self.request_ids.contains_key(&request.request_id) {
            COUNTERS.duplicate_request_ids.increment();
            return self.reply(class, &request, Answer::DuplicateRequestId, out);
        }
        COUNTERS.queries_accepted.increment();
        self.request_ids.insert(request.request_id.clone(), 1);
        self.reserved_slots += size;
        let query = QueryId(self.next_id);
        let group = Group(self.next_group);
        self.next_group = self.next_group.wrapping_add(1);
        self.next_id += size as u64;
        let aim = self.classes.get(class).latency_objective;
        self.classes.acquire(class);
        let hints: Option<Micros> = request
            .parts
            .iter()
            .map(|p| p.expected_work)
            .try_fold(Micros::ZERO, |sum, hint| hint.map(|h| sum + h));
        events.push(Event::Query {
            query,
            group,
            class,
            tenant: request.tenant,
            expected_work: hints.filter(|_| !request.parts.is_empty()).map(Micros::to_nanos),
            time_left: until.since(now + NETWORK_MARGIN).to_nanos(),
        });
        for (at, p) in request.parts.iter().enumerate() {
            let part = PartId(query.0 + 1 + at as u64);
            self.parts.insert(part, (query, at));
            events.push(Event::Part { part, group, shard: p.shard, weight: p.weight });
        }
        self.by_token.insert(request.token, query);
        self.deadlines.insert((until, query));
        let wanted = request.sent_at + Micros::from_nanos(aim);
        let values = vec![None; request.parts.len()];
        self.pending
            .insert(query, PendingQuery { request, class, deadline: until, objective: wanted, values });
    }

    /// Some of an attempt's request has left this machine.
    fn mark_write_started(&mut self, key: AttemptKey) {
        if let Some(flight) = self.in_flight.get_mut(&key) {
            flight.write_started = true;
        }
    }

    fn attempt_ended(&mut self, now: Micros, key: AttemptKey, end: AttemptEnd, events: &mut Vec<Event>) {
        // An answer to an attempt that was called off or timed out has had its outcome.
        let Some(flight) = self.complete(key) else { return };
        let outcome = match end {
            AttemptEnd::Served(value) => {
                if let Some((query, at)) = self.parts.get(&key.part) {
                    if let Some(slot) = self.pending.get_mut(query).and_then(|h| h.values.get_mut(*at)) {
                        *slot = Some(value);
                    }
                }
                Outcome::Ok
            }
            AttemptEnd::Failed(outcome) => outcome,
        };
        self.record_outcome(now, key, &flight, outcome, events);
    }

    /// Takes an attempt off the books: after this it can have no second outcome.
    fn complete(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        let flight = self.in_flight.remove(&key)?;
        self.timers.remove(&(flight.timer_at, key));
        self.release_request_id(&flight.request_id);
        self.classes.release(flight.class);
        Some(flight)
    }

    fn record_outcome(
        &self,
        now: Micros,
        key: AttemptKey,
        flight: &InFlightAttempt,
        outcome: Outcome,
        events: &mut Vec<Event>,
    ) {
        match outcome {
            Outcome::Ok => &COUNTERS.attempts_served,
            Outcome::Error => &COUNTERS.attempts_error,
            Outcome::Rejected => &COUNTERS.attempts_rejected,
            Outcome::TimedOut => &COUNTERS.attempts_timed_out,
            Outcome::ConnectFailed => &COUNTERS.attempts_connect_failed,
            Outcome::Reset => &COUNTERS.attempts_reset,
            Outcome::Cancelled => &COUNTERS.attempts_cancelled,
            Outcome::NotSent => &COUNTERS.attempts_not_sent,
        }
        .increment();
        let waited = now.since(flight.sent_at).to_nanos();
        events.push(Event::Outcome { part: key.part, attempt: key.attempt, outcome, waited });
    }

    fn expire_attempts(&mut self, now: Micros, events: &mut Vec<Event>, out: &mut Vec<Command>) {
        while let Some((_, key)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.pop_first();
            let Some(flight) = self.in_flight.get_mut(&key) else { continue };
            if flight.write_started && now < flight.deadline {
                flight.timer_at = flight.deadline;
                self.timers.insert((flight.deadline, key));
                continue;
            }
            let Some(flight) = self.complete(key) else { continue };
            out.push(Command::CancelAttempt { replica: flight.replica, key });
            // What never began to leave this machine is taken back, so it never ran: a class that must not repeat may go
            // again. What began to leave it goes on to its last byte, and runs.
            let outcome = if flight.write_started { Outcome::TimedOut } else { Outcome::ConnectFailed };
            self.record_outcome(now, key, &flight, outcome, events);
        }
    }

    /// The module ends every query in time; should it not, the client still gets its one answer.
    fn expire_queries(&mut self, now: Micros, out: &mut Vec<Command>) {
        while let Some((_, query)) = self.deadlines.first().copied().filter(|e| e.0 <= now) {
            if let Some(held) = self.remove_query(now, query, out) {
                let told_to_end = self.final_deadline.is_some_and(|last| held.deadline >= last);
                check_invariant(told_to_end, "a query outlived its client's time");
                COUNTERS.queries_failed.increment();
                self.reply(held.class, &held.request, Answer::Failed { late: true }, out);
            }
            self.deferred_events.push(Event::Abandoned(query));
        }
    }

    /// One user less of a label; with the last one it is free again.
    fn release_request_id(&mut self, label: &Arc<str>) {
        if let Some(users) = self.request_ids.get_mut(label) {
            *users -= 1;
            if *users == 0 {
                self.request_ids.remove(label);
            }
        }
    }

    /// Takes a query off the books, so that it can have no second answer. What of it has not begun to leave this machine
    /// never does, whether or not nodes may be told to call parts off: a part that waited for its connection went out to
    /// nobody's use else.
    fn remove_query(&mut self, now: Micros, query: QueryId, out: &mut Vec<Command>) -> Option<PendingQuery> {
        let held = self.pending.remove(&query)?;
        self.release_request_id(&held.request.request_id);
        self.classes.release(held.class);
        self.reserved_slots -= 1 + held.values.len();
        self.deadlines.remove(&(held.deadline, query));
        self.by_token.remove(&held.request.token);
        for part in (0..held.values.len() as u64).map(|at| PartId(query.0 + 1 + at)) {
            self.parts.remove(&part);
            self.attempt_numbers.remove(&part);
            let of = |n| AttemptKey { part, attempt: AttemptNo(n) };
            let flights = self.in_flight.range(of(0)..=of(u16::MAX));
            let waiting: Vec<_> = flights.filter(|f| !f.1.write_started).map(|f| *f.0).collect();
            waiting.into_iter().for_each(|key| self.cancel(now, key, out));
        }
        Some(held)
    }

    /// Gives an attempt up; the module hears of its end in the next turn.
    fn cancel(&mut self, now: Micros, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(flight) = self.complete(key) else { return };
        out.push(Command::CancelAttempt { replica: flight.replica, key });
        let outcome = if flight.write_started { Outcome::Cancelled } else { Outcome::NotSent };
        let mut events = std::mem::take(&mut self.deferred_events);
        self.record_outcome(now, key, &flight, outcome, &mut events);
        self.deferred_events = events;
    }

    fn execute(&mut self, now: Micros, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { part, replica, timeout, not_after: by } => {
                self.dispatch(now, part, replica, (timeout, by), out);
            }
            Action::Cancel { part, attempt } => self.cancel(now, AttemptKey { part, attempt }, out),
            Action::Answer { query, complete: whole } => self.answer(now, query, whole, out),
            Action::Reject { query, retry_after: come_back } => {
                let come_back = come_back.map(Micros::from_nanos);
                self.finish(
                    now,
                    query,
                    |late| Answer::Rejected { retry_after: come_back, late },
                    &COUNTERS.queries_rejected,
                    out,
                );
            }
            Action::Fail(query) => {
                self.finish(now, query, |late| Answer::Failed { late }, &COUNTERS.queries_failed, out);
            }
            Action::SetTimer(at) => {
                // Rounded up: a wake-up before its time would find nothing due and be set again.
                let at = Micros::from_nanos(at.saturating_add(999));
                self.policy_timer = Some(self.policy_timer.map_or(at, |w| w.min(at)));
            }
            Action::CloseIdle(replica) => out.push(Command::CloseIdle(replica)),
            // The watch runs from the start to the end.
            Action::Subscribe => {}
        }
    }

    fn dispatch(
        &mut self,
        now: Micros,
        part: PartId,
        replica: ReplicaId,
        (timeout, by): (Nanos, Nanos),
        out: &mut Vec<Command>,
    ) {
        let number = self.attempt_numbers.entry(part).or_insert(0);
        let key = AttemptKey { part, attempt: AttemptNo(*number) };
        let live = self.parts.get(&part).and_then(|(query, at)| Some((self.pending.get(query)?, *at)));
        let Some((held, at)) = live else {
            self.attempt_numbers.remove(&part);
            return check_invariant(false, "an attempt at a part that is over");
        };
        *number += 1;
        let until = (now + Micros::from_nanos(timeout)).min(held.deadline);
        COUNTERS.attempts_dispatched.increment();
        check_invariant(
            self.settings.hedging() || !self.in_flight.keys().any(|k| k.part == part),
            "a part has two attempts out",
        );
        let (label, class) = (held.request.request_id.clone(), held.class);
        // A connection may come up long after: what must not go out by then is taken back before.
        let look = until.min(Micros::from_nanos(by));
        let flight = InFlightAttempt {
            replica,
            sent_at: now,
            deadline: until,
            timer_at: look,
            write_started: false,
            request_id: label.clone(),
            class,
        };
        self.in_flight.insert(key, flight);
        *self.request_ids.entry(label.clone()).or_insert(0) += 1;
        self.timers.insert((look, key));
        let job = AttemptRequest {
            key,
            request_id: label,
            shard: held.request.parts[at].shard,
            payload: held.request.payload.clone(),
            context: held.request.parts[at].context.clone(),
            timeout: until.since(now),
            metrics: self.classes.metrics(class).clone(),
        };
        self.classes.acquire(class);
        out.push(Command::Dispatch { replica, attempts: vec![job] });
    }

    fn answer(&mut self, now: Micros, query: QueryId, whole: bool, out: &mut Vec<Command>) {
        let Some(held) = self.remove_query(now, query, out) else {
            return check_invariant(false, "an answer to no query");
        };
        let class = self.classes.get(held.class);
        let parts = held.request.parts.iter().zip(held.values);
        let mut weight = 0.0;
        let mut values = Vec::new();
        for (part, value) in parts {
            if let Some(value) = value {
                weight += part.weight;
                values.push(ServedPart { shard: part.shard, value });
            }
        }
        let least = if whole { class.required_share } else { class.min_share };
        check_invariant(weight + 1e-4 >= least, "an answer from too few parts");
        if whole { &COUNTERS.queries_complete } else { &COUNTERS.queries_partial }.increment();
        self.reply(held.class, &held.request, Answer::Served { complete: whole, parts: values }, out);
    }

    fn finish(
        &mut self,
        now: Micros,
        query: QueryId,
        answer: impl FnOnce(bool) -> Answer,
        counter: &Counter,
        out: &mut Vec<Command>,
    ) {
        // A class that is none is failed by the module before its parts are known.
        let Some(held) = self.remove_query(now, query, out) else {
            return check_invariant(false, "an end to no query");
        };
        counter.increment();
        let late = now + LATE_TOLERANCE >= held.objective.min(held.deadline);
        self.reply(held.class, &held.request, answer(late), out);
    }
}
