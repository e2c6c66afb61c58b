use super::{sleep, NextStep, Pause, State, WORKER_TIMEOUT};
use crate::net::{spawn, try_read, IoOutcome, PolledSocket, SMALL_STACK_WORDS};
use may::sync::Blocker;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread::{self, ThreadId};
use std::time::{Duration, Instant};

/// The length of a pause.
const PAUSE: Duration = Duration::from_millis(1);
/// The time within which input must be noticed.
const INPUT_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Guards against sockets that are not polled while a coroutine has work without end.
#[test]
fn sockets_are_polled_while_a_coroutine_pauses_without_a_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut peer = TcpStream::connect(address).expect("the listener accepts");
    let (stream, _) = listener.accept().expect("the peer has connected");
    let stream = PolledSocket::new(stream).expect("the socket can be polled");
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    spawn(SMALL_STACK_WORDS, move || {
        while !stopped.load(Relaxed) {
            sleep(Duration::ZERO);
        }
    })
    .expect("the coroutine starts");
    let (result, read) = channel();
    spawn(SMALL_STACK_WORDS, move || {
        while matches!(try_read(stream.socket(), &mut [0]), IoOutcome::WouldBlock) {
            stream.wait();
        }
        result.send(()).expect("the test waits");
    })
    .expect("the coroutine starts");
    peer.write_all(b"x").expect("the connection is open");
    let noticed = read.recv_timeout(INPUT_TIMEOUT);
    stop.store(true, Relaxed);
    noticed.expect("the input is noticed");
}

#[test]
fn the_worker_is_signalled_once_a_pause_has_ended_and_replaced_if_it_does_not_react() {
    let now = Instant::now();
    let mut state = State::default();
    assert_eq!(state.next_step(now), NextStep::Wait(None));
    let pause = Pause {
        ends_at: now + PAUSE,
        blocker: Blocker::current(),
    };
    assert!(state.add(pause));
    assert_eq!(state.next_step(now), NextStep::Wait(Some(PAUSE)));
    let ended_at = now + PAUSE;
    assert_eq!(state.next_step(ended_at), NextStep::Signal);
    state.signalled_at = Some(ended_at);
    let waits = NextStep::Wait(Some(WORKER_TIMEOUT));
    assert_eq!(state.next_step(ended_at), waits);
    assert_eq!(state.next_step(ended_at + WORKER_TIMEOUT), NextStep::Resume);
    assert_eq!(state.take_ended(ended_at).len(), 1);
    assert_eq!(state.signalled_at, None);
}
