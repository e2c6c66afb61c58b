//! The history of events that is recorded in a run. All times are relative to the start of the run.

use std::time::Duration;

/// The number of a request, unique in its run.
pub type RequestNumber = usize;

/// The class of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// An answer needs all parts. Attempts may be repeated.
    Complete,
    /// An answer needs at least half of the parts. Attempts may be repeated.
    Partial,
    /// An answer needs all parts. No part may be executed twice.
    NonIdempotent,
}

/// The content of a response as classified by its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Content {
    /// An error response, which has no answer.
    Error,
    /// A correct answer that is declared complete.
    Complete,
    /// A correct answer that is declared partial.
    Partial,
    /// An answer that differs from the query or from what it declares, and the reason.
    Wrong(String),
}

/// The end of a request as observed by its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The client received a complete response.
    Answered { status: u16, content: Content },
    /// The connection was closed or reset before a complete response was received.
    ConnectionEnded { reset: bool },
    /// The client disconnected before it received a response.
    ClientDisconnected,
    /// The client received no complete response within the time for which it reads.
    TimedOut,
}

/// A request that a client sent.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub number: RequestNumber,
    pub class: Class,
    /// The time at which the last byte was sent.
    pub sent_at: Duration,
    /// The timeout that the client sent with the request.
    pub timeout: Duration,
    pub end: RequestEnd,
    pub ended_at: Duration,
}

/// An attempt at a part of a query that a server received.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub request: RequestNumber,
    /// The part, named by its shard.
    pub part: String,
    pub server: usize,
    pub received_at: Duration,
    /// Whether the server rejected the attempt, so that the part was not executed.
    pub rejected: bool,
}

/// A drain of a server that the discovery agent or the inventory announced.
#[derive(Debug, Clone)]
pub struct DrainRecord {
    pub server: usize,
    /// The time by which the drain was announced to the process.
    pub announced_at: Duration,
    /// The time at which the server was put back into service.
    pub ended_at: Duration,
}

/// A process of the run.
#[derive(Debug, Clone, Default)]
pub struct ProcessRecord {
    /// The time of the first readiness check that succeeded.
    pub ready_at: Option<Duration>,
    /// The time of the first SIGTERM, if one was sent.
    pub terminated_at: Option<Duration>,
    /// The time of the earliest SIGKILL after SIGTERM.
    pub kill_due_at: Option<Duration>,
    /// The time of the SIGKILL, if one was sent.
    pub killed_at: Option<Duration>,
    /// The time at which the run noticed the exit.
    pub exited_at: Option<Duration>,
    /// Whether the process exited with success and without SIGKILL.
    pub exited_with_success: bool,
    /// The counter of violated invariants at the exit, if the process logged it.
    pub broken_invariants: Option<u64>,
    pub peak_memory_kib: u64,
    pub peak_descriptors: usize,
}

/// A connection that a client tried to open and that was refused.
#[derive(Debug, Clone, Copy)]
pub struct RefusedConnect {
    pub at: Duration,
}

/// A delay of a sleeping thread, which woke up later than it should have.
#[derive(Debug, Clone, Copy)]
pub struct Delay {
    pub ended_at: Duration,
    /// The time between the end of the sleep and the wake-up.
    pub length: Duration,
}

/// All events that were recorded in a run.
#[derive(Debug, Clone, Default)]
pub struct History {
    pub requests: Vec<RequestRecord>,
    pub attempts: Vec<AttemptRecord>,
    pub drains: Vec<DrainRecord>,
    pub processes: Vec<ProcessRecord>,
    pub refused_connects: Vec<RefusedConnect>,
    pub delays: Vec<Delay>,
}

impl History {
    /// Returns the sum of the delays of sleeping threads that overlap the time from `from` to `to`.
    pub fn delay_between(&self, from: Duration, to: Duration) -> Duration {
        delay_between(&self.delays, from, to)
    }

    /// Returns the sum of all delays, over all sleeping threads.
    pub fn total_delay(&self) -> Duration {
        self.delays.iter().map(|delay| delay.length).sum()
    }
}

/// Returns the sum of the delays that overlap the time from `from` to `to`.
pub fn delay_between(delays: &[Delay], from: Duration, to: Duration) -> Duration {
    let overlaps = |delay: &&Delay| {
        let started_at = delay.ended_at.saturating_sub(delay.length);
        delay.ended_at >= from && started_at <= to
    };
    let overlapping = delays.iter().filter(overlaps);
    overlapping.map(|delay| delay.length).sum()
}
