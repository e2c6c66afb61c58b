//! Threads that sleep for short times and record by how much they woke up too late. The delays show
//! how slow the machine is during a run.

use crate::history::{delay_between, Delay};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The duration of a sleep.
const SLEEP_DURATION: Duration = Duration::from_millis(5);
/// The minimum recorded delay. Shorter ones are usual.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(2);
/// The number of threads. A message from a client to a server passes through as many threads of the
/// client, the process and the server, and each of them may be delayed.
const THREADS: usize = 4;

/// Measures delays with sleeping threads.
pub struct DelayMeter {
    stop: Arc<AtomicBool>,
    delays: Arc<Mutex<Vec<Delay>>>,
    threads: Vec<JoinHandle<()>>,
}

impl DelayMeter {
    /// Starts the threads. Times are relative to `start`.
    pub fn start(start: Instant) -> DelayMeter {
        let stop = Arc::new(AtomicBool::new(false));
        let delays: Arc<Mutex<Vec<Delay>>> = Arc::default();
        let measure = |_| {
            let (stop, delays) = (stop.clone(), delays.clone());
            std::thread::spawn(move || measure(start, &stop, &delays))
        };
        let threads = (0..THREADS).map(measure).collect();
        DelayMeter {
            stop,
            delays,
            threads,
        }
    }

    /// Returns the sum of the recorded delays that overlap the time from `from` to `to`.
    pub fn delay_between(&self, from: Duration, to: Duration) -> Duration {
        delay_between(
            &self.delays.lock().expect("the mutex is not poisoned"),
            from,
            to,
        )
    }

    /// Stops the threads and returns the delays.
    pub fn finish(self) -> Vec<Delay> {
        self.stop.store(true, Relaxed);
        for thread in self.threads {
            thread.join().expect("the thread does not panic");
        }
        std::mem::take(&mut *self.delays.lock().expect("the mutex is not poisoned"))
    }
}

/// Sleeps repeatedly and records the delays until `stop` is set.
fn measure(start: Instant, stop: &AtomicBool, delays: &Mutex<Vec<Delay>>) {
    while !stop.load(Relaxed) {
        let before = Instant::now();
        std::thread::sleep(SLEEP_DURATION);
        let length = before.elapsed().saturating_sub(SLEEP_DURATION);
        if length >= MIN_RECORDED_DELAY {
            let ended_at = start.elapsed();
            let delay = Delay { ended_at, length };
            delays
                .lock()
                .expect("the mutex is not poisoned")
                .push(delay);
        }
    }
}
