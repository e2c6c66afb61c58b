//! Tests of the timer thread.

use super::*;
use crate::net::{spawn, LARGE_STACK_WORDS};

#[test]
fn the_thread_is_woken_only_for_a_time_before_its_next_wake_up() {
    let ms = Micros::from_millis;
    let mut state = State::default();
    assert!(!state.poll(ms(1)));
    assert!(state.set(ms(20)), "it sleeps without a limit");
    assert!(!state.poll(ms(2)));
    assert!(!state.set(ms(30)), "it wakes before that");
    assert!(state.set(ms(10)), "it would sleep through it");
    assert!(!state.set(ms(40)));
    assert!(!state.poll(ms(20)), "the time was replaced by a later one");
    assert!(state.poll(ms(50)), "it fires late rather than never");
    assert!(!state.poll(ms(60)), "it fires once");
}

#[test]
fn a_coroutine_that_waits_for_a_microsecond_is_always_woken() {
    // The runtime's own timed wait hangs here within some thousand rounds.
    let (clock, (inbox, wake_ups)) = (Clock::start(), may::sync::mpsc::channel());
    let timer = Timer::start(clock, move || inbox.send(()).expect("it waits")).expect("a thread");
    let rounds = move || {
        for _ in 0..5_000 {
            timer.set(clock.now() + Micros(1));
            wake_ups.recv().expect("the timer lives");
        }
    };
    spawn(LARGE_STACK_WORDS, rounds)
        .expect("a coroutine")
        .join()
        .expect("ended");
}
