//! When to ask for the endpoint list, where it comes only when asked.

use crate::interface::{EndpointListKind, Nanos};

/// Share of the longest interval between polls within which a failed one is made again.
const RETRY_FRACTION: u64 = 8;
/// The least share of that wait; the rest is drawn.
const MIN_RETRY_WAIT: f64 = 0.25;

/// The next poll, where one is due at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointPoll {
    due_at: Option<Nanos>,
}

impl EndpointPoll {
    /// The first poll is due at once, where the settings say how often to poll.
    #[must_use]
    pub fn new(max_interval: Option<Nanos>, now: Nanos) -> Self {
        EndpointPoll { due_at: max_interval.map(|_| now) }
    }

    /// When the next poll is due.
    #[must_use]
    pub fn due_at(&self) -> Option<Nanos> {
        self.due_at
    }

    /// Is a poll due? Then it is taken to be made, and the next is due after half the longest interval.
    pub fn take_due(&mut self, max_interval: Option<Nanos>, now: Nanos) -> bool {
        let due = self.due_at.is_some_and(|at| at <= now);
        if due {
            self.due_at = Some(now + max_interval.unwrap_or(Nanos::MAX) / 2);
        }
        due
    }

    /// A list, or changes to it, was received: while a subscription lasts no polls are due.
    pub fn list_received(&mut self, kind: EndpointListKind) {
        self.due_at = self.due_at.filter(|_| kind == EndpointListKind::Cached);
    }

    /// A poll failed: the next is due after a jittered wait, well inside the longest interval.
    pub fn poll_failed(&mut self, max_interval: Option<Nanos>, now: Nanos, rng: &mut fastrand::Rng) {
        let longest = max_interval.map(|interval| (interval / RETRY_FRACTION) as f64);
        let wait = longest.map(|wait| wait * (MIN_RETRY_WAIT + (1.0 - MIN_RETRY_WAIT) * rng.f64()));
        self.due_at = wait.map(|wait| now + wait as Nanos);
    }
}

#[cfg(test)]
mod tests;
