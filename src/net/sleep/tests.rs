use super::sleep;
use crate::net::{spawn, SMALL_STACK_WORDS};
use std::sync::mpsc::channel;
use std::thread::{self, ThreadId};
use std::time::{Duration, Instant};

/// The length of a pause.
const PAUSE: Duration = Duration::from_millis(1);

/// Returns the thread on which a coroutine continues after this pause.
fn thread_after(pause: fn(Duration)) -> ThreadId {
    let (result, thread) = channel();
    spawn(SMALL_STACK_WORDS, move || {
        pause(PAUSE);
        result.send(thread::current().id()).expect("the test waits");
    })
    .expect("the coroutine starts");
    thread.recv().expect("the coroutine ends")
}

/// Guards against coroutines that run beside the worker, on the timer thread of the runtime.
#[test]
#[expect(clippy::disallowed_methods, reason = "the thread is asked for")]
fn a_coroutine_does_not_continue_on_the_timer_thread_after_a_pause() {
    let timer_thread = thread_after(may::coroutine::sleep);
    assert_ne!(thread_after(sleep), timer_thread);
}

/// The number of coroutines that pause at the same time.
const COROUTINES: u32 = 40;

#[test]
fn every_pause_ends_and_none_is_shorter_than_asked_for() {
    let (result, ended) = channel();
    for number in (0..COROUTINES).rev() {
        let result = result.clone();
        let pause = PAUSE * number;
        spawn(SMALL_STACK_WORDS, move || {
            let started = Instant::now();
            sleep(pause);
            result
                .send(started.elapsed() >= pause)
                .expect("the test waits");
        })
        .expect("the coroutine starts");
    }
    let in_time = ended.iter().take(COROUTINES as usize);
    assert_eq!(
        in_time.filter(|in_time| *in_time).count(),
        COROUTINES as usize
    );
}
