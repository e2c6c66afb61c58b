//! Tests of the timer thread.

use super::*;
use crate::net::{spawn, LARGE_STACK_WORDS};

#[test]
fn the_thread_is_woken_only_for_a_time_before_its_next_wake_up() {
    let ms = Micros::from_millis;
    let mut state = State::default();
    assert!(!state.poll(ms(1)));
    assert!(state.set(ms(20)), "the thread sleeps without a timeout");
    assert!(!state.poll(ms(2)));
    assert!(!state.set(ms(30)), "the thread wakes before that time");
    assert!(state.set(ms(10)), "the thread sleeps beyond that time");
    assert!(!state.set(ms(40)));
    assert!(!state.poll(ms(20)), "the time was replaced by a later one");
    assert!(state.poll(ms(50)), "the timer fires late rather than never");
    assert!(!state.poll(ms(60)), "the timer fires once");
}

#[test]
fn a_coroutine_that_waits_for_a_microsecond_is_always_woken() {
    // The runtime's own timed wait hangs here within a few thousand rounds.
    let (clock, (inbox, wake_ups)) = (Clock::start(), may::sync::mpsc::channel());
    let timer = Timer::start(clock, move || inbox.send(()).expect("the inbox is open"))
        .expect("the thread starts");
    let rounds = move || {
        for _ in 0..5_000 {
            timer.set(clock.now() + Micros(1));
            wake_ups.recv().expect("the timer is running");
        }
    };
    spawn(LARGE_STACK_WORDS, rounds)
        .expect("the coroutine starts")
        .join()
        .expect("the coroutine ends without a panic");
}
