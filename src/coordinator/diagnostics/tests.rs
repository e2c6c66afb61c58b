//! Tests of throttled log events.

use super::*;
use std::sync::Barrier;

/// The number of threads with events at the same time.
const THREADS: usize = 4;
/// The number of times that they have events.
const ROUNDS: usize = 3_000;

#[test]
fn a_throttled_event_is_counted_each_time_and_logged_at_powers_of_two() {
    let counter = Counter::new();
    let mut logged = Vec::new();
    for occurrence in 1..=20 {
        log_throttled(&counter, || logged.push(occurrence));
    }
    assert_eq!((counter.get(), logged), (20, vec![1, 2, 4, 8, 16]));
}

/// Guards against events at the same time of which each sees the count of both, so that a line is
/// skipped or doubled.
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
        "of {ROUNDS} times 8 events, logged at 1, 2, 4 and 8"
    );
}
