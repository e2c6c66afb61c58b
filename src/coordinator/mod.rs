//! The state of one coordinator: the policy, pending queries, attempts, timers and endpoints.
//!
//! The coordinator's loop collects inputs and calls [`Coordinator::turn`] with all of them and one
//! reading of the clock. The turn passes the policy its events, executes the policy's actions in
//! order, and returns commands that the loop executes.
//!
//! Decisions belong to the policy, wire formats to the fronts, and sockets to the drivers in
//! [`net`](crate::net). The module's own times are [`Micros`]; those of events and actions are
//! nanoseconds, and [`time`](mod@crate::time) converts between the two.

mod active_settings;
mod batching;
mod classes;
mod counters;
mod diagnostics;
mod endpoints;
mod messages;
mod metrics;
mod queries;
mod reporting;
mod request;
mod turn;

pub use counters::{Counter, Counters, COUNTERS};
pub use diagnostics::{check_invariant, log_throttled};
pub use messages::{
    Answer, AttemptEnd, AttemptRequest, Command, EndpointUpdate, Input, ProcessGeneration,
    ServedPart, ServerEndpoint,
};
pub use metrics::{ClassMetrics, Gauge, Metrics};
pub use request::{AttemptKey, PartRequest, Request, RequestContext, Token, Value};

use crate::interface::{Action, Event, Nanos, Settings};
use crate::policy::DecisionPolicy;
use crate::time::Micros;
use active_settings::ActiveSettings;
use batching::batch_dispatches;
use classes::Classes;
use endpoints::EndpointRegistry;
use queries::{DispatchOrder, QueryTracker};
use reporting::MetricsReporter;
use std::sync::Arc;
use turn::Turn;

/// One coordinator: the policy and the state on which its actions operate.
#[derive(Debug)]
pub struct Coordinator {
    policy: DecisionPolicy,
    /// The time by which the policy must be called again, if it has set a timer.
    policy_timer: Option<Micros>,
    settings: ActiveSettings,
    endpoints: EndpointRegistry,
    queries: QueryTracker,
    reporter: MetricsReporter,
    /// The events that arose after the policy was called; it handles them in the next turn.
    deferred_events: Vec<Event>,
}

impl Coordinator {
    /// Creates a coordinator without queries or endpoints. At most `max_in_flight` queries and
    /// parts are pending at the same time; `seed` initializes the policy's random generator.
    #[must_use]
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
            policy_timer: None,
            queries: QueryTracker::new(Classes::new(settings.classes(), metrics.clone())),
            settings,
            endpoints: EndpointRegistry::default(),
            reporter: MetricsReporter::new(metrics),
            deferred_events: Vec::new(),
        }
    }

    /// Returns the number of queries without a final answer.
    #[must_use]
    pub fn pending_queries(&self) -> usize {
        self.queries.pending_queries()
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub fn attempts_in_flight(&self) -> usize {
        self.queries.attempts_in_flight()
    }

    /// Returns whether this attempt is in flight.
    #[must_use]
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.queries.is_in_flight(key)
    }

    /// Returns the number of endpoints that are remembered, listed or not.
    #[must_use]
    pub fn known_endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the time by which the next turn must run; `None` if nothing is due.
    #[must_use]
    pub fn next_turn_due(&self) -> Option<Micros> {
        if !self.deferred_events.is_empty() {
            return Some(Micros::ZERO);
        }
        [self.queries.next_expiry(), self.policy_timer]
            .into_iter()
            .flatten()
            .min()
    }

    /// Starts the graceful shutdown: every pending query, and every later one, gets its answer by
    /// the final deadline.
    pub fn set_final_deadline(&mut self, final_deadline: Micros) {
        self.queries.set_final_deadline(final_deadline);
    }

    /// Sets the role of this process during a hand-over, while another process shares its limits;
    /// `None` when no other process shares them. Each limit applies to both processes together.
    pub fn set_process_generation(&mut self, generation: Option<ProcessGeneration>) {
        self.settings.set_generation(generation);
        let event = self.settings_event();
        self.deferred_events.push(event);
    }

    /// Executes one turn: handles the inputs, calls the policy with their events, executes its
    /// actions, and appends the resulting commands in order.
    pub fn turn(
        &mut self,
        now: Micros,
        inputs: impl IntoIterator<Item = Input>,
        commands: &mut Vec<Command>,
    ) {
        let mut turn = Turn::new(now, std::mem::take(&mut self.deferred_events), commands);
        for input in inputs {
            self.handle_input(input, &mut turn);
        }
        self.queries.expire_attempts(&mut turn);
        self.fire_policy_timer(&mut turn);
        self.run_policy(&mut turn);
        // The policy runs first: in a late turn it still ends the queries whose deadline has
        // passed.
        self.queries.expire_queries(&mut turn);
        self.deferred_events = turn.deferred_events;
        batch_dispatches(commands, self.settings.max_batch());
        self.reporter
            .report(now, self.queries.pending_queries(), &self.policy, || {
                self.endpoints.count_listed()
            });
    }

    fn handle_input(&mut self, input: Input, turn: &mut Turn<'_>) {
        match input {
            Input::EndpointUpdate(update) => self.update_endpoints(update, turn),
            Input::Submit(request) => self.queries.submit(request, &self.settings, turn),
            Input::RejectForMemory(request) => {
                self.queries
                    .reject_for_memory(&request, &self.settings, turn);
            }
            Input::ClientDisconnected(token) => self.queries.abandon(token, turn),
            Input::WriteStarted(key) => self.queries.write_started(key),
            Input::FullyWritten(key) => self.queries.fully_written(key),
            Input::AttemptEnded { key, end } => self.queries.attempt_ended(key, end, turn),
            Input::Settings {
                settings,
                max_in_flight,
            } => {
                self.settings.replace(*settings, max_in_flight);
                turn.events.push(self.settings_event());
            }
            Input::TimerDue => {}
        }
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, turn: &mut Turn<'_>) {
        self.endpoints.apply(update, turn);
        self.endpoints
            .purge_removed(|replica| self.queries.has_attempts_at(replica), turn);
    }

    /// Updates the classes to the active settings, and returns the event that passes both to the
    /// policy. A pending query keeps its class.
    fn settings_event(&mut self) -> Event {
        let class_mapping = self.queries.replace_classes(self.settings.classes());
        let settings = self.settings.for_policy(self.queries.classes());
        Event::Settings {
            settings: Box::new(settings),
            class_mapping,
        }
    }

    fn fire_policy_timer(&mut self, turn: &mut Turn<'_>) {
        if self.policy_timer.is_some_and(|at| at <= turn.now) {
            self.policy_timer = None;
            turn.events.push(Event::TimerFired);
        }
    }

    fn run_policy(&mut self, turn: &mut Turn<'_>) {
        let mut actions = Vec::new();
        self.policy
            .handle(turn.now.to_nanos(), &turn.events, &mut actions);
        for action in actions {
            self.execute(action, turn);
        }
    }

    fn execute(&mut self, action: Action, turn: &mut Turn<'_>) {
        match action {
            Action::Send {
                part,
                replica,
                timeout,
                write_by,
            } => {
                let order = DispatchOrder {
                    part,
                    replica,
                    timeout: Micros::from_nanos(timeout),
                    write_by: Micros::from_nanos(write_by),
                };
                self.queries.dispatch(&order, &self.settings, turn);
            }
            Action::Cancel { part, attempt } => {
                self.queries.cancel(AttemptKey { part, attempt }, turn)
            }
            Action::Answer { query, complete } => self.queries.answer(query, complete, turn),
            Action::Reject { query, retry_after } => {
                self.queries
                    .reject(query, retry_after.map(Micros::from_nanos), turn);
            }
            Action::Fail(query) => self.queries.fail(query, turn),
            Action::SetTimer(at) => self.set_policy_timer(at),
            Action::CloseIdle(replica) => turn.commands.push(Command::CloseIdle(replica)),
            // The discovery watch runs from the start to the end of the process.
            Action::Subscribe => {}
        }
    }

    fn set_policy_timer(&mut self, at: Nanos) {
        // A turn before that time would find nothing due, and set the timer again.
        let at = Micros::from_nanos_rounded_up(at);
        self.policy_timer = Some(self.policy_timer.map_or(at, |earlier| earlier.min(at)));
    }
}
