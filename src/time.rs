//! Time outside the module: whole microseconds of the monotonic clock, and the two places where it is converted.

use crate::interface::Nanos;
use std::ops::{Add, Sub};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in monotonic time or a span of it, in whole microseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero: the start of time, or no time at all.
    pub const ZERO: Micros = Micros(0);

    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }

    /// So many seconds.
    pub const fn from_secs(s: u64) -> Self {
        Micros(s * 1_000_000)
    }

    /// The one way into the module's unit.
    pub fn to_nanos(self) -> Nanos {
        self.0.saturating_mul(1_000)
    }

    /// The one way back from the module's unit; a fraction of a microsecond is dropped.
    pub fn from_nanos(nanos: Nanos) -> Self {
        Micros(nanos / 1_000)
    }

    /// What is left from `earlier` to this point; nothing if that is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// For the standard library.
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

/// Where the clock starts: a day in, so that what happened shortly before the program's start has a time too.
const HEAD_START: Micros = Micros::from_secs(86_400);

/// The monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Reads it.
    pub fn now(&self) -> Micros {
        HEAD_START + Micros(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// The one place where a start told in Unix time becomes monotonic time. `None`: long ago. One from the future
/// (clocks differ a little) counts as now.
pub fn monotonic_start(boot_ms: u64, unix_now_ms: u64, now: Micros) -> Option<Micros> {
    let age = Micros::from_millis(unix_now_ms.saturating_sub(boot_ms));
    (boot_ms > 0 && age < now).then(|| now - age)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_start_in_unix_time_becomes_monotonic() {
        let now = Micros::from_secs(100);
        assert_eq!(monotonic_start(0, 1_000_000, now), None);
        assert_eq!(monotonic_start(999_000, 1_000_000, now), Some(Micros::from_secs(99)));
        assert_eq!(monotonic_start(1_000_500, 1_000_000, now), Some(now));
        assert_eq!(monotonic_start(1, 1_000_000, now), None, "before the clock's start: long ago");
    }
}
