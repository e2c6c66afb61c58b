//! Exponential backoff.

use crate::interface::Nanos;

/// Maximum number of times that the wait doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Exponential backoff: consecutive failures, and the time of the next probe.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Backoff {
    failures: u32,
    due_at: Nanos,
}

impl Backoff {
    /// Records a failure. The next probe is due after `base`, in ns, times two to the power of the
    /// number of consecutive failures, of which at most `MAX_DOUBLINGS` count.
    pub fn fail(&mut self, now: Nanos, base: f64) {
        self.failures += 1;
        self.due_at = now + (base * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS))) as Nanos;
    }

    /// Records a success, which resets the number of consecutive failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of consecutive failures.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether the last outcome was a failure.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the wait since the last failure is over.
    #[must_use]
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.due_at
    }
}
