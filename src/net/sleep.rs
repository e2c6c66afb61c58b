//! Pauses of coroutines.
//!
//! The coroutine runtime's own pause resumes a coroutine on the runtime's timer thread, beside the
//! worker that runs all others. Here a thread wakes paused coroutines and lets the worker resume
//! them.
//!
//! The thread is global, as the runtime is.

use crate::sync;
use may::sync::Blocker;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The stack of the thread that wakes coroutines, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// The paused coroutines of this process.
static PAUSES: LazyLock<Arc<Pauses>> = LazyLock::new(Pauses::start);

/// Suspends the current coroutine for `duration`. It continues on the worker.
///
/// # Panics
/// Panics if the thread that wakes coroutines cannot be started, at the first call.
pub fn sleep(duration: Duration) {
    let blocker = Blocker::current();
    PAUSES.add(Instant::now() + duration, blocker.clone());
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
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pause {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.ends_at.cmp(&other.ends_at)
    }
}

/// The paused coroutines, and the signal to the thread that wakes them.
#[derive(Default)]
struct Pauses {
    /// The pauses; the one that ends first is on top.
    queue: Mutex<BinaryHeap<Reverse<Pause>>>,
    /// Signalled when the pause that ends first has changed.
    changed: Condvar,
}

impl Pauses {
    fn start() -> Arc<Self> {
        let pauses = Arc::<Pauses>::default();
        let shared = pauses.clone();
        std::thread::Builder::new()
            .name("pauses".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || shared.run())
            .expect("the thread that wakes coroutines can be started");
        pauses
    }

    fn add(&self, ends_at: Instant, blocker: Arc<Blocker>) {
        let mut queue = sync::lock(&self.queue);
        let is_first = queue.peek().is_none_or(|first| ends_at < first.0.ends_at);
        queue.push(Reverse(Pause { ends_at, blocker }));
        drop(queue);
        if is_first {
            self.changed.notify_one();
        }
    }

    /// Wakes each coroutine when its pause ends, for as long as the process runs.
    fn run(&self) {
        let mut queue = sync::lock(&self.queue);
        loop {
            let now = Instant::now();
            let Some(Reverse(first)) = queue.peek() else {
                let waited = self.changed.wait(queue);
                queue = waited.unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let remaining = first.ends_at.saturating_duration_since(now);
            if !remaining.is_zero() {
                let waited = self.changed.wait_timeout(queue, remaining);
                queue = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            let ended = queue.pop();
            drop(queue);
            if let Some(Reverse(pause)) = ended {
                pause.blocker.unpark();
            }
            queue = sync::lock(&self.queue);
        }
    }
}

#[cfg(test)]
mod tests;
