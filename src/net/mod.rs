//! Drivers for sockets, on coroutines: they move bytes between sockets and the protocol state
//! machines of `proto`. Decisions about queries belong to `policy`.
//!
//! Two kinds of state stay global here: the counters of `coordinator` (`COUNTERS`), which every
//! connection and the throttled log lines increment and which a signal writes to the log, and the
//! configuration of the runtime, which exists once in a process. Clocks, metrics and seeds are
//! passed in.

pub mod admin;
pub mod clients;
pub mod config;
pub mod feature_client;
pub mod handover;
pub mod lifecycle;
pub mod node_client;
mod nonblocking;
pub mod server;
pub mod timer;
pub mod watch;

use crate::coordinator::{AttemptKey, AttemptRequest};
use crate::interface::ReplicaId;
use crate::settings::CoordinatorSettings;
use crate::time::Micros;
use may::coroutine::{Builder, JoinHandle};
use nonblocking::{try_read, try_write, IoOutcome};
use std::io;

/// The connections that carry attempts to servers. They report the end of each attempt to the
/// coordinator's inbox.
pub trait Upstream: Send {
    /// Records the address of a server, and whether it accepts new attempts.
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, now: Micros);
    /// Ends the connections to a server that were opened before this time: they lead to a process
    /// that is gone. Their attempts that were not sent are reported as such.
    fn end_earlier_connections(&mut self, _replica: ReplicaId, _opened_before: Micros) {}
    /// Sends these attempts to a server in one call.
    fn dispatch(&mut self, replica: ReplicaId, attempts: &[AttemptRequest], now: Micros);
    /// Cancels an attempt, whose end is no longer reported.
    fn cancel(&mut self, replica: ReplicaId, key: AttemptKey, now: Micros);
    /// Removes a server that has left the endpoint list for good.
    fn remove_server(&mut self, replica: ReplicaId);
    /// Closes idle connections to a server.
    fn close_idle(&mut self, replica: ReplicaId);
    /// Applies reloaded settings.
    fn reconfigure(&mut self, _settings: &CoordinatorSettings) {}
    /// Closes connections that have been idle for too long, and removes the records of attempts
    /// that have ended. `in_flight` returns whether the coordinator still waits for an attempt.
    fn reap(&mut self, now: Micros, in_flight: &dyn Fn(AttemptKey) -> bool);
}

/// The stack of a coroutine that drives a connection, in words of eight bytes. Only touched pages
/// take memory.
pub const SMALL_STACK_WORDS: usize = 0x4000;
/// The stack of a coroutine that parses endpoint lists or pages, or accepts clients, in words of
/// eight bytes. Deeply nested JSON needs the larger size.
pub const LARGE_STACK_WORDS: usize = 0x8000;

/// The stack of the coroutine that runs the coordinator, in words of eight bytes: it renders
/// responses, and their compression needs the larger size in a debug build.
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
