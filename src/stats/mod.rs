//! Statistics and primitives for the policy: moving averages, sliding windows, budgets, backoff and
//! control.
//!
//! The module makes no decisions. Times are [`Nanos`] of the caller's clock, passed with each call;
//! random numbers come from the caller's generator.

mod average;
mod backoff;
mod budget;
mod control;
mod shares;
mod window;

#[cfg(test)]
mod tests;

pub use average::{DecayingAverage, Ewma};
pub use backoff::Backoff;
pub use budget::{RatioBudget, TokenBucket};
pub use control::{FallingRamp, PidGains, VelocityPid};
pub use shares::{balance_shares, Share};
pub use window::{RecentValues, TimeWindow};

use crate::interface::Nanos;

/// Draws a random number from the exponential distribution with mean 1.
#[must_use]
pub fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -rng.f64().max(f64::MIN_POSITIVE).ln()
}

/// Returns the highest mean of a Poisson-distributed count for which `limit` is at least
/// `deviations` standard deviations above the mean.
#[must_use]
pub fn safe_mean(limit: f64, deviations: f64) -> f64 {
    (((deviations * deviations / 4.0 + limit).sqrt() - deviations / 2.0).powi(2)).min(limit)
}

/// Converts nanoseconds to seconds.
#[must_use]
pub fn seconds(time: Nanos) -> f64 {
    time as f64 / 1e9
}
