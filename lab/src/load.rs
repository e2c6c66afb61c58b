//! Load on an edge, and what it takes: latencies by `hdrhistogram`, requests, bytes and memory.

use crate::client::{Client, Response};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What came of a load.
#[derive(Debug)]
pub struct Load {
    /// Times of the answers that served, in microseconds.
    pub times: Histogram<u64>,
    /// Answers: served, refused, and others.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Bytes of the served answers' bodies.
    pub bytes: u64,
    /// How long it went on.
    pub lasted: Duration,
}

impl Load {
    /// A quantile of the times, in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.times.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Served answers a second.
    pub fn rate(&self) -> f64 {
        self.served as f64 / self.lasted.as_secs_f64()
    }
}

/// Counts of a load that goes on.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    bytes: AtomicU64,
    times: Mutex<Vec<u64>>,
}

impl Counts {
    /// An answer came, so long after it was due; later than `wanted` it counts as failed.
    fn came(&self, answer: std::io::Result<Response>, took: Duration, wanted: Duration) {
        match answer {
            Ok(a) if a.status == 200 && took <= wanted => {
                self.served.fetch_add(1, Relaxed);
                self.bytes.fetch_add(a.body.len() as u64, Relaxed);
                self.times.lock().unwrap_or_else(|e| e.into_inner()).push((took.as_micros() as u64).max(1));
            }
            Ok(a) if a.status == 503 => {
                self.refused.fetch_add(1, Relaxed);
            }
            _ => {
                self.failed.fetch_add(1, Relaxed);
            }
        }
    }

    fn over(self, lasted: Duration) -> Load {
        let bounds = Histogram::new_with_bounds(1, 60_000_000, 3);
        let mut times = bounds.unwrap_or_else(|_| unreachable!("fixed bounds"));
        for time in self.times.into_inner().unwrap_or_else(|e| e.into_inner()) {
            times.saturating_record(time);
        }
        Load {
            times,
            served: self.served.into_inner(),
            refused: self.refused.into_inner(),
            failed: self.failed.into_inner(),
            bytes: self.bytes.into_inner(),
            lasted,
        }
    }
}

/// So many clients, each asking one query after the other, for so long. Of each the target is `target(client, number)`.
pub fn closed(
    address: SocketAddr,
    clients: usize,
    lasts: Duration,
    target: impl Fn(usize, u64) -> String + Sync,
) -> Load {
    let (counts, over) = (Counts::default(), AtomicBool::new(false));
    let began = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..clients {
            let (target, over, counts) = (&target, &over, &counts);
            scope.spawn(move || {
                let mut client = Client::new(address);
                let mut asked = 0;
                while !over.load(Relaxed) {
                    let at = Instant::now();
                    let answer = client.get(&target(number, asked));
                    asked += 1;
                    counts.came(answer, at.elapsed(), Duration::MAX);
                }
            });
        }
        std::thread::sleep(lasts);
        over.store(true, Relaxed);
    });
    counts.over(began.elapsed())
}

/// Queries at a steady rate, whatever becomes of them, for so long. What is not answered within `wanted` of its time counts as
/// failed; its connection is given up then. At most some hundred are under way: beyond that a query is failed unasked.
pub fn open(
    address: SocketAddr,
    rate: f64,
    lasts: Duration,
    wanted: Duration,
    target: impl Fn(u64) -> String + Sync,
) -> Load {
    const MOST: usize = 400;
    let (counts, next) = (Counts::default(), AtomicU64::new(0));
    let total = (rate * lasts.as_secs_f64()) as u64;
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..MOST {
            let (target, counts, next) = (&target, &counts, &next);
            let work = move || {
                let mut client = Client::new(address);
                loop {
                    let number = next.fetch_add(1, Relaxed);
                    if number >= total {
                        return;
                    }
                    let due = began + Duration::from_secs_f64(number as f64 / rate);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    // Counted from when it was due: a client that comes late has waited.
                    let left = wanted.saturating_sub(due.elapsed());
                    if left < Duration::from_millis(1) {
                        counts.failed.fetch_add(1, Relaxed);
                        continue;
                    }
                    client.timeout = left;
                    let answer = client.get(&target(number));
                    counts.came(answer, due.elapsed(), wanted);
                }
            };
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn_scoped(scope, work);
        }
    });
    counts.over(began.elapsed())
}
