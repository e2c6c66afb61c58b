//! Tests of the conversions between clocks and units of time.

use super::*;

#[test]
fn a_start_in_unix_time_becomes_a_monotonic_time() {
    let now = Micros::from_secs(100);
    assert_eq!(monotonic_start(0, 1_000_000, now), None);
    assert_eq!(
        monotonic_start(999_000, 1_000_000, now),
        Some(Micros::from_secs(99))
    );
    assert_eq!(monotonic_start(1_000_500, 1_000_000, now), Some(now));
    assert_eq!(
        monotonic_start(1, 1_000_000, now),
        None,
        "the start is before the origin of the monotonic clock"
    );
}

#[test]
fn nanoseconds_are_rounded_down_or_up_to_microseconds() {
    for (nanos, down, up) in [(0, 0, 0), (999, 0, 1), (1_000, 1, 1), (1_001, 1, 2)] {
        assert_eq!(Micros::from_nanos(nanos), Micros(down));
        assert_eq!(Micros::from_nanos_rounded_up(nanos), Micros(up));
    }
}

/// Guards against an overflow that turns a very long time into a short one.
#[test]
fn spans_beyond_the_longest_saturate() {
    assert_eq!(Micros::from_secs(u64::MAX), Micros(u64::MAX));
    assert_eq!(Micros::from_millis(u64::MAX / 2), Micros(u64::MAX));
    assert_eq!(Micros::from_secs(2), Micros::from_millis(2_000));
}
