//! Rings when the turns are to go on although nothing came.
//!
//! The runtime's own wait with a limit can be lost: it starts its timer before the coroutine is where the timer looks for
//! it, and where the machine stops this thread in between for longer than the wait, the coroutine waits for what may never
//! come. So the turns wait without a limit, and a thread of its own sends them word.

use crate::time::{Clock, Micros};
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

#[derive(Default)]
struct State {
    /// When to ring next; `None`: not before it is set again.
    due: Option<Micros>,
    /// Until when the thread sleeps; `None`: until it is woken.
    until: Option<Micros>,
    ended: bool,
}

impl State {
    /// The thread is up: true if it is to ring now, else it sleeps until the time that is noted.
    fn look(&mut self, now: Micros) -> bool {
        let rings = self.due.is_some_and(|due| due <= now);
        if rings {
            self.due = None;
        }
        self.until = self.due;
        rings
    }

    /// Set anew: must the thread be woken for it? It finds out by itself that a time has moved on.
    fn set(&mut self, due: Micros) -> bool {
        self.due = Some(due);
        self.until.is_none_or(|until| due < until)
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing panics while it holds the lock.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// One time at which to ring; its thread ends with it.
pub struct Timer(Arc<Shared>);

impl Timer {
    /// Nothing is set yet.
    pub fn start(clock: Clock, ring: impl Fn() + Send + 'static) -> io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let seen = shared.clone();
        std::thread::Builder::new()
            .name("alarm".to_owned())
            .stack_size(128 * 1024)
            .spawn(move || keep(&seen, clock, ring))?;
        Ok(Timer(shared))
    }

    /// Rings once at that time, or as soon after it as the machine allows. An earlier setting is forgotten.
    pub fn set(&self, due: Micros) {
        if self.0.lock().set(due) {
            self.0.changed.notify_one();
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        self.0.lock().ended = true;
        self.0.changed.notify_one();
    }
}

fn keep(shared: &Shared, clock: Clock, ring: impl Fn()) {
    let mut state = shared.lock();
    while !state.ended {
        let now = clock.now();
        if state.look(now) {
            drop(state);
            ring();
            state = shared.lock();
            continue;
        }
        state = match state.until {
            Some(until) => {
                let slept = shared.changed.wait_timeout(state, until.since(now).to_duration());
                slept.unwrap_or_else(|e| e.into_inner()).0
            }
            None => shared.changed.wait(state).unwrap_or_else(|e| e.into_inner()),
        };
    }
}

#[cfg(test)]
mod tests;
