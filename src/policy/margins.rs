//! Time reserved before latency objectives and deadlines.

/// Ticks reserved before a latency objective, for receiving the last answer, for responding to the
/// client, and for the network.
pub const OBJECTIVE_MARGIN_TICKS: u64 = 3;
/// Ticks reserved before a deadline or the end of a deduplication window.
pub const DEADLINE_MARGIN_TICKS: u64 = 4;
