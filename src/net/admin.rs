//! The admin endpoint, which serves the health check and the metrics. It runs on its own thread and
//! reads only atomics, so that a saturated worker does not delay replies. The protocol is in
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

/// The time after which a caller's connection is closed. It is closed sooner if there are too many
/// callers.
const CALLER_TIMEOUT: Duration = Duration::from_secs(6);
/// The longest wait for a socket, and so the interval at which callers are checked for
/// [`CALLER_TIMEOUT`].
const MAX_POLL_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 250_000_000,
};
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The stack of the endpoint's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Returns how many of a process's `descriptors` are reserved for the endpoint: for its listening
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

/// Starts the thread that replies to commands for as long as the process runs.
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

/// The connection of a caller.
struct CallerConnection {
    stream: TcpStream,
    /// The state of the protocol, with the input.
    protocol: AdminConnection,
    accepted_at: Instant,
    /// The rest of the reply, once there is one.
    reply: Option<Body>,
    /// Whether the caller has closed its sending side, or the connection has failed.
    input_ended: bool,
}

impl CallerConnection {
    fn new(stream: TcpStream) -> Self {
        CallerConnection {
            stream,
            protocol: AdminConnection::default(),
            accepted_at: Instant::now(),
            reply: None,
            input_ended: false,
        }
    }

    /// Returns whether the whole reply was written.
    fn is_reply_written(&self) -> bool {
        self.reply.as_ref().is_some_and(Body::is_empty)
    }

    /// Writes the rest of the reply until the socket would block, and shuts down the sending side
    /// of the connection after it. If the connection has failed, the reply is dropped.
    fn write_reply(&mut self) {
        let Some(reply) = self.reply.as_mut().filter(|reply| !reply.is_empty()) else {
            return;
        };
        while !reply.is_empty() {
            match try_write(&self.stream, reply.front()) {
                IoOutcome::Transferred(bytes) => reply.advance(bytes),
                IoOutcome::WouldBlock => return,
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => *reply = Body::default(),
            }
        }
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Returns the events of the socket to wait for.
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

/// Waits until a socket is ready or [`MAX_POLL_WAIT`] is over, accepts callers, and replies to
/// complete commands.
fn serve_once(
    listener: &TcpListener,
    callers: &mut Vec<CallerConnection>,
    endpoint: &AdminEndpoint,
) {
    if !wait_until_ready(listener, callers) {
        return;
    }
    while let Some(stream) = accept(listener) {
        if callers.len() >= endpoint.max_callers {
            // A caller whose reply was written is closed first, otherwise the oldest: a caller that
            // sends a command must not wait for callers that send none.
            let replied = callers.iter().position(CallerConnection::is_reply_written);
            callers.remove(replied.unwrap_or(0));
        }
        callers.push(CallerConnection::new(stream));
        // Most callers send their command as soon as they are connected.
        callers.retain_mut(|c| !is_done_after_io(c, endpoint));
    }
    callers
        .retain_mut(|c| !is_done_after_io(c, endpoint) && c.accepted_at.elapsed() < CALLER_TIMEOUT);
}

/// Waits until a socket is ready, but not longer than [`MAX_POLL_WAIT`]. Returns whether the wait
/// succeeded.
fn wait_until_ready(listener: &TcpListener, callers: &[CallerConnection]) -> bool {
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

/// Reads once, and writes the reply if the command is complete. Returns whether the connection can
/// be closed.
fn is_done_after_io(connection: &mut CallerConnection, endpoint: &AdminEndpoint) -> bool {
    connection.input_ended = connection.input_ended || read_once(connection);
    if connection.reply.is_some() {
        // Input after the command is discarded until the caller closes its sending side: closing a
        // socket with unread input sends a reset, which can destroy the reply in transit.
        connection.protocol = AdminConnection::default();
    } else if let Some(command) = connection.protocol.command(connection.input_ended) {
        COUNTERS.admin_calls.increment();
        connection.reply = Some(reply(command, endpoint).into_bytes().into());
    }
    connection.write_reply();
    connection.input_ended && !connection.has_unwritten_reply()
}

/// Reads once from the caller. Returns whether the input has ended.
fn read_once(connection: &mut CallerConnection) -> bool {
    match try_read(&connection.stream, connection.protocol.input.free_space()) {
        IoOutcome::Transferred(bytes) => {
            connection.protocol.input.commit(bytes);
            false
        }
        IoOutcome::WouldBlock => false,
        IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => true,
    }
}

fn reply(command: AdminCommand, endpoint: &AdminEndpoint) -> String {
    match command {
        AdminCommand::Health => match (endpoint.health)() {
            Ok(()) => "YES\n".to_owned(),
            Err(reason) => format!("NO {reason}\n"),
        },
        AdminCommand::Dump => format!("YES\n{}END\n", endpoint.metrics.dump()),
        AdminCommand::Unknown => "NO such call: HEALTH or DUMP\n".to_owned(),
    }
}

#[cfg(test)]
mod tests;
