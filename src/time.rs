//! Time outside the decision policy: whole microseconds of the monotonic clock, and the conversion
//! to and from other clocks and units.
//!
//! The decision policy, the settings and the simulator's protocol use nanoseconds ([`Nanos`]); the
//! coordinator, the limits, the fronts and the drivers use [`Micros`]. [`Micros::to_nanos`],
//! [`Micros::from_nanos`] and [`Micros::from_nanos_rounded_up`] are the only conversions between
//! them.
//!
//! No clock is global: a [`Clock`] is started once and copied to its users.

use crate::interface::Nanos;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NANOS_PER_MICRO: Nanos = 1_000;

/// A point in monotonic time or a span of it, in whole microseconds. Sums and differences saturate.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The origin of time, or an empty span.
    pub const ZERO: Micros = Micros(0);

    /// Returns a span of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis.saturating_mul(1_000))
    }

    /// Returns a span of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Micros(secs.saturating_mul(1_000_000))
    }

    /// Converts to the unit of the decision policy.
    #[must_use]
    pub fn to_nanos(self) -> Nanos {
        self.0.saturating_mul(NANOS_PER_MICRO)
    }

    /// Converts from the unit of the decision policy; a fraction of a microsecond is dropped.
    #[must_use]
    pub fn from_nanos(nanos: Nanos) -> Self {
        Micros(nanos / NANOS_PER_MICRO)
    }

    /// Converts from the unit of the decision policy; a fraction of a microsecond is rounded up.
    #[must_use]
    pub fn from_nanos_rounded_up(nanos: Nanos) -> Self {
        Self::from_nanos(nanos.saturating_add(NANOS_PER_MICRO - 1))
    }

    /// Returns the span from `earlier` to this point; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Converts to the standard library's type.
    #[must_use]
    pub fn to_duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.since(other)
    }
}

/// The time at the start of a clock: one day, so that events up to a day before the program's start
/// have a time.
const CLOCK_ORIGIN: Micros = Micros::from_secs(86_400);

/// The monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Micros {
        CLOCK_ORIGIN + Micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}

/// Converts the start of a process from Unix time, in milliseconds, to monotonic time;
/// `unix_now_ms` and `now` are the same moment on the two clocks. Returns `None` if the start is
/// unknown (0) or lies before the origin of the monotonic clock. A start in the future counts as
/// now, since the clocks of two machines differ a little.
#[must_use]
pub fn monotonic_start(start_unix_ms: u64, unix_now_ms: u64, now: Micros) -> Option<Micros> {
    let age = Micros::from_millis(unix_now_ms.saturating_sub(start_unix_ms));
    (start_unix_ms > 0 && age < now).then(|| now - age)
}

#[cfg(test)]
mod tests;
