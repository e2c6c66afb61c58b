//! The counters of the process, logged on SIGUSR1 and at its exit.
//!
//! [`COUNTERS`] is global, since each counts the process as a whole and is incremented in modules
//! that share nothing else.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the whole process. They only increase.
        #[derive(Debug)]
        pub struct Counters { $($(#[$doc])* pub $name: Counter,)* }

        impl Counters {
            const fn new() -> Self {
                Counters { $($name: Counter::new(),)* }
            }

            /// Logs all counters as the fields of one event.
            pub fn log(&self) {
                tracing::info!($($name = self.$name.get(),)* "counters");
            }
        }

    };
}

/// A number that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Creates a counter at 0.
    #[must_use]
    pub const fn new() -> Self {
        Counter(AtomicU64::new(0))
    }

    /// Counts one event.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Counts one event and returns its ordinal number, from 1.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Relaxed) + 1
    }

    /// Counts `n` events.
    pub fn add(&self, n: usize) {
        self.0.fetch_add(n as u64, Relaxed);
    }

    /// Returns the number of events so far.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

counters! {
    /// Queries that were passed to the policy.
    queries_accepted,
    /// Queries answered from all the parts that their class requires.
    queries_complete,
    /// Queries answered from some of their parts.
    queries_partial,
    /// Queries rejected, so that a retry is safe.
    queries_rejected,
    /// Queries that failed.
    queries_failed,
    /// Queries whose client disconnected before the final answer.
    queries_abandoned,
    /// Queries that were not submitted to the coordinator, since their client had disconnected by the
    /// end of its turn; also in `queries_abandoned`.
    queries_not_submitted,
    /// Queries rejected because too few slots were free; also in `queries_rejected`.
    rejected_over_capacity,
    /// Queries rejected because their deadline had passed or was too near on arrival; also in
    /// `queries_rejected`.
    rejected_expired,
    /// Queries rejected by the policy, which expects no answer in time; also in `queries_rejected`.
    rejected_by_policy,
    /// Queries rejected because the payloads of those in flight hold too much memory; also in
    /// `queries_rejected`.
    rejected_over_memory,
    /// Feature queries rejected for their estimated cost or memory; the coordinator never received
    /// them.
    rejected_over_cost,
    /// Requests rejected because their id is that of a pending one.
    duplicate_request_ids,
    /// Attempts dispatched to a server's driver.
    attempts_dispatched,
    /// Attempts whose request was written to the last byte.
    attempts_fully_written,
    /// Attempts that returned a value.
    attempts_served,
    /// Attempts that the server answered with an error.
    attempts_error,
    /// Attempts that the server rejected without running them.
    attempts_rejected,
    /// Attempts that timed out after some of their request was written.
    attempts_timed_out,
    /// Attempts that got no connection before their timeout.
    attempts_connect_failed,
    /// Attempts whose connection broke.
    attempts_reset,
    /// Attempts cancelled after some of their request was written.
    attempts_cancelled,
    /// Attempts that ended before any of their request was written.
    attempts_not_sent,
    /// Connections accepted from clients.
    connections_accepted,
    /// Connections of clients that could not be accepted.
    accept_errors,
    /// Connections of clients that had closed them before they were accepted from a full backlog.
    connections_left_unread,
    /// Pauses of accepting connections, since the limit was reached and none could be closed.
    accept_pauses,
    /// Connections of clients that were closed to make room for others.
    connections_evicted,
    /// Connections to servers that the process started to open.
    dials,
    /// Connections to servers that were never established.
    dials_failed,
    /// Connections to servers closed after their idle time.
    server_connections_idle_closed,
    /// Connections to servers that broke with attempts in flight.
    server_connections_lost,
    /// Connections to servers that were abandoned because the server did not respond.
    server_connections_unresponsive,
    /// Connections to servers that were dialed again for requests that were waiting when the old
    /// one closed.
    server_connections_redialed,
    /// Requests of clients that could not be parsed, or whose target does not exist.
    bad_requests,
    /// Checks that found input of a client unread since the check before; a defect of the program.
    client_input_missed,
    /// Clients that sent nothing or an incomplete request, or did not read their response in time.
    client_timeouts,
    /// Calls of the admin endpoint.
    admin_calls,
    /// Frames and responses of servers that could not be parsed.
    bad_frames,
    /// Endpoint lists and changes to them that were received.
    endpoint_updates,
    /// Endpoint lists that were older than the newest one.
    stale_endpoint_updates,
    /// Discovery watches that ended.
    watch_disconnects,
    /// Endpoint lists that could not be parsed.
    bad_endpoint_updates,
    /// Reloads of the configuration or the inventory that were applied.
    reloads,
    /// Reloads that were rejected.
    bad_reloads,
    /// Violations of invariants, which are defects of the program.
    broken_invariants,
}

/// The counters of this process.
pub static COUNTERS: Counters = Counters::new();
