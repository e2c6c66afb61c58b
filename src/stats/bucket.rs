//! Token buckets for rates.

use super::seconds;
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
        TokenBucket { tokens, refilled_at: now }
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
