//! Small statistics for a stream of observations: moving averages, sliding windows, token buckets.
//!
//! Nothing here decides. Times are [`Nanos`] of the
//! caller's clock, handed in with each call; random draws come from the caller's generator.

mod average;
mod budget;
mod fleet;
mod window;

#[cfg(test)]
mod tests;

pub use average::{DecayingAverage, Ewma};
pub use budget::{RatioBudget, TokenBucket};
pub use fleet::{ConnectionUse, FleetLatency};
pub use window::{RecentValues, TimeWindow};

use crate::interface::Nanos;

/// A draw from the exponential distribution with mean 1.
#[must_use]
pub fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -rng.f64().max(f64::MIN_POSITIVE).ln()
}

/// Nanoseconds as seconds.
#[must_use]
pub fn seconds(time: Nanos) -> f64 {
    time as f64 / 1e9
}
