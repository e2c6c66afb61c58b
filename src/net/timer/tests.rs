//! Tests of the timer thread.

use super::*;

#[test]
fn the_thread_is_woken_for_what_it_would_sleep_through_and_for_nothing_else() {
    let ms = Micros::from_millis;
    let mut state = State::default();
    assert!(!state.look(ms(1)));
    assert!(state.set(ms(20)), "it sleeps for good");
    assert!(!state.look(ms(2)));
    assert!(!state.set(ms(30)), "it is up before that");
    assert!(state.set(ms(10)), "it would sleep through it");
    assert!(!state.set(ms(40)));
    assert!(!state.look(ms(20)), "the time has moved on");
    assert!(state.look(ms(50)), "late is not never");
    assert!(!state.look(ms(60)), "once");
}

#[test]
fn a_coroutine_that_waits_for_very_little_always_goes_on() {
    // With the runtime's wait this stopped for good within some thousand rounds.
    let (clock, (inbox, arrivals)) = (Clock::start(), may::sync::mpsc::channel());
    let alarm = Timer::start(clock, move || inbox.send(()).expect("it waits")).expect("a thread");
    let rounds = move || {
        for _ in 0..5_000 {
            alarm.set(clock.now() + Micros(1));
            arrivals.recv().expect("the alarm lives");
        }
    };
    crate::net::spawn(crate::net::LARGE_STACK_WORDS, rounds).expect("a coroutine").join().expect("ended");
}
