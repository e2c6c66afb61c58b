//! The threads of stand-ins. A panic on one of them fails the test that owns the stand-in.

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The time for which a stand-in that is dropped waits for its threads. Threads that serve a
/// connection may run for longer, for example if the process under test is still connected.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of a thread group.
#[derive(Default)]
struct State {
    /// The number of running threads without the detached ones.
    running: usize,
    /// The panic messages of the threads that panicked.
    panics: Vec<String>,
}

/// Starts threads and records their panics. Clones share their threads.
#[derive(Clone, Default)]
pub struct ThreadGroup {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl ThreadGroup {
    /// Starts a thread for which [`ThreadGroup::wait_until_idle`] waits.
    pub fn spawn(&self, run: impl FnOnce() + Send + 'static) {
        self.with_state(|state| state.running += 1);
        let threads = self.clone();
        std::thread::spawn(move || {
            threads.record_panic(run);
            threads.with_state(|state| state.running -= 1);
        });
    }

    /// Starts a thread that may run until the test program exits, for example since it accepts
    /// connections.
    pub fn spawn_detached(&self, run: impl FnOnce() + Send + 'static) {
        let threads = self.clone();
        std::thread::spawn(move || threads.record_panic(run));
    }

    /// Waits until no thread runs except the detached ones, or until the timeout. Returns whether
    /// no such thread runs.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        let (state, changed) = &*self.shared;
        let started = Instant::now();
        let mut state = state.lock().expect("the mutex is not poisoned");
        while state.running > 0 {
            let remaining = timeout.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                return false;
            }
            state = changed
                .wait_timeout(state, remaining)
                .expect("the mutex is not poisoned")
                .0;
        }
        true
    }

    /// Returns the panic messages of the threads that have panicked so far.
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
        let result = change(&mut state.lock().expect("the mutex is not poisoned"));
        changed.notify_all();
        result
    }
}

/// The threads of one stand-in. Dropping it fails the test if one of them has panicked.
#[derive(Default)]
pub struct OwnedThreadGroup(pub ThreadGroup);

impl Drop for OwnedThreadGroup {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        self.0.wait_until_idle(END_TIMEOUT);
        let panics = self.0.panics();
        assert!(
            panics.is_empty(),
            "threads of a stand-in panicked: {panics:?}"
        );
    }
}
