//! Tests of throttled log events.

use super::*;
use std::sync::Barrier;

/// The number of threads that log at the same time.
const THREADS: usize = 4;
/// The number of counters, which the threads use one after the other.
const ROUNDS: usize = 3_000;

#[test]
fn throttled_event_is_counted_each_time_and_logged_at_powers_of_two() {
    let counter = Counter::new();
    let mut logged = Vec::new();
    for occurrence in 1..=20 {
        log_throttled(&counter, || logged.push(occurrence));
    }
    assert_eq!((counter.get(), logged), (20, vec![1, 2, 4, 8, 16]));
}

/// Guards against concurrent events that all read the counter after the others have incremented it,
/// so that a line is skipped or logged twice.
#[test]
fn events_of_several_threads_are_logged_once_at_each_power_of_two() {
    let start = Barrier::new(THREADS);
    let done = Barrier::new(THREADS);
    let counters: Vec<Counter> = (0..ROUNDS).map(|_| Counter::new()).collect();
    let logged: Vec<Counter> = (0..ROUNDS).map(|_| Counter::new()).collect();
    let log_events = || {
        for (counter, logged) in counters.iter().zip(&logged) {
            start.wait();
            for _ in 0..2 {
                log_throttled(counter, || logged.increment());
            }
            done.wait();
        }
    };
    std::thread::scope(|scope| {
        (0..THREADS).for_each(|_| drop(scope.spawn(log_events)));
    });
    let wrong = logged.iter().filter(|logged| logged.get() != 4).count();
    assert_eq!(
        wrong, 0,
        "of {ROUNDS} counters did not log their 8 events at 1, 2, 4 and 8"
    );
}
