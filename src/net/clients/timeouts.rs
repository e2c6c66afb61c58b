//! When client connections are closed for being slow, silent or idle. Pure: no I/O, no clock.

use super::activity::ConnectionActivity;
use crate::time::Micros;

/// A request must be complete within this time of its first byte, and the first one of a connection within this time of
/// the accept: clients are owed an error or a close within 3 s.
const MAX_REQUEST: Micros = Micros::from_millis(2_200);
/// An idle connection is kept for this time,
const MAX_IDLE: Micros = Micros::from_secs(30);
/// or for this one while more than half of the places are taken.
const MAX_IDLE_CROWDED: Micros = Micros::from_millis(2_500);
/// A response must be read by the client within this time.
const MAX_WRITE_STALL: Micros = Micros::from_secs(15);
/// Input after an error response is read and discarded for this time: closing a socket with unread input sends a reset,
/// on which the client may lose the response.
const MAX_LINGER: Micros = Micros::from_secs(1);

/// How long an idle connection is kept while so many of so many places are taken.
#[must_use]
pub fn max_idle(connections: usize, max_connections: usize) -> Micros {
    if connections * 2 > max_connections {
        MAX_IDLE_CROWDED
    } else {
        MAX_IDLE
    }
}

/// A time limit that a connection has exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeout {
    /// Its client goes on sending after an error response.
    Linger,
    /// Its client does not read the response.
    Response,
    /// Its client has sent nothing since it connected.
    FirstByte,
    /// It has been idle between two requests.
    Idle,
    /// Its client has sent only part of a request.
    Request,
}

/// The time limit that a connection has exceeded, if any.
#[must_use]
pub fn exceeded(connection: &ConnectionActivity, now: Micros, max_idle: Micros) -> Option<Timeout> {
    let quiet = now.since(connection.last_activity_at);
    if connection
        .lingering_since
        .is_some_and(|since| now.since(since) > MAX_LINGER)
    {
        return Some(Timeout::Linger);
    }
    if connection.output_pending {
        return (quiet > MAX_WRITE_STALL).then_some(Timeout::Response);
    }
    if connection.idle && !connection.received_request {
        return (now.since(connection.accepted_at) > MAX_REQUEST).then_some(Timeout::FirstByte);
    }
    if connection.idle {
        return (quiet > max_idle).then_some(Timeout::Idle);
    }
    if connection.busy || connection.lingering_since.is_some() {
        return None;
    }
    // The first request counts from the accept, so that a client that sends a byte now and then gains no time.
    let since = if connection.received_request {
        connection
            .request_started_at
            .unwrap_or(connection.last_activity_at)
    } else {
        connection.accepted_at
    };
    (now.since(since) > MAX_REQUEST).then_some(Timeout::Request)
}

#[cfg(test)]
mod tests;
