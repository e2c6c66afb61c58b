//! A service: a front with its coordinator, client connections and connections to servers. Built by
//! [`super::wiring`], started here.

use super::coordinator_loop::{CoordinatorComponents, CoordinatorLoop};
use super::generations::ProcessGenerations;
use super::listeners::OpenListener;
use super::process::ProcessContext;
use super::ServerError;
use crate::coordinator::Input;
use crate::front::Front;
use crate::net::clients::{ClientConnections, ClientLimits};
use crate::net::lifecycle::Lifecycle;
use crate::net::timer::Timer;
use crate::net::{spawn, COORDINATOR_STACK_WORDS, LARGE_STACK_WORDS};
use crate::time::Clock;
use may::coroutine::JoinHandle;
use may::sync::mpsc::Sender;
use std::net::SocketAddr;
use std::sync::Arc;

/// A service before its start.
pub(super) struct Service {
    /// The name of the service in the log.
    name: String,
    /// The configured address for clients.
    listen: SocketAddr,
    /// The limits of its client connections.
    limits: ClientLimits,
    /// The protocol that clients speak.
    front: Box<dyn Front>,
    /// The phases of its startup and shutdown.
    lifecycle: Arc<Lifecycle>,
    /// The coordinator's inbox.
    inbox: Sender<Input>,
    /// The coordinator and the other components of its loop.
    coordinator: CoordinatorComponents,
}

/// A service after its start.
pub(super) struct RunningService {
    /// The client connections.
    pub(super) clients: Arc<ClientConnections>,
    /// The coordinator's coroutine, which returns after a shutdown.
    pub(super) coordinator: JoinHandle<()>,
}

impl Service {
    /// Creates a service from its configuration and its components.
    pub(super) fn new(
        name: String,
        listen: SocketAddr,
        limits: ClientLimits,
        front: Box<dyn Front>,
        lifecycle: Arc<Lifecycle>,
        inbox: Sender<Input>,
        coordinator: CoordinatorComponents,
    ) -> Self {
        Service {
            name,
            listen,
            limits,
            front,
            lifecycle,
            inbox,
            coordinator,
        }
    }

    /// Returns the configured address for clients.
    pub(super) fn listen_address(&self) -> SocketAddr {
        self.listen
    }

    /// Reduces the limits of the client connections to the share of one of `fronts` fronts.
    pub(super) fn share_limits(&mut self, fronts: usize) {
        self.limits = self.limits.shared(fronts);
    }

    /// Starts accepting connections and running the coordinator.
    pub(super) fn start(
        self,
        open_listener: OpenListener,
        process: ProcessContext,
    ) -> Result<RunningService, ServerError> {
        let OpenListener {
            listener,
            inherited,
        } = open_listener;
        let address = listener
            .socket()
            .local_addr()
            .map_err(ServerError::LocalAddress)?;
        let timer = self.start_timer(process.clock)?;
        let clients = ClientConnections::new(
            self.front,
            listener,
            self.limits,
            self.inbox,
            process.clock,
            self.lifecycle,
        );
        start_accepting(clients.clone(), process.generations.clone())?;
        if inherited {
            tracing::info!(
                service = self.name,
                "listening sockets received from predecessor"
            );
        }
        tracing::info!(service = self.name, %address, "listening for client connections");
        let coordinator_loop =
            CoordinatorLoop::new(self.coordinator, clients.clone(), timer, process);
        let coordinator = spawn(COORDINATOR_STACK_WORDS, move || coordinator_loop.run())
            .map_err(ServerError::Coroutine)?;
        Ok(RunningService {
            clients,
            coordinator,
        })
    }

    /// Starts the timer that wakes the coordinator by sending an input.
    fn start_timer(&self, clock: Clock) -> Result<Timer, ServerError> {
        let inbox = self.inbox.clone();
        // Sending cannot fail, since the receiver outlives the timer.
        Timer::start(clock, move || drop(inbox.send(Input::TimerDue))).map_err(ServerError::Timer)
    }
}

fn start_accepting(
    clients: Arc<ClientConnections>,
    generations: Arc<ProcessGenerations>,
) -> Result<(), ServerError> {
    let stack_words = LARGE_STACK_WORDS.max(clients.stack_words());
    let accept = move || clients.accept(|| generations.is_predecessor_running());
    spawn(stack_words, accept)
        .map(drop)
        .map_err(ServerError::Coroutine)
}
