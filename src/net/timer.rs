//! A timer thread that calls a function at a set time, usually to wake a coroutine.
//!
//! The coroutine runtime's own timed wait can lose its wake-up: it starts its timer before the
//! coroutine is registered where the timer looks for it. If the operating system suspends the
//! thread in between for longer than the wait, the coroutine waits forever. Coroutines therefore
//! wait without a timeout, and this thread sends them a message at the set time.

use crate::sync;
use crate::time::{Clock, Micros};
use std::io;
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// The stack of the timer thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// The timer's setting and the state of its thread.
#[derive(Default)]
struct State {
    /// The time to fire; `None` until a time is set.
    due: Option<Micros>,
    /// The time until which the thread sleeps; `None` while it sleeps until notified.
    wakes_at: Option<Micros>,
    /// Whether the thread has to end.
    stopped: bool,
}

impl State {
    /// Returns whether the timer fires now. If not, the thread has to sleep until `wakes_at`.
    fn poll(&mut self, now: Micros) -> bool {
        let fires = self.due.is_some_and(|due| due <= now);
        if fires {
            self.due = None;
        }
        self.wakes_at = self.due;
        fires
    }

    /// Sets the time to fire. Returns whether the thread must be woken: if it wakes earlier anyway,
    /// it reads the new time then.
    fn set(&mut self, due: Micros) -> bool {
        self.due = Some(due);
        self.wakes_at.is_none_or(|wakes_at| due < wakes_at)
    }
}

/// The state that the timer and its thread share.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A timer with one setting at a time. Dropping it ends its thread.
pub struct Timer {
    shared: Arc<Shared>,
}

impl Timer {
    /// Starts the thread with no time set. `fire` is called on the thread each time the timer
    /// fires.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(clock: Clock, fire: impl Fn() + Send + 'static) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let thread_shared = shared.clone();
        std::thread::Builder::new()
            .name("alarm".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run(&thread_shared, clock, fire))?;
        Ok(Timer { shared })
    }

    /// Sets the timer to fire once at `due`, or as soon as possible after it. Replaces an earlier
    /// setting.
    pub fn set(&self, due: Micros) {
        if sync::lock(&self.shared.state).set(due) {
            self.shared.changed.notify_one();
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        sync::lock(&self.shared.state).stopped = true;
        self.shared.changed.notify_one();
    }
}

fn run(shared: &Shared, clock: Clock, fire: impl Fn()) {
    let mut state = sync::lock(&shared.state);
    while !state.stopped {
        let now = clock.now();
        if state.poll(now) {
            drop(state);
            fire();
            state = sync::lock(&shared.state);
            continue;
        }
        state = match state.wakes_at {
            Some(wakes_at) => {
                let wait_result = shared
                    .changed
                    .wait_timeout(state, wakes_at.since(now).to_duration());
                wait_result.unwrap_or_else(PoisonError::into_inner).0
            }
            None => shared
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner),
        };
    }
}

#[cfg(test)]
mod tests;
