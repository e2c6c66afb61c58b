//! Thin drivers on coroutines: they read and write sockets and hand bytes to the state machines. No policy.

pub mod admin;
pub mod clients;
pub mod config;
pub mod feature_client;
pub mod handover;
pub mod node_client;
pub mod server;
pub mod timer;
pub mod watch;

use crate::coordinator::{AttemptKey, AttemptRequest};
use crate::interface::ReplicaId;
use crate::settings::CoordinatorSettings;
use crate::time::Micros;
use may::coroutine::{Builder, JoinHandle};
use std::io;

/// What carries attempts to servers. Ends come back through the core's inbox.
pub trait Upstream: Send {
    /// Learns where a server is and whether it takes new work.
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, now: Micros);
    /// Starts attempts in one call.
    fn dispatch(&mut self, replica: ReplicaId, jobs: &[AttemptRequest], now: Micros);
    /// Gives an attempt up.
    fn cancel(&mut self, replica: ReplicaId, key: AttemptKey, now: Micros);
    /// Forgets a server that is gone for good.
    fn remove_server(&mut self, replica: ReplicaId);
    /// Closes idle connections to a server.
    fn close_idle(&mut self, replica: ReplicaId);
    /// The settings have changed.
    fn reconfigure(&mut self, _deployment: &CoordinatorSettings) {}
    /// Closes what has stood idle for too long and forgets what has ended; `out`: an attempt is still out.
    fn reap(&mut self, now: Micros, out: &dyn Fn(AttemptKey) -> bool);
}

/// Stack of a coroutine that drives a connection, in words of eight bytes. Only touched pages count as memory.
/// Measured over the tests of both fronts in a release build: 722 words at most; debug builds need several times that.
pub const SMALL_STACK_WORDS: usize = 0x4000;
/// Stack of a coroutine that parses lists or pages, or runs the module. Measured likewise: 1,569 words at most; deeply
/// nested JSON may take more.
pub const LARGE_STACK_WORDS: usize = 0x8000;

/// Stack of the coroutine that runs the turns: answers are rendered on it, and packing one in a debug build takes most of
/// what [`LARGE_STACK_WORDS`] has.
pub const TURN_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine.
pub fn spawn(stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    may::go!(Builder::new().stack_size(stack), work)
}

/// The outcome of one read or write on a non-blocking socket.
enum IoOutcome {
    /// This many bytes were read or written.
    Transferred(usize),
    /// The socket has no data, or no space, at present.
    WouldBlock,
    /// The peer closed its sending side in good order.
    EndOfStream,
    /// The connection failed, so what was received may be truncated.
    Broken,
}

fn io_outcome(result: io::Result<usize>) -> IoOutcome {
    match result {
        Ok(0) => IoOutcome::EndOfStream,
        Ok(n) => IoOutcome::Transferred(n),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => IoOutcome::WouldBlock,
        Err(e) if e.kind() == io::ErrorKind::Interrupted => IoOutcome::Transferred(0),
        Err(_) => IoOutcome::Broken,
    }
}

fn try_read(mut stream: &std::net::TcpStream, room: &mut [u8]) -> IoOutcome {
    io_outcome(io::Read::read(&mut stream, room))
}

fn try_write(mut stream: &std::net::TcpStream, bytes: &[u8]) -> IoOutcome {
    io_outcome(io::Write::write(&mut stream, bytes))
}

#[cfg(test)]
mod tests;
