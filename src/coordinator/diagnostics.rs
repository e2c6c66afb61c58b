//! Throttled log events and checked invariants.
//!
//! The throttling has no state of its own: it follows the counters, which are global
//! ([`COUNTERS`]).

use super::counters::{Counter, COUNTERS};

/// Counts an event, and calls `log_event` for the 1st, 2nd, 4th, 8th and so on that `counter`
/// counts. The event may occur too often to log each time: standard error may be a pipe, and a full
/// pipe would block the worker.
pub fn log_throttled(counter: &Counter, log_event: impl FnOnce()) {
    if counter.next().is_power_of_two() {
        log_event();
    }
}

/// Checks an invariant; `description` states how it is violated.
///
/// # Panics
///
/// In debug builds, if the invariant does not hold. A release build counts and logs the violation
/// instead.
pub fn check_invariant(holds: bool, description: &str) {
    debug_assert!(holds, "invariant violated: {description}");
    if !holds {
        log_throttled(&COUNTERS.broken_invariants, || {
            tracing::error!(description, "invariant violated")
        });
    }
}

#[cfg(test)]
mod tests;
