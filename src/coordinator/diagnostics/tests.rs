//! Tests of throttled log events.

use super::*;

#[test]
fn a_throttled_event_is_counted_each_time_and_logged_at_powers_of_two() {
    let counter = Counter::new();
    let mut logged = Vec::new();
    for occurrence in 1..=20 {
        log_throttled(&counter, || logged.push(occurrence));
    }
    assert_eq!((counter.get(), logged), (20, vec![1, 2, 4, 8, 16]));
}
