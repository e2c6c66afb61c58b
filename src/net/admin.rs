//! The admin endpoint, which serves the health check and the metrics. It runs on a thread of its
//! own and reads atomics only, so that a saturated worker delays no reply. The protocol is in
//! `proto::admin`.

use super::lifecycle::Unhealthy;
use super::{try_read, try_write, IoOutcome};
use crate::coordinator::{log_throttled, Metrics, COUNTERS};
use crate::proto::admin::{AdminCommand, AdminConnection};
use crate::proto::body::Body;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The time after which a caller is closed. The oldest caller is closed sooner if there are too
/// many.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest wait for a socket, and so the interval at which the callers' time limit is checked.
const MAX_POLL_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 250_000_000,
};
/// The pause while no connection can be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The stack of the endpoint's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Returns the number of a process's descriptors that are reserved for the endpoint: its listening
/// socket and its callers.
#[must_use]
pub fn reserved_descriptors(descriptors: usize) -> usize {
    (descriptors / 16).clamp(3, 33)
}

/// The reason why the endpoint cannot be served.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {source}")]
pub struct AdminError {
    /// The configured address.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub source: io::Error,
}

/// The endpoint's sources of data, and its limit.
pub struct AdminEndpoint {
    /// The metrics of the process.
    pub metrics: Arc<Metrics>,
    /// The health check. Fails with the reason if the process does not serve requests.
    pub health: Box<dyn Fn() -> Result<(), Unhealthy> + Send>,
    /// The maximum number of simultaneous callers.
    pub max_callers: usize,
}

/// Starts the thread that answers calls for as long as the process lives.
///
/// # Errors
/// Fails if the address cannot be bound or the thread cannot be started.
pub fn start(address: SocketAddr, endpoint: AdminEndpoint) -> Result<(), AdminError> {
    let bound = try_start(address, endpoint).map_err(|source| AdminError { address, source })?;
    tracing::info!(address = %bound, "admin endpoint listening");
    Ok(())
}

fn try_start(address: SocketAddr, endpoint: AdminEndpoint) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    std::thread::Builder::new()
        .name("admin endpoint".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let mut callers = Vec::new();
            loop {
                serve_once(&listener, &mut callers, &endpoint);
            }
        })?;
    Ok(bound)
}

/// A connection of an operator.
struct CallerConnection {
    stream: TcpStream,
    /// The protocol state.
    caller: AdminConnection,
    accepted_at: Instant,
    /// The rest of the reply, once there is one.
    reply: Option<Body>,
    /// Whether the caller sends nothing more.
    input_ended: bool,
}

impl CallerConnection {
    fn new(stream: TcpStream) -> Self {
        CallerConnection {
            stream,
            caller: AdminConnection::default(),
            accepted_at: Instant::now(),
            reply: None,
            input_ended: false,
        }
    }

    /// Returns whether the whole reply was written.
    fn is_replied(&self) -> bool {
        self.reply.as_ref().is_some_and(Body::is_empty)
    }

    /// Writes the rest of the reply until the socket would block, and ends the connection's sending
    /// side after it. A caller that has gone needs no reply.
    fn write_reply(&mut self) {
        let Some(reply) = self.reply.as_mut().filter(|reply| !reply.is_empty()) else {
            return;
        };
        while !reply.is_empty() {
            match try_write(&self.stream, reply.front()) {
                IoOutcome::Transferred(bytes) => reply.advance(bytes),
                IoOutcome::WouldBlock => return,
                IoOutcome::EndOfStream | IoOutcome::Broken => *reply = Body::default(),
            }
        }
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Returns the events to wait for.
    fn awaited_events(&self) -> PollFlags {
        let mut events = PollFlags::empty();
        events.set(PollFlags::IN, !self.input_ended);
        events.set(PollFlags::OUT, self.has_unwritten_reply());
        events
    }

    fn has_unwritten_reply(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| !reply.is_empty())
    }
}

/// Waits for input, accepts callers, and answers the calls that are complete.
fn serve_once(
    listener: &TcpListener,
    callers: &mut Vec<CallerConnection>,
    endpoint: &AdminEndpoint,
) {
    if !wait_for_input(listener, callers) {
        return;
    }
    while let Some(stream) = accept(listener) {
        if callers.len() >= endpoint.max_callers {
            // Callers that have their reply go first, then the oldest: a caller with a call must
            // not wait behind callers without one.
            let replied = callers.iter().position(CallerConnection::is_replied);
            callers.remove(replied.unwrap_or(0));
        }
        callers.push(CallerConnection::new(stream));
        // Most calls come with their connection.
        callers.retain_mut(|c| !is_done(c, endpoint));
    }
    callers.retain_mut(|c| !is_done(c, endpoint) && c.accepted_at.elapsed() < CALL_TIMEOUT);
}

/// Waits until a socket has input, or for the maximum. Returns whether the wait succeeded.
fn wait_for_input(listener: &TcpListener, callers: &[CallerConnection]) -> bool {
    let mut sockets: Vec<PollFd<'_>> = vec![PollFd::new(listener, PollFlags::IN)];
    sockets.extend(
        callers
            .iter()
            .map(|c| PollFd::new(&c.stream, c.awaited_events())),
    );
    poll(&mut sockets, Some(&MAX_POLL_WAIT)).is_ok()
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    accept_result(listener.accept())
}

/// Returns the connection that was accepted, if there is one. Counts and logs a failure.
fn accept_result(accepted: io::Result<(TcpStream, SocketAddr)>) -> Option<TcpStream> {
    match accepted {
        Ok((stream, _)) => stream.set_nonblocking(true).is_ok().then_some(stream),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => None,
        Err(e) => {
            log_throttled(
                &COUNTERS.accept_errors,
                || tracing::warn!(error = %e, "accepting an admin connection failed"),
            );
            std::thread::sleep(ACCEPT_RETRY_INTERVAL);
            None
        }
    }
}

/// Reads once, and replies if the call is complete. Returns whether the connection is to be closed.
fn is_done(connection: &mut CallerConnection, endpoint: &AdminEndpoint) -> bool {
    connection.input_ended = connection.input_ended || read_once(connection);
    if connection.reply.is_some() {
        // Input behind the call is discarded until the caller closes: closing a socket with unread
        // input sends a reset, which can destroy the reply on its way.
        connection.caller = AdminConnection::default();
    } else if let Some(call) = connection.caller.command(connection.input_ended) {
        COUNTERS.admin_calls.increment();
        connection.reply = Some(reply(call, endpoint).into_bytes().into());
    }
    connection.write_reply();
    connection.input_ended && !connection.has_unwritten_reply()
}

/// Reads once from the caller. Returns whether the caller sends nothing more.
fn read_once(connection: &mut CallerConnection) -> bool {
    match try_read(&connection.stream, connection.caller.input.free_space()) {
        IoOutcome::Transferred(bytes) => {
            connection.caller.input.commit(bytes);
            false
        }
        IoOutcome::WouldBlock => false,
        IoOutcome::EndOfStream | IoOutcome::Broken => true,
    }
}

fn reply(call: AdminCommand, endpoint: &AdminEndpoint) -> String {
    match call {
        AdminCommand::Health => match (endpoint.health)() {
            Ok(()) => "YES\n".to_owned(),
            Err(why) => format!("NO {why}\n"),
        },
        AdminCommand::Dump => format!("YES\n{}END\n", endpoint.metrics.dump()),
        AdminCommand::Unknown => "NO such call: HEALTH or DUMP\n".to_owned(),
    }
}

#[cfg(test)]
mod tests;
