//! A snapshot of a client connection, by which evictions and timeouts are decided.

use crate::time::Micros;

/// The state of one client connection at one time, as far as evictions and timeouts depend on it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionActivity {
    /// The time of the accept.
    pub accepted_at: Micros,
    /// The time of the last read, write or response.
    pub last_activity_at: Micros,
    /// The time of the current request's first byte; `None` between requests.
    pub request_started_at: Option<Micros>,
    /// The time since which input is discarded after an error response; `None` otherwise.
    pub lingering_since: Option<Micros>,
    /// Whether at least one complete request was received.
    pub received_request: bool,
    /// Whether at least one request was submitted to the coordinator as a query.
    pub submitted_query: bool,
    /// Whether a request waits for its response.
    pub busy: bool,
    /// Whether no part of a request or response is buffered.
    pub idle: bool,
    /// Whether part of a response is not written yet.
    pub output_pending: bool,
    /// Whether the connection closes as soon as no request is in progress.
    pub closing: bool,
    /// Whether the connection closes even with a request in progress.
    pub aborted: bool,
    /// The memory for input that belongs to no request in progress, in bytes.
    pub unread_bytes: usize,
    /// The memory for requests and responses, in bytes.
    pub buffered_bytes: usize,
}
