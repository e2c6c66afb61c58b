//! Rate limits: a token bucket and a ratio budget.

use super::{seconds, TimeWindow};
use crate::interface::Nanos;

/// Token bucket, which is refilled at a rate up to a maximum, the burst.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// Creates a bucket with `tokens` at `now`.
    #[must_use]
    pub fn new(tokens: f64, now: Nanos) -> Self {
        TokenBucket {
            tokens,
            refilled_at: now,
        }
    }

    /// Refills the bucket at `rate` tokens per second, up to `burst` tokens, and takes one token.
    /// Returns false if there was less than one.
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

/// Budget for one kind of events that is a ratio of the number of another kind in a sliding window,
/// such as retries per request.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RatioBudget {
    earned: TimeWindow,
    spent: TimeWindow,
}

impl RatioBudget {
    /// Records one event that adds to the budget.
    pub fn earn(&mut self, now: Nanos) {
        self.earned.push(now, ());
    }

    /// Records one event that spends from the budget. The budget may become negative.
    pub fn spend(&mut self, now: Nanos) {
        self.spent.push(now, ());
    }

    /// Returns the budget left at `now`: `free`, plus `ratio` for each event within the last
    /// `window` that added to the budget, less the number of those that spent from it. Within
    /// `margin` of the edge of the window, inside or outside, only the events that spent count.
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

    /// Removes events older than `span` before `now`.
    pub fn expire(&mut self, now: Nanos, span: Nanos) {
        self.earned.expire(now, span);
        self.spent.expire(now, span);
    }
}
