//! What is known of a client connection at one moment, as far as evictions and time-outs depend on it.

use crate::time::Micros;

/// The state of one client connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectionActivity {
    /// When it was accepted.
    pub accepted_at: Micros,
    /// When bytes were last read or written, or a response was last given.
    pub last_activity_at: Micros,
    /// When the first byte of the present request came; `None` between requests.
    pub request_started_at: Option<Micros>,
    /// Since when input is read and discarded, as the last response is an error.
    pub lingering_since: Option<Micros>,
    /// At least one complete request has come.
    pub received_request: bool,
    /// At least one request was a query, and not one that is answered at once.
    pub submitted_query: bool,
    /// A request waits for its response.
    pub busy: bool,
    /// No part of a request or response is here.
    pub idle: bool,
    /// Part of a response is not written yet.
    pub output_pending: bool,
    /// It closes as soon as no request is in progress.
    pub closing: bool,
    /// It is to close whatever is in progress.
    pub aborted: bool,
    /// Bytes of memory for requests and responses.
    pub buffered_bytes: usize,
}
