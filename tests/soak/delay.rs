//! Threads that sleep for short times and record for how long they were held up.

use crate::history::{delay_between, Delay};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SLEEP: Duration = Duration::from_millis(5);
/// Delays below this are usual and not recorded.
const MIN_RECORDED: Duration = Duration::from_millis(2);
/// The number of threads: a message passes as many from a client over the process to a server, and
/// each of them may be held up.
const THREADS: usize = 4;

/// The running threads.
pub struct DelayMeter {
    over: Arc<AtomicBool>,
    delays: Arc<Mutex<Vec<Delay>>>,
    threads: Vec<JoinHandle<()>>,
}

impl DelayMeter {
    /// Starts the threads; times count from `start`.
    pub fn start(start: Instant) -> DelayMeter {
        let over = Arc::new(AtomicBool::new(false));
        let delays: Arc<Mutex<Vec<Delay>>> = Arc::default();
        let measure = |_| {
            let (over, delays) = (over.clone(), delays.clone());
            std::thread::spawn(move || measure(start, &over, &delays))
        };
        let threads = (0..THREADS).map(measure).collect();
        DelayMeter {
            over,
            delays,
            threads,
        }
    }

    /// Returns the delay so far between two times.
    pub fn delay_between(&self, from: Duration, to: Duration) -> Duration {
        delay_between(&self.delays.lock().expect("delays"), from, to)
    }

    /// Ends the threads and returns the delays.
    pub fn finish(self) -> Vec<Delay> {
        self.over.store(true, Relaxed);
        for thread in self.threads {
            thread.join().expect("it ends");
        }
        std::mem::take(&mut *self.delays.lock().expect("delays"))
    }
}

fn measure(start: Instant, over: &AtomicBool, delays: &Mutex<Vec<Delay>>) {
    while !over.load(Relaxed) {
        let before = Instant::now();
        std::thread::sleep(SLEEP);
        let length = before.elapsed().saturating_sub(SLEEP);
        if length >= MIN_RECORDED {
            let ended_at = start.elapsed();
            let delay = Delay { ended_at, length };
            delays.lock().expect("delays").push(delay);
        }
    }
}
