//! What the program took in, sent and answered, and the invariants that did not hold.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the whole process. They only grow.
        #[derive(Debug)]
        #[allow(missing_docs)]
        pub struct Counters { $($(#[$doc])* pub $name: Counter,)* }

        impl Counters {
            const fn new() -> Self {
                Counters { $($name: Counter::new(),)* }
            }
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters")?;
                $(write!(f, " {}={}", stringify!($name), self.$name.get())?;)*
                Ok(())
            }
        }
    };
}

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// None yet.
    pub const fn new() -> Self {
        Counter(AtomicU64::new(0))
    }
    /// One more.
    pub fn add(&self) {
        self.add_n(1);
    }
    /// So many more.
    pub fn add_n(&self, n: usize) {
        self.0.fetch_add(n as u64, Relaxed);
    }
    /// The figure.
    pub fn get(&self) -> u64 {
        self.0.load(Relaxed)
    }
}

counters! {
    /// Queries taken by the core.
    taken,
    /// Final answers by kind.
    whole, partial, refused, failed, gone,
    /// Queries refused since the core was full, or since their time was over when they came.
    over_held, over_time,
    /// Queries of the edge refused for what they cost.
    over_cost,
    /// Requests turned away since their label was that of an open one.
    labels_taken,
    /// Attempts: launched, written whole, and how they ended.
    attempts, written, served, errors, turned_away, timed_out, connect_failed, resets, cancelled, unsent,
    /// Connections.
    accepted, accept_errors, evicted, dials, dials_failed, links_idle_closed, links_lost, links_suspect, links_redialed,
    /// Requests that could not be read, or were for nothing that is here.
    bad_requests, client_timeouts,
    /// Calls at the second address.
    calls,
    /// Frames that could not be read.
    bad_frames,
    /// The list of servers.
    rosters, rosters_back, watch_breaks, bad_rosters, reloads, bad_reloads,
    /// Invariants that did not hold.
    broken_invariants,
}

/// The counters of this process.
pub static COUNTERS: Counters = Counters::new();

/// Logs what may come too often to log each time: the 1st, 2nd, 4th, 8th of its counter and so on. Standard error may
/// be a pipe, and a full one would block the worker.
pub fn log_rarely(counter: &Counter, line: impl FnOnce() -> String) {
    counter.add();
    if counter.get().is_power_of_two() {
        tracing::info!("{}", line());
    }
}

/// What must hold: asserted in debug builds, counted and logged in release builds.
pub fn invariant(holds: bool, what: &str) {
    debug_assert!(holds, "invariant: {what}");
    if !holds {
        log_rarely(&COUNTERS.broken_invariants, || format!("invariant broken: {what}"));
    }
}
