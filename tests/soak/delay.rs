//! A thread that sleeps for short times and records for how long it was held up.

use crate::history::Delay;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SLEEP: Duration = Duration::from_millis(5);
/// Delays below this are usual and not recorded.
const MIN_RECORDED: Duration = Duration::from_millis(10);

/// The running thread.
pub struct DelayMeter {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<Delay>>,
}

impl DelayMeter {
    /// Starts the thread; times count from `start`.
    pub fn start(start: Instant) -> DelayMeter {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let thread = std::thread::spawn(move || {
            let mut delays = Vec::new();
            while !ends.load(Relaxed) {
                let before = Instant::now();
                std::thread::sleep(SLEEP);
                let length = before.elapsed().saturating_sub(SLEEP);
                if length >= MIN_RECORDED {
                    let ended_at = start.elapsed();
                    delays.push(Delay { ended_at, length });
                }
            }
            delays
        });
        DelayMeter { over, thread }
    }

    /// Ends the thread and returns the delays.
    pub fn finish(self) -> Vec<Delay> {
        self.over.store(true, Relaxed);
        self.thread.join().expect("it ends")
    }
}
