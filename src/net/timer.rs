//! A timer thread that wakes a coroutine at a set time.
//!
//! The runtime's own timed wait can lose its wake-up: it starts its timer before the coroutine is registered where the
//! timer looks for it, and if the operating system suspends the thread in between for longer than the wait, the coroutine
//! waits for ever. So coroutines wait without a limit, and this thread sends them a message when their time has come.

use crate::sync;
use crate::time::{Clock, Micros};
use std::io;
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// Stack of the thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

#[derive(Default)]
struct State {
    /// When to fire next; `None`: not until it is set again.
    due: Option<Micros>,
    /// Until when the thread sleeps; `None`: until it is notified.
    wakes_at: Option<Micros>,
    stopped: bool,
}

impl State {
    /// Called when the thread is awake. Returns whether the timer fires now; if not, the thread is to sleep until
    /// `wakes_at`.
    fn poll(&mut self, now: Micros) -> bool {
        let fires = self.due.is_some_and(|due| due <= now);
        if fires {
            self.due = None;
        }
        self.wakes_at = self.due;
        fires
    }

    /// Sets the time to fire. Returns whether the thread must be woken for it: one that wakes earlier finds the new time by
    /// itself.
    fn set(&mut self, due: Micros) -> bool {
        self.due = Some(due);
        self.wakes_at.is_none_or(|wakes_at| due < wakes_at)
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A timer for one time at a time. Its thread ends when it is dropped.
pub struct Timer {
    shared: Arc<Shared>,
}

impl Timer {
    /// Starts the thread; no time is set yet. `fire` is called on it each time the timer fires.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(clock: Clock, fire: impl Fn() + Send + 'static) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let seen = shared.clone();
        std::thread::Builder::new()
            .name("alarm".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run(&seen, clock, fire))?;
        Ok(Timer { shared })
    }

    /// Fires once at that time, or as soon after it as the machine allows. Replaces an earlier setting.
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
                let slept = shared
                    .changed
                    .wait_timeout(state, wakes_at.since(now).to_duration());
                slept.unwrap_or_else(PoisonError::into_inner).0
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
