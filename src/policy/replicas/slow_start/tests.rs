//! Tests of the slow-start limiter.

use super::*;

const SECOND: Nanos = 1_000_000_000;

/// Guards against a memory leak: without a slow-start rule, the record of sent work would grow with
/// each attempt.
#[test]
fn the_record_of_sent_work_is_bounded_with_and_without_a_rule() {
    let rule = SlowStartRule {
        overload_factor: 1.5,
        overload_window: SECOND,
        initial_capacity: 0.1,
        warm_up: 30 * SECOND,
    };
    for (rule, most) in [(None, 0), (Some(rule), 11)] {
        let mut limiter = SlowStartLimiter::new(1.0);
        let mut rng = fastrand::Rng::with_seed(1);
        for attempt in 0..1_000 {
            limiter.record_send(1.0, rule, &mut rng, attempt * SECOND / 10);
        }
        let recorded = limiter.sent_work.count(u64::MAX / 2, u64::MAX / 2);
        assert!(recorded <= most, "{recorded}");
    }
}
