//! Drivers for sockets, which run on coroutines: they move bytes between sockets and the protocol
//! state machines of `proto`. Decisions about queries are made in `policy`.
//!
//! Two kinds of state are global here: the counters of `coordinator` (`COUNTERS`), which every
//! connection and the throttled log lines increment and which are logged on SIGUSR1, and the
//! configuration of the coroutine runtime, of which a process has only one. Clocks, metrics and
//! seeds are passed as arguments.

pub mod admin;
pub mod clients;
pub mod config;
pub mod feature_client;
pub mod handover;
pub mod lifecycle;
pub mod node_client;
mod nonblocking;
mod polled_socket;
pub mod server;
mod sleep;
pub mod timer;
pub mod watch;

use crate::coordinator::{AttemptKey, AttemptRequest};
use crate::interface::ReplicaId;
use crate::settings::CoordinatorSettings;
use crate::time::Micros;
use may::coroutine::{Builder, JoinHandle};
use nonblocking::{try_read, try_write, IoOutcome};
pub use polled_socket::PolledSocket;
use sleep::sleep;
use std::io;

/// The connections that carry attempts to servers. They report the end of each attempt to the
/// coordinator's inbox.
pub trait Upstream: Send {
    /// Records the address of a server, and whether it accepts new attempts.
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, now: Micros);
    /// Closes the connections to a server that were opened before this time: they lead to a process
    /// that has exited. Attempts on them that were not sent are reported as not sent.
    fn end_earlier_connections(&mut self, _replica: ReplicaId, _opened_before: Micros) {}
    /// Sends these attempts to a server in one call.
    fn dispatch(&mut self, replica: ReplicaId, attempts: &[AttemptRequest], now: Micros);
    /// Cancels an attempt. Its end is no longer reported.
    fn cancel(&mut self, replica: ReplicaId, key: AttemptKey, now: Micros);
    /// Removes a server that was removed from the endpoint list permanently.
    fn remove_server(&mut self, replica: ReplicaId);
    /// Closes idle connections to a server.
    fn close_idle(&mut self, replica: ReplicaId);
    /// Applies reloaded settings.
    fn reconfigure(&mut self, _settings: &CoordinatorSettings) {}
    /// Closes connections that have been idle for too long, and removes the records of attempts
    /// that have ended. `in_flight` returns whether the coordinator still awaits the end of an
    /// attempt.
    fn reap(&mut self, now: Micros, in_flight: &dyn Fn(AttemptKey) -> bool);
}

/// The stack of a coroutine that drives a connection, in words of eight bytes. Only pages that were
/// used take memory.
pub const SMALL_STACK_WORDS: usize = 0x4000;
/// The stack of a coroutine that parses endpoint lists or pages, or accepts clients, in words of
/// eight bytes. Deeply nested JSON needs the larger size.
pub const LARGE_STACK_WORDS: usize = 0x8000;

/// The stack of the coroutine that runs the coordinator, in words of eight bytes. The coroutine
/// also renders responses, and compressing them needs this size in a debug build.
pub const COORDINATOR_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine with a stack of `stack_words` words of eight bytes.
///
/// # Errors
/// Fails if the runtime cannot allocate the stack.
pub fn spawn(
    stack_words: usize,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    may::go!(Builder::new().stack_size(stack_words), work)
}
