//! Drivers for sockets, on coroutines: they move bytes between sockets and the protocol state machines, and decide nothing
//! about queries.

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

/// The connections that carry attempts to servers. The end of each attempt is reported to the coordinator's inbox.
pub trait Upstream: Send {
    /// Records the address of a server, and whether it accepts new attempts.
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, now: Micros);
    /// Sends these attempts to a server in one call.
    fn dispatch(&mut self, replica: ReplicaId, attempts: &[AttemptRequest], now: Micros);
    /// Cancels an attempt, whose end is not reported any more.
    fn cancel(&mut self, replica: ReplicaId, key: AttemptKey, now: Micros);
    /// Removes a server that left the endpoint list for good.
    fn remove_server(&mut self, replica: ReplicaId);
    /// Closes idle connections to a server.
    fn close_idle(&mut self, replica: ReplicaId);
    /// Applies reloaded settings.
    fn reconfigure(&mut self, _settings: &CoordinatorSettings) {}
    /// Closes connections that have been idle for too long and removes the records of attempts that have ended.
    /// `in_flight` tells whether the coordinator still waits for an attempt.
    fn reap(&mut self, now: Micros, in_flight: &dyn Fn(AttemptKey) -> bool);
}

/// Stack of a coroutine that drives a connection, in words of eight bytes. Only touched pages count as memory.
/// Measured over the tests of both fronts in a release build: 722 words at most; debug builds need several times that.
pub const SMALL_STACK_WORDS: usize = 0x4000;
/// Stack of a coroutine that parses endpoint lists or pages, or runs the policy, in words. Measured likewise: 1,569 words
/// at most; deeply nested JSON may take more.
pub const LARGE_STACK_WORDS: usize = 0x8000;

/// Stack of the coroutine that runs the coordinator, in words: it renders responses, and compressing one in a debug build
/// takes most of [`LARGE_STACK_WORDS`].
pub const TURN_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine with a stack of so many words.
///
/// # Errors
/// The runtime cannot allocate the stack.
pub fn spawn(
    stack_words: usize,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    may::go!(Builder::new().stack_size(stack_words), work)
}
