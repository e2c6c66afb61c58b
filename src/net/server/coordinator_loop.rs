//! The coroutine of one coordinator: it collects inputs, runs turns and carries out their commands.

use super::process::ProcessContext;
use super::reload::{Reload, Reloaded};
use super::shutdown::{longest_deadline, PendingWork, ShutdownPhase, ShutdownSchedule};
use crate::coordinator::{Command, Coordinator, Input, ProcessGeneration, COUNTERS};
use crate::net::clients::ClientConnections;
use crate::net::lifecycle::StartupPhase;
use crate::net::timer::Timer;
use crate::net::Upstream;
use crate::time::Micros;
use may::sync::mpsc::Receiver;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

/// The longest sleep of the coordinator: signals are checked this often.
const MAX_SLEEP: Micros = Micros::from_millis(50);
/// Client connections are checked against their time limits this often.
const REAP_CLIENTS_INTERVAL: Micros = Micros::from_millis(250);
/// Connections to servers are checked this often: a part may be waiting for an answer that will never come.
const REAP_SERVERS_INTERVAL: Micros = MAX_SLEEP;
/// Without a message from discovery, the process counts as ready with the cached endpoint list after this time.
const MAX_WAIT_FOR_ENDPOINTS: Micros = Micros::from_millis(400);
/// The health check waits this long for discovery: the platform starts coordinators while discovery is down, too.
const MAX_WAIT_FOR_DISCOVERY: Micros = Micros::from_millis(3_000);

/// A coordinator with everything that its turns act on.
pub(super) struct CoordinatorLoop {
    /// Takes the inputs of each turn and gives the commands.
    pub(super) coordinator: Coordinator,
    /// Carries attempts to servers.
    pub(super) upstream: Box<dyn Upstream>,
    /// Receive the answers.
    pub(super) clients: Arc<ClientConnections>,
    /// The inputs that have arrived.
    pub(super) arrivals: Receiver<Input>,
    /// Sends an input when a turn is due although none has arrived.
    pub(super) timer: Timer,
    /// Set once the endpoint list is known.
    pub(super) endpoints_listed: Arc<AtomicBool>,
    /// The configuration, as far as it can be reloaded.
    pub(super) reload: Box<dyn Reload>,
    /// How many of the requested reloads are done.
    pub(super) reloads_done: u64,
    /// The longest deadline of a query under the present settings.
    pub(super) longest_deadline: Micros,
    /// When the loop was started.
    pub(super) started_at: Micros,
    /// Which of two processes this one is, as last seen.
    pub(super) generation: Option<ProcessGeneration>,
    /// The timetable of the shutdown, once it was requested.
    pub(super) shutdown: Option<ShutdownSchedule>,
    /// What it shares with the other services.
    pub(super) process: ProcessContext,
}

/// When connections were last checked.
struct ReapTimes {
    servers: Micros,
    clients: Micros,
}

impl CoordinatorLoop {
    /// Runs turns until the process may exit.
    pub(super) fn run(mut self) {
        let mut inputs = Vec::new();
        let mut commands = Vec::new();
        let mut reaped_at = ReapTimes { servers: self.now(), clients: self.now() };
        loop {
            self.receive(&mut inputs);
            let now = self.now();
            self.coordinator.turn(now, inputs.drain(..), &mut commands);
            for command in commands.drain(..) {
                self.carry_out(now, command);
            }
            self.reap(now, &mut reaped_at);
            self.advance_startup(now);
            self.update_generation();
            self.reload_if_requested(now, &mut inputs);
            if self.shut_down_if_requested(now) {
                return;
            }
        }
    }

    fn now(&self) -> Micros {
        self.process.clock.now()
    }

    /// Receives all inputs that have arrived, after a wait if there are none.
    fn receive(&self, inputs: &mut Vec<Input>) {
        if inputs.is_empty() {
            inputs.extend(self.wait());
        }
        self.drain_arrivals(inputs);
    }

    fn drain_arrivals(&self, inputs: &mut Vec<Input>) {
        while let Ok(input) = self.arrivals.try_recv() {
            inputs.push(input);
        }
    }

    /// Waits for an input until the coordinator's next due time, and no longer than the longest sleep.
    fn wait(&self) -> Option<Input> {
        let now = self.now();
        let latest = now + MAX_SLEEP;
        let due = self.coordinator.next_turn_due().map_or(latest, |due| due.min(latest));
        if due <= now {
            return None;
        }
        self.timer.set(due);
        self.arrivals.recv().ok()
    }

    fn carry_out(&mut self, now: Micros, command: Command) {
        match command {
            Command::UpdateServer { replica, address, ready } => {
                self.upstream.update_server(replica, &address, ready, now);
            }
            Command::Dispatch { replica, attempts } => self.upstream.dispatch(replica, &attempts, now),
            Command::CancelAttempt { replica, key } => self.upstream.cancel(replica, key, now),
            Command::RemoveServer(replica) => self.upstream.remove_server(replica),
            Command::CloseIdle(replica) => self.upstream.close_idle(replica),
            Command::Reply { token, answer } => self.clients.deliver(token, answer),
        }
    }

    /// Closes connections that have exceeded their time limits.
    fn reap(&mut self, now: Micros, reaped_at: &mut ReapTimes) {
        if now.since(reaped_at.servers) >= REAP_SERVERS_INTERVAL {
            reaped_at.servers = now;
            self.upstream.reap(now, &|key| self.coordinator.is_in_flight(key));
        }
        if now.since(reaped_at.clients) >= REAP_CLIENTS_INTERVAL {
            reaped_at.clients = now;
            self.clients.reap(now);
        }
    }

    /// Moves the startup on once the endpoint list is known, or was waited for long enough.
    fn advance_startup(&self, now: Micros) {
        let listed = self.endpoints_listed.load(Relaxed);
        let elapsed = now.since(self.started_at);
        if listed || elapsed >= MAX_WAIT_FOR_DISCOVERY {
            self.clients.lifecycle().advance_startup(StartupPhase::EndpointsKnown);
        } else if elapsed >= MAX_WAIT_FOR_ENDPOINTS {
            self.clients.lifecycle().advance_startup(StartupPhase::Ready);
        }
    }

    /// Shares the limits with another process that was started beside this one, or has them alone again.
    fn update_generation(&mut self) {
        let generation = self.process.generations.current();
        if generation != self.generation {
            self.generation = generation;
            self.coordinator.set_process_generation(generation);
            self.clients.lifecycle().set_limits_shared(generation.is_some());
        }
    }

    /// Reloads the configuration if a signal asked for it. A bad one changes nothing and is logged.
    fn reload_if_requested(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        let requested = self.process.signals.reloads_requested();
        if requested == self.reloads_done {
            return;
        }
        self.reloads_done = requested;
        match self.reload.reload(now) {
            Ok(reloaded) => self.apply(reloaded, inputs),
            Err(e) => {
                COUNTERS.bad_reloads.increment();
                e.log();
            }
        }
    }

    fn apply(&mut self, reloaded: Reloaded, inputs: &mut Vec<Input>) {
        COUNTERS.reloads.increment();
        reloaded.change.log();
        if let Some(settings) = reloaded.settings {
            self.longest_deadline = longest_deadline(&settings.policy);
            self.upstream.reconfigure(&settings);
        }
        // Requests that were read under the old settings are submitted before the new ones apply.
        self.drain_arrivals(inputs);
        inputs.push(reloaded.input);
    }

    /// Shuts down as the timetable demands, once a signal has asked for it. Returns whether the process exits now.
    fn shut_down_if_requested(&mut self, now: Micros) -> bool {
        let just_requested = self.shutdown.is_none() && self.process.signals.shutdown_requested();
        if just_requested {
            let schedule = ShutdownSchedule::new(now, self.longest_deadline);
            self.coordinator.set_final_deadline(schedule.final_deadline());
            self.shutdown = Some(schedule);
        }
        let Some(schedule) = self.shutdown else { return false };
        // In each turn: the signal may come before the report that a successor has received the sockets.
        let successor_accepts = self.generation == Some(ProcessGeneration::Predecessor);
        self.clients.drain(successor_accepts);
        if just_requested {
            // Logged only once the health check fails: whoever waits for this line may ask at once.
            let pending_queries = self.coordinator.pending_queries();
            tracing::info!(pending_queries, "graceful shutdown started");
        }
        let phase = schedule.phase(now);
        if phase.closes_connections() {
            self.clients.close_idle(now);
        }
        let exits = self.exits(phase, successor_accepts);
        if exits {
            let pending_queries = self.coordinator.pending_queries();
            tracing::info!(pending_queries, "shutdown complete");
        }
        exits
    }

    fn exits(&self, phase: ShutdownPhase, successor_accepts: bool) -> bool {
        let connections = if phase.waits_for_idle_connections() {
            self.clients.open_connections()
        } else {
            self.clients.owed_connections()
        };
        let pending = PendingWork { queries: self.coordinator.pending_queries(), connections };
        let drained = phase.may_exit(successor_accepts, pending) && self.clients.backlog_is_empty();
        drained || phase == ShutdownPhase::Expired
    }
}
