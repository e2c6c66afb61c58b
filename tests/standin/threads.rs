//! Threads of the stand-ins: a panic on one of them fails the test that owns the stand-in.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The time that a stand-in waits at its end for threads that still serve a connection, for
/// example since the process under test outlives it.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of the threads of a stand-in.
#[derive(Default)]
struct State {
    /// The number of threads that serve a connection.
    serving: usize,
    /// The messages of the threads that panicked.
    panics: Vec<String>,
}

/// Starts threads and records their panics.
#[derive(Clone, Default)]
pub struct Threads {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Threads {
    /// Starts a thread that serves a connection to its end.
    pub fn serve(&self, run: impl FnOnce() + Send + 'static) {
        self.with_state(|state| state.serving += 1);
        let threads = self.clone();
        std::thread::spawn(move || {
            threads.record_panic(run);
            threads.with_state(|state| state.serving -= 1);
        });
    }

    /// Starts a thread that accepts connections for as long as the test program lives.
    pub fn listen(&self, run: impl FnOnce() + Send + 'static) {
        let threads = self.clone();
        std::thread::spawn(move || threads.record_panic(run));
    }

    /// Waits until no thread serves a connection, at most for this time. Returns whether none does.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        let (state, changed) = &*self.shared;
        let started = Instant::now();
        let mut state = state.lock().expect("state");
        while state.serving > 0 {
            let left = timeout.saturating_sub(started.elapsed());
            if left.is_zero() {
                return false;
            }
            state = changed.wait_timeout(state, left).expect("state").0;
        }
        true
    }

    /// Returns the messages of the threads that panicked so far.
    pub fn panics(&self) -> Vec<String> {
        self.with_state(|state| state.panics.clone())
    }

    fn record_panic(&self, run: impl FnOnce()) {
        if let Err(panic) = catch_unwind(AssertUnwindSafe(run)) {
            let text = panic.downcast_ref::<String>().cloned();
            let message = text.or_else(|| panic.downcast_ref::<&str>().map(|&text| text.into()));
            let message = message.unwrap_or_else(|| "a panic without a message".to_owned());
            self.with_state(|state| state.panics.push(message));
        }
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.shared;
        let result = change(&mut state.lock().expect("state"));
        changed.notify_all();
        result
    }
}

/// The threads of one stand-in. At its end it fails the test if one of them has panicked.
#[derive(Default)]
pub struct OwnedThreads(pub Threads);

impl Drop for OwnedThreads {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        self.0.wait_until_idle(END_TIMEOUT);
        let panics = self.0.panics();
        assert!(
            panics.is_empty(),
            "a stand-in's thread panicked: {panics:?}"
        );
    }
}
