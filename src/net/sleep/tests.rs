use super::sleep;
use crate::net::{spawn, SMALL_STACK_WORDS};
use std::sync::mpsc::channel;
use std::thread::{self, ThreadId};
use std::time::Duration;

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
#[ignore = "known red"]
fn a_coroutine_does_not_continue_on_the_timer_thread_after_a_pause() {
    let timer_thread = thread_after(may::coroutine::sleep);
    assert_ne!(thread_after(sleep), timer_thread);
}
