//! Budgets for rates.

use super::{seconds, TimeWindow};
use crate::interface::Nanos;

/// A token bucket: it fills at a rate up to a burst, and each request takes one token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// A bucket that holds `tokens` at `now`.
    #[must_use]
    pub fn new(tokens: f64, now: Nanos) -> Self {
        TokenBucket {
            tokens,
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` tokens a second, up to `burst`, and takes one token if there is one.
    pub fn try_take(&mut self, now: Nanos, rate: f64, burst: f64) -> bool {
        let refill = seconds(now - self.refilled_at) * rate;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// A budget that is a ratio of what was earned in a sliding window, such as retries per request.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RatioBudget {
    earned: TimeWindow,
    spent: TimeWindow,
}

impl RatioBudget {
    /// Counts one event that earns.
    pub fn earn(&mut self, now: Nanos) {
        self.earned.push(now, ());
    }

    /// Counts one event that spends; nothing stops it from overdrawing the budget.
    pub fn spend(&mut self, now: Nanos) {
        self.spent.push(now, ());
    }

    /// What is left at `now`: `free` and `ratio` of what was earned within the last `window`, less what was
    /// spent. What lies within `margin` of the window's edge is counted as spent, not as earned.
    #[must_use]
    pub fn available(
        &self,
        now: Nanos,
        free: f64,
        ratio: f64,
        window: Nanos,
        margin: Nanos,
    ) -> f64 {
        let earned = self.earned.count(now, window.saturating_sub(margin)) as f64;
        free + ratio * earned - self.spent.count(now, window + margin) as f64
    }

    /// Drops events older than `span` before `now`.
    pub fn expire(&mut self, now: Nanos, span: Nanos) {
        self.earned.expire(now, span);
        self.spent.expire(now, span);
    }
}
