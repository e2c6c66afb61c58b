//! The timeouts of slow, silent and idle client connections. Pure functions, without sockets and
//! clocks.

use super::activity::ConnectionActivity;
use crate::time::Micros;

/// The time from its first byte in which a request must be complete. For the first request of a
/// connection the time counts from the accept. Clients expect an error or a close within 3 s.
const REQUEST_TIMEOUT: Micros = Micros::from_millis(2_200);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Micros = Micros::from_secs(30);
/// The time after which an idle connection is closed while more than half of the maximum number of
/// connections are open.
const CROWDED_IDLE_TIMEOUT: Micros = Micros::from_millis(2_500);
/// The time in which a client must read at least some bytes of a response.
const WRITE_TIMEOUT: Micros = Micros::from_secs(15);
/// The time in which input after an error response is discarded: closing a socket with unread input
/// sends a reset, which can destroy the response in transit.
const LINGER_TIMEOUT: Micros = Micros::from_secs(1);

/// Returns the time after which an idle connection is closed while `connections` of at most
/// `max_connections` are open.
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
    /// The client continues to send after an error response.
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
    let inactive_for = now.since(connection.last_activity_at);
    if connection
        .lingering_since
        .is_some_and(|since| now.since(since) > LINGER_TIMEOUT)
    {
        return Some(Timeout::Linger);
    }
    if connection.output_pending {
        return (inactive_for > WRITE_TIMEOUT).then_some(Timeout::Response);
    }
    if connection.idle && !connection.received_request {
        return (now.since(connection.accepted_at) > REQUEST_TIMEOUT).then_some(Timeout::FirstByte);
    }
    if connection.idle {
        return (inactive_for > idle_timeout).then_some(Timeout::Idle);
    }
    if connection.busy || connection.lingering_since.is_some() {
        return None;
    }
    // The time of the first request counts from the accept, so that a client does not extend it by
    // sending single bytes.
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
