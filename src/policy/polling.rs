//! Timing of polls for the endpoint list, where it is not pushed.

#[cfg(test)]
mod tests;

use crate::interface::{EndpointListKind, Nanos};

/// Fraction of the longest poll interval within which a failed poll is repeated.
const RETRY_WAIT_DIVISOR: u64 = 8;
/// Least share of that wait; the rest is drawn.
const MIN_RETRY_WAIT_SHARE: f64 = 0.25;

/// Schedule of polls for the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollSchedule {
    due_at: Option<Nanos>,
}

impl PollSchedule {
    /// Creates a schedule whose first poll is due at once if the settings have a longest interval.
    #[must_use]
    pub fn new(max_interval: Option<Nanos>, now: Nanos) -> Self {
        PollSchedule {
            due_at: max_interval.map(|_| now),
        }
    }

    /// Returns when the next poll is due, if one is.
    #[must_use]
    pub fn due_at(&self) -> Option<Nanos> {
        self.due_at
    }

    /// Returns whether a poll is due. If so it counts as made, and the next is due after half the
    /// longest interval.
    pub fn take_due(&mut self, max_interval: Option<Nanos>, now: Nanos) -> bool {
        let due = self.due_at.is_some_and(|at| at <= now);
        if due {
            self.due_at = Some(now + max_interval.unwrap_or(Nanos::MAX) / 2);
        }
        due
    }

    /// Records that a list, or changes to it, was received: while a subscription lasts no polls are
    /// due.
    pub fn record_list(&mut self, kind: EndpointListKind) {
        if kind != EndpointListKind::Cached {
            self.due_at = None;
        }
    }

    /// Records that a poll failed: the next is due after a jittered wait, well inside the longest
    /// interval.
    pub fn record_failure(
        &mut self,
        max_interval: Option<Nanos>,
        now: Nanos,
        rng: &mut fastrand::Rng,
    ) {
        self.due_at = max_interval.map(|interval| {
            let longest_wait = (interval / RETRY_WAIT_DIVISOR) as f64;
            let jitter = (1.0 - MIN_RETRY_WAIT_SHARE) * rng.f64();
            now + (longest_wait * (MIN_RETRY_WAIT_SHARE + jitter)) as Nanos
        });
    }
}
