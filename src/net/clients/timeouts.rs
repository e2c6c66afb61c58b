//! The timeouts of slow, silent and idle client connections. Pure functions, without sockets and
//! clocks.

use super::activity::ConnectionActivity;
use crate::time::Micros;

/// The time in which a request must be complete, from its first byte; for the first request of a
/// connection, from the accept. Clients are owed an error or a close within 3 s.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(2_200);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Micros = Micros::from_secs(30);
/// The same while more than half of the connections are in use.
const CROWDED_IDLE_TIMEOUT: Micros = Micros::from_millis(2_500);
/// The time in which a client must read part of a response.
const WRITE_TIMEOUT: Micros = Micros::from_secs(15);
/// The time in which input after an error response is discarded: closing a socket with unread input
/// sends a reset, which can destroy the response on its way.
const LINGER_TIMEOUT: Micros = Micros::from_secs(1);

/// Returns the time after which an idle connection is closed, if `connections` of `max_connections`
/// are in use.
#[must_use]
pub fn idle_timeout(connections: usize, max_connections: usize) -> Micros {
    if connections * 2 > max_connections {
        CROWDED_IDLE_TIMEOUT
    } else {
        IDLE_TIMEOUT
    }
}

/// A time limit that a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeout {
    /// The client goes on sending after an error response.
    Linger,
    /// The client does not read the response.
    Response,
    /// The client has sent nothing since it connected.
    FirstByte,
    /// The connection has been idle between two requests.
    Idle,
    /// The client has sent only part of a request.
    Request,
}

/// Returns the time limit that a connection has exceeded, if any.
#[must_use]
pub fn exceeded(
    connection: &ConnectionActivity,
    now: Micros,
    idle_timeout: Micros,
) -> Option<Timeout> {
    let quiet = now.since(connection.last_activity_at);
    if connection
        .lingering_since
        .is_some_and(|since| now.since(since) > LINGER_TIMEOUT)
    {
        return Some(Timeout::Linger);
    }
    if connection.output_pending {
        return (quiet > WRITE_TIMEOUT).then_some(Timeout::Response);
    }
    if connection.idle && !connection.received_request {
        return (now.since(connection.accepted_at) > REQUEST_TIMEOUT).then_some(Timeout::FirstByte);
    }
    if connection.idle {
        return (quiet > idle_timeout).then_some(Timeout::Idle);
    }
    if connection.busy || connection.lingering_since.is_some() {
        return None;
    }
    // The first request counts from the accept, so that a client that sends a byte now and then
    // gains no time.
    let since = if connection.received_request {
        connection
            .request_started_at
            .unwrap_or(connection.last_activity_at)
    } else {
        connection.accepted_at
    };
    (now.since(since) > REQUEST_TIMEOUT).then_some(Timeout::Request)
}

#[cfg(test)]
mod tests;
