//! Timing of polls for the endpoint list, where it is not pushed.

#[cfg(test)]
mod tests;

use crate::interface::{EndpointListKind, Nanos};

/// Divisor of the longest poll interval that gives the longest wait before a failed poll is
/// repeated.
const RETRY_WAIT_DIVISOR: u64 = 8;
/// Shortest wait before a failed poll is repeated, as a share of the longest one. The wait is drawn
/// at random between the two.
const MIN_RETRY_WAIT_SHARE: f64 = 0.25;

/// Schedule of polls for the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollSchedule {
    due_at: Option<Nanos>,
}

impl PollSchedule {
    /// Creates a schedule. The first poll is due at once, or never if `max_interval` is `None`.
    #[must_use]
    pub fn new(max_interval: Option<Nanos>, now: Nanos) -> Self {
        PollSchedule {
            due_at: max_interval.map(|_| now),
        }
    }

    /// Returns the time at which the next poll is due; `None` if none is scheduled.
    #[must_use]
    pub fn due_at(&self) -> Option<Nanos> {
        self.due_at
    }

    /// Returns whether a poll is due. If so, the caller must make it now, and the next one is
    /// scheduled after half the longest interval.
    pub fn take_due(&mut self, max_interval: Option<Nanos>, now: Nanos) -> bool {
        let due = self.due_at.is_some_and(|at| at <= now);
        if due {
            self.due_at = Some(now + max_interval.unwrap_or(Nanos::MAX) / 2);
        }
        due
    }

    /// Records that a list, or changes to it, was received. Unless the list is cached, it comes
    /// from a subscription, and no polls are due while that lasts.
    pub fn record_list(&mut self, kind: EndpointListKind) {
        if kind != EndpointListKind::Cached {
            self.due_at = None;
        }
    }

    /// Records that a poll failed, and schedules the next one after a jittered wait that is much
    /// shorter than the longest interval.
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
