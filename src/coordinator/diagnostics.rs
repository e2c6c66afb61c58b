//! Throttled log lines and checked invariants.

use super::counters::{Counter, COUNTERS};

/// Counts an event that may occur too often to log each time, and logs the 1st, 2nd, 4th, 8th of its counter
/// and so on, by calling `log_event`. Standard error may be a pipe, and a full one would block the worker.
pub fn log_throttled(counter: &Counter, log_event: impl FnOnce()) {
    counter.increment();
    if counter.get().is_power_of_two() {
        log_event();
    }
}

/// Checks what must hold: asserted in debug builds, counted and logged in release builds.
pub fn check_invariant(holds: bool, description: &str) {
    debug_assert!(holds, "invariant: {description}");
    if !holds {
        log_throttled(&COUNTERS.broken_invariants, || {
            tracing::error!(description, "invariant broken")
        });
    }
}

#[cfg(test)]
mod tests;
