//! Tests of the silence detection.

use super::*;
use crate::interface::{AttemptNo, PartId};

fn key(part: u64) -> AttemptKey {
    AttemptKey {
        part: PartId(part),
        attempt: AttemptNo(0),
    }
}

#[test]
fn silence_adds_up_over_cancelled_attempts() {
    // No attempt alone waits for long enough, but all of them together do.
    let ms = Micros::from_millis;
    let timeout = ms(25);
    let mut detector = SilenceDetector::default();
    for (attempt, silent) in [(1, false), (2, false), (3, true)] {
        let dispatched_at = ms(attempt * 100);
        detector.record_dispatched(key(attempt), dispatched_at);
        assert!(detector.silent_for(dispatched_at) <= timeout);
        let cancelled_at = dispatched_at + ms(10);
        assert_eq!(
            detector.record_cancelled(key(attempt), cancelled_at, timeout),
            silent,
            "attempt {attempt}"
        );
    }
    assert!(
        detector.silent_for(ms(400)) > timeout,
        "the connection counts as silent"
    );
    detector.record_received(ms(500));
    assert_eq!(detector.silent_for(ms(900)), Micros::ZERO);
}

#[test]
fn new_connection_without_any_bytes_is_silent() {
    let ms = Micros::from_millis;
    let mut detector = SilenceDetector::opened_at(ms(100));
    detector.record_dispatched(key(1), ms(100));
    assert!(detector.record_cancelled(key(1), ms(150), ms(25)));
}

#[test]
fn attempts_cancelled_together_count_once() {
    let ms = Micros::from_millis;
    let mut detector = SilenceDetector::opened_at(ms(500));
    for part in 5..25 {
        detector.record_dispatched(key(part), ms(1_000));
    }
    assert!((5..25).all(|part| !detector.record_cancelled(key(part), ms(1_010), ms(25))));
}

#[test]
fn outliers_do_not_lengthen_the_silence_timeout() {
    let baseline = ResponseTimeBaseline {
        micros: AtomicU64::new(1_000),
    };
    (0..5).for_each(|_| baseline.record(Micros::from_secs(2)));
    assert!(
        baseline.silence_timeout() < Micros::from_millis(10),
        "{baseline:?}"
    );
    assert_eq!(
        baseline.silence_timeout(),
        baseline.cancelled_silence_timeout() + SILENCE_MARGIN
    );
    (0..500).for_each(|_| baseline.record(Micros::from_millis(20)));
    assert!(
        baseline.silence_timeout() > Micros::from_millis(80),
        "the baseline rises: {baseline:?}"
    );
}
