//! Pauses of coroutines.
//!
//! The coroutine runtime's own pause resumes a coroutine on the runtime's timer thread, beside the
//! worker that runs all others. Here a thread measures the time only. When a pause has ended, it makes
//! a descriptor readable that is in the poll set, so that the worker resumes the coroutine after it
//! has polled all sockets. A coroutine that only yields is resumed before that: it must not yield for
//! as long as it has work, nor may its pauses end in any other way.
//!
//! The pauses are global, as the runtime is.

use super::{spawn, PolledSocket, SMALL_STACK_WORDS};
use crate::sync;
use may::sync::Blocker;
use nix::sys::eventfd::{EfdFlags, EventFd};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::io;
use std::sync::{Arc, Condvar, LazyLock, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The stack of the thread that measures the time, in bytes.
const STACK_BYTES: usize = 64 * 1024;
/// The time after which the thread resumes coroutines itself if the worker has not.
const WORKER_TIMEOUT: Duration = Duration::from_millis(20);

/// The pauses of this process.
static PAUSES: LazyLock<Arc<Pauses>> = LazyLock::new(|| {
    Pauses::start().expect("a descriptor, a thread and a coroutine are available for the pauses")
});

/// Suspends the current coroutine for `duration`, and until the sockets of all others were polled.
///
/// # Panics
/// Panics at the first call if no descriptor or thread is left.
pub fn sleep(duration: Duration) {
    let blocker = Blocker::current();
    PAUSES.add(Pause {
        ends_at: Instant::now() + duration,
        blocker: blocker.clone(),
    });
    // Only a cancelled coroutine does not wait, and none is cancelled.
    let _ = blocker.park(None);
}

/// A paused coroutine. The order is that of the times at which the pauses end.
struct Pause {
    ends_at: Instant,
    blocker: Arc<Blocker>,
}

impl PartialEq for Pause {
    fn eq(&self, other: &Self) -> bool {
        self.ends_at == other.ends_at
    }
}

impl Eq for Pause {}

impl PartialOrd for Pause {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pause {
    fn cmp(&self, other: &Self) -> Ordering {
        self.ends_at.cmp(&other.ends_at)
    }
}

/// The pauses that have not ended.
#[derive(Default)]
struct State {
    /// The pauses; the one that ends first is on top.
    queue: BinaryHeap<Reverse<Pause>>,
    /// The time at which the worker was signalled; `None` if it has resumed coroutines since.
    signalled_at: Option<Instant>,
}

/// What the thread that measures the time does next.
#[derive(Debug, PartialEq)]
enum NextStep {
    /// It waits for a change of the pauses, for at most this time.
    Wait(Option<Duration>),
    /// It signals the worker.
    Signal,
    /// It resumes coroutines itself, since the worker has not.
    Resume,
}

impl State {
    fn next_step(&self, now: Instant) -> NextStep {
        let Some(Reverse(first)) = self.queue.peek() else {
            return NextStep::Wait(None);
        };
        let remaining = first.ends_at.saturating_duration_since(now);
        if !remaining.is_zero() {
            return NextStep::Wait(Some(remaining));
        }
        let Some(signalled_at) = self.signalled_at else {
            return NextStep::Signal;
        };
        let remaining = (signalled_at + WORKER_TIMEOUT).saturating_duration_since(now);
        if remaining.is_zero() {
            NextStep::Resume
        } else {
            NextStep::Wait(Some(remaining))
        }
    }

    /// Adds a pause. Returns whether it is the one that ends first.
    fn add(&mut self, pause: Pause) -> bool {
        let first = self.queue.peek();
        let is_first = first.is_none_or(|first| pause.ends_at < first.0.ends_at);
        self.queue.push(Reverse(pause));
        is_first
    }

    /// Removes and returns the pauses that have ended.
    fn take_ended(&mut self, now: Instant) -> Vec<Pause> {
        self.signalled_at = None;
        let mut ended = Vec::new();
        while self
            .queue
            .peek()
            .is_some_and(|first| first.0.ends_at <= now)
        {
            ended.extend(self.queue.pop().map(|Reverse(pause)| pause));
        }
        ended
    }
}

/// The paused coroutines, with the signals to the thread that measures the time and to the worker.
struct Pauses {
    state: Mutex<State>,
    /// Signalled when the thread has to look at the state.
    changed: Condvar,
    /// Readable once a pause has ended.
    ended: PolledSocket<EventFd>,
}

impl Pauses {
    fn start() -> io::Result<Arc<Self>> {
        let flags = EfdFlags::EFD_CLOEXEC | EfdFlags::EFD_NONBLOCK;
        let pauses = Arc::new(Pauses {
            state: Mutex::default(),
            changed: Condvar::default(),
            ended: PolledSocket::new(EventFd::from_flags(flags)?)?,
        });
        let (measuring, resuming) = (pauses.clone(), pauses.clone());
        std::thread::Builder::new()
            .name("pauses".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || measuring.measure())?;
        spawn(SMALL_STACK_WORDS, move || loop {
            resuming.ended.wait();
            resuming.resume_ended();
        })?;
        Ok(pauses)
    }

    fn add(&self, pause: Pause) {
        let now = Instant::now();
        let has_ended = pause.ends_at <= now;
        let mut state = sync::lock(&self.state);
        let is_first = state.add(pause);
        if has_ended {
            state.signalled_at.get_or_insert(now);
            self.signal_worker();
        }
        drop(state);
        if is_first {
            self.changed.notify_one();
        }
    }

    /// Makes the worker resume the coroutines whose pauses have ended, after it has polled.
    fn signal_worker(&self) {
        // The poll set is edge-triggered: each write is an event, whether or not earlier ones were
        // read. A write fails only after 2^64 of them.
        let _ = self.ended.socket().write(1);
    }

    /// Resumes the coroutines whose pauses have ended.
    fn resume_ended(&self) {
        let ended = sync::lock(&self.state).take_ended(Instant::now());
        self.changed.notify_one();
        ended.iter().for_each(|pause| pause.blocker.unpark());
    }

    /// Signals the worker at the end of each pause, for as long as the process runs.
    fn measure(&self) {
        let mut state = sync::lock(&self.state);
        loop {
            let now = Instant::now();
            match state.next_step(now) {
                NextStep::Wait(timeout) => state = self.wait(state, timeout),
                NextStep::Signal => {
                    state.signalled_at = Some(now);
                    self.signal_worker();
                }
                NextStep::Resume => {
                    drop(state);
                    self.resume_ended();
                    state = sync::lock(&self.state);
                }
            }
        }
    }

    /// Waits for a change of the pauses, for at most `timeout`.
    fn wait<'a>(
        &self,
        state: MutexGuard<'a, State>,
        timeout: Option<Duration>,
    ) -> MutexGuard<'a, State> {
        let Some(timeout) = timeout else {
            let waited = self.changed.wait(state);
            return waited.unwrap_or_else(PoisonError::into_inner);
        };
        let waited = self.changed.wait_timeout(state, timeout);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }
}

#[cfg(test)]
mod tests;
