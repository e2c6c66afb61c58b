//! The rule "retry budget": the number of attempts beyond each part's first is limited to a share
//! of the queries and parts received.

use crate::interface::{Nanos, Settings};
use crate::stats::RatioBudget;

/// Ticks around the edge of the budget's window in which retries count, but queries and parts
/// received do not.
const WINDOW_MARGIN_TICKS: u64 = 2;
/// Number of windows for which events are retained.
const RETAINED_WINDOWS: u64 = 2;

/// Limiter of retries and hedged requests, by the number of queries and parts received.
#[derive(Debug, Default)]
pub struct RetryLimiter {
    budget: RatioBudget,
}

impl RetryLimiter {
    /// Counts a query or part that was received.
    pub fn record_received(&mut self, now: Nanos) {
        self.budget.earn(now);
    }

    /// Counts a retry or hedged request that is sent.
    pub fn record_retry(&mut self, now: Nanos) {
        self.budget.spend(now);
    }

    /// Returns whether the budget allows another retry or hedged request now.
    pub fn allows(&self, settings: &Settings, now: Nanos) -> bool {
        let Some(rule) = settings.retry_budget else {
            return true;
        };
        let margin = settings.ticks(WINDOW_MARGIN_TICKS);
        let available = self
            .budget
            .available(now, rule.free, rule.ratio, rule.window, margin);
        available >= 1.0
    }

    /// Removes events that are too old to be in a window.
    pub fn expire(&mut self, settings: &Settings, now: Nanos) {
        let retained = settings
            .retry_budget
            .map_or(0, |rule| RETAINED_WINDOWS * rule.window);
        self.budget.expire(now, retained);
    }
}
