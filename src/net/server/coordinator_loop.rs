//! The loop of one coordinator, which runs on its own coroutine: it collects inputs, runs turns and
//! executes their commands. It owns the coordinator and the connections to servers. The decisions
//! are made in the coordinator.

use super::process::ProcessContext;
use super::reload::{Reload, Reloaded, RequestedReloads};
use super::shutdown::{
    longest_deadline, AwaitedConnections, GracefulShutdown, PendingWork, ShutdownPhase,
};
use super::startup::Startup;
use crate::coordinator::{Command, Coordinator, Input, ProcessGeneration};
use crate::net::clients::ClientConnections;
use crate::net::timer::Timer;
use crate::net::Upstream;
use crate::time::Micros;
use may::sync::mpsc::Receiver;
use std::sync::Arc;

/// The longest wait of the loop for an input, and so the interval at which signals are checked.
const MAX_SLEEP: Micros = Micros::from_millis(50);
/// The interval at which client connections are checked against their time limits.
const REAP_CLIENTS_INTERVAL: Micros = Micros::from_millis(250);
/// The interval at which connections to servers are checked. Short, since a part may be waiting for
/// a response that will never arrive.
const REAP_SERVERS_INTERVAL: Micros = MAX_SLEEP;

/// A coordinator and the other components of its loop, before the start.
pub(super) struct CoordinatorComponents {
    /// The coordinator, which takes the inputs of each turn and returns commands.
    coordinator: Coordinator,
    /// The connections to servers.
    upstream: Box<dyn Upstream>,
    /// The receiving end of the coordinator's inbox.
    inbox_receiver: Receiver<Input>,
    /// The source of the configuration, which reloads it.
    reload: Box<dyn Reload>,
    /// The longest deadline of a query.
    longest_deadline: Micros,
}

impl CoordinatorComponents {
    /// Combines the components. `longest_deadline` is that of a query under the settings at the
    /// start.
    pub(super) fn new(
        coordinator: Coordinator,
        upstream: Box<dyn Upstream>,
        inbox_receiver: Receiver<Input>,
        reload: Box<dyn Reload>,
        longest_deadline: Micros,
    ) -> Self {
        CoordinatorComponents {
            coordinator,
            upstream,
            inbox_receiver,
            reload,
            longest_deadline,
        }
    }
}

/// The loop of a coordinator, with everything that its turns act on.
pub(super) struct CoordinatorLoop {
    coordinator: Coordinator,
    upstream: Box<dyn Upstream>,
    /// The client connections, to which the answers are delivered.
    clients: Arc<ClientConnections>,
    inbox_receiver: Receiver<Input>,
    /// The timer that sends an input when a turn is due and no input has arrived.
    timer: Timer,
    startup: Startup,
    reloads: RequestedReloads,
    shutdown: GracefulShutdown,
    /// The generation of this process when last checked; `None` if it was the only process.
    generation: Option<ProcessGeneration>,
    process: ProcessContext,
}

/// The times at which connections were last checked.
struct ReapTimes {
    servers: Micros,
    clients: Micros,
}

impl CoordinatorLoop {
    /// Creates the loop of a service that starts now.
    pub(super) fn new(
        components: CoordinatorComponents,
        clients: Arc<ClientConnections>,
        timer: Timer,
        process: ProcessContext,
    ) -> Self {
        let lifecycle = clients.lifecycle().clone();
        CoordinatorLoop {
            coordinator: components.coordinator,
            upstream: components.upstream,
            clients,
            inbox_receiver: components.inbox_receiver,
            timer,
            startup: Startup::new(lifecycle, process.clock.now()),
            reloads: RequestedReloads::new(components.reload),
            shutdown: GracefulShutdown::new(components.longest_deadline),
            generation: None,
            process,
        }
    }

    /// Runs turns until the shutdown is complete.
    pub(super) fn run(mut self) {
        let mut inputs = Vec::new();
        let mut commands = Vec::new();
        let mut reaped_at = ReapTimes {
            servers: self.now(),
            clients: self.now(),
        };
        loop {
            self.receive(&mut inputs);
            let now = self.now();
            self.coordinator.turn(now, inputs.drain(..), &mut commands);
            for command in commands.drain(..) {
                self.carry_out(now, command);
            }
            self.reap(now, &mut reaped_at);
            self.startup.advance(now);
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

    /// Adds all inputs that have arrived to `inputs`. If there are none, waits for one first.
    fn receive(&self, inputs: &mut Vec<Input>) {
        if inputs.is_empty() {
            inputs.extend(self.wait_for_input());
        }
        self.drain_inbox(inputs);
    }

    fn drain_inbox(&self, inputs: &mut Vec<Input>) {
        while let Ok(input) = self.inbox_receiver.try_recv() {
            inputs.push(input);
        }
    }

    /// Waits for an input until the coordinator's next turn or the next check of the shutdown is
    /// due, but not longer than [`MAX_SLEEP`].
    fn wait_for_input(&self) -> Option<Input> {
        let now = self.now();
        let times = [
            self.coordinator.next_turn_due(),
            self.shutdown.next_check_at(now),
        ];
        let latest = now + MAX_SLEEP;
        let due = times.into_iter().flatten().fold(latest, Micros::min);
        if due <= now {
            return None;
        }
        self.timer.set(due);
        self.inbox_receiver.recv().ok()
    }

    fn carry_out(&mut self, now: Micros, command: Command) {
        match command {
            Command::UpdateServer {
                replica,
                address,
                ready,
            } => {
                self.upstream.update_server(replica, &address, ready, now);
            }
            Command::EndEarlierConnections {
                replica,
                opened_before,
            } => self
                .upstream
                .end_earlier_connections(replica, opened_before),
            Command::Dispatch { replica, attempts } => {
                self.upstream.dispatch(replica, &attempts, now)
            }
            Command::CancelAttempt { replica, key } => self.upstream.cancel(replica, key, now),
            Command::RemoveServer(replica) => self.upstream.remove_server(replica),
            Command::CloseIdle(replica) => self.upstream.close_idle(replica),
            Command::Reply { token, answer } => self.clients.deliver(token, answer),
        }
    }

    /// Closes connections that have exceeded their time limits, at the intervals set for clients
    /// and servers.
    fn reap(&mut self, now: Micros, reaped_at: &mut ReapTimes) {
        if now.since(reaped_at.servers) >= REAP_SERVERS_INTERVAL {
            reaped_at.servers = now;
            self.upstream
                .reap(now, &|key| self.coordinator.is_in_flight(key));
        }
        if now.since(reaped_at.clients) >= REAP_CLIENTS_INTERVAL {
            reaped_at.clients = now;
            self.clients.reap(now);
        }
    }

    /// Halves the limits while another process runs at the same time, and restores them afterwards.
    fn update_generation(&mut self) {
        let generation = self.process.generations.current();
        if generation != self.generation {
            self.generation = generation;
            self.coordinator.set_process_generation(generation);
            self.clients
                .lifecycle()
                .set_limits_shared(generation.is_some());
        }
    }

    /// Reloads the configuration if a signal requested it.
    fn reload_if_requested(&mut self, now: Micros, inputs: &mut Vec<Input>) {
        let requested = self.process.signals.reloads_requested();
        if let Some(reloaded) = self.reloads.reload_if_requested(requested, now) {
            self.apply(reloaded, inputs);
        }
    }

    fn apply(&mut self, reloaded: Reloaded, inputs: &mut Vec<Input>) {
        if let Some(settings) = reloaded.settings {
            self.shutdown
                .set_longest_deadline(longest_deadline(&settings.policy));
            self.upstream.reconfigure(&settings);
        }
        // Requests that were read under the old settings are submitted before the new ones apply.
        self.drain_inbox(inputs);
        inputs.push(reloaded.input);
    }

    /// Advances a requested shutdown to the phase that is due. Returns whether the process exits
    /// now.
    fn shut_down_if_requested(&mut self, now: Micros) -> bool {
        let requested_at = self.process.signals.shutdown_requested_at();
        let just_started = requested_at.is_some_and(|at| self.shutdown.start(at));
        let Some(schedule) = self.shutdown.schedule() else {
            return false;
        };
        if just_started {
            self.coordinator
                .set_final_deadline(schedule.final_deadline());
        }
        // Repeated after each turn, since the signal may arrive before the report that a successor
        // has received the sockets.
        let successor_accepts = self.generation == Some(ProcessGeneration::Predecessor);
        self.clients.drain(successor_accepts);
        if just_started {
            // Logged after the health check has begun to fail, since a reader of this line may run
            // a check at once.
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

    /// Returns whether the process exits in this phase, given its pending work.
    fn exits(&self, phase: ShutdownPhase, successor_accepts: bool) -> bool {
        let connections = match phase.awaited_connections() {
            AwaitedConnections::Open => self.clients.open_connections(),
            AwaitedConnections::WithPendingRequest => {
                self.clients.connections_with_pending_request()
            }
            AwaitedConnections::WithCompleteRequest => {
                self.clients.connections_with_complete_request()
            }
        };
        let pending = PendingWork {
            queries: self.coordinator.pending_queries(),
            connections,
        };
        let drained = phase.may_exit(successor_accepts, pending) && self.clients.backlog_is_empty();
        drained || phase == ShutdownPhase::Expired
    }
}
