//! Exponential backoff.

use crate::interface::Nanos;

/// The wait doubles with so many failures in a row at most.
const MAX_DOUBLINGS: u32 = 4;

/// Failures in a row, and when the next trial is due.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Backoff {
    failures: u32,
    due_at: Nanos,
}

impl Backoff {
    /// Counts a failure: the next trial is due after twice `base`, in ns, then four times, and so on.
    pub fn fail(&mut self, now: Nanos, base: f64) {
        self.failures += 1;
        self.due_at = now + (base * f64::from(1u32 << self.failures.min(MAX_DOUBLINGS))) as Nanos;
    }

    /// Ends the run of failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// How many failures there were in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// The last outcome was a failure.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// The wait since the last failure is over.
    #[must_use]
    pub fn is_due(&self, now: Nanos) -> bool {
        now >= self.due_at
    }
}
