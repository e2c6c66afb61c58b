//! Load on an edge, and what it takes: latencies by `hdrhistogram`, requests, bytes and memory.

use crate::client::Client;
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

/// So many clients, each asking one query after the other, for so long. Of each the target is `target(client, number)`.
pub fn closed(
    address: SocketAddr,
    clients: usize,
    lasts: Duration,
    target: impl Fn(usize, u64) -> String + Sync,
) -> Load {
    let (served, refused, failed, bytes) =
        (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let times = Mutex::new(
        Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds")),
    );
    let over = AtomicBool::new(false);
    let began = Instant::now();
    std::thread::scope(|scope| {
        for number in 0..clients {
            let (target, over, times) = (&target, &over, &times);
            let (served, refused, failed, bytes) = (&served, &refused, &failed, &bytes);
            scope.spawn(move || {
                let mut client = Client::new(address);
                let mut asked = 0;
                while !over.load(Relaxed) {
                    let at = Instant::now();
                    let answer = client.get(&target(number, asked));
                    asked += 1;
                    match answer {
                        Ok(a) if a.status == 200 => {
                            served.fetch_add(1, Relaxed);
                            bytes.fetch_add(a.body.len() as u64, Relaxed);
                            let took = at.elapsed().as_micros() as u64;
                            let _ = times.lock().unwrap_or_else(|e| e.into_inner()).record(took.max(1));
                        }
                        Ok(a) if a.status == 503 => {
                            refused.fetch_add(1, Relaxed);
                        }
                        _ => {
                            failed.fetch_add(1, Relaxed);
                        }
                    }
                }
            });
        }
        std::thread::sleep(lasts);
        over.store(true, Relaxed);
    });
    Load {
        times: times.into_inner().unwrap_or_else(|e| e.into_inner()),
        served: served.into_inner(),
        refused: refused.into_inner(),
        failed: failed.into_inner(),
        bytes: bytes.into_inner(),
        lasted: began.elapsed(),
    }
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
    let (served, refused, failed, bytes) =
        (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let times = Mutex::new(
        Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds")),
    );
    let next = AtomicU64::new(0);
    let total = (rate * lasts.as_secs_f64()) as u64;
    let began = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..MOST {
            let (target, times, next) = (&target, &times, &next);
            let (served, refused, failed, bytes) = (&served, &refused, &failed, &bytes);
            let work = move || {
                let mut client = Client::new(address);
                loop {
                    let number = next.fetch_add(1, Relaxed);
                    if number >= total {
                        return;
                    }
                    let due = began + Duration::from_secs_f64(number as f64 / rate);
                    let now = Instant::now();
                    if due > now {
                        std::thread::sleep(due - now);
                    }
                    // Counted from when it was due: a client that comes late has waited.
                    let left = wanted.saturating_sub(due.elapsed());
                    if left < Duration::from_millis(1) {
                        failed.fetch_add(1, Relaxed);
                        continue;
                    }
                    client.patience = left;
                    match client.get(&target(number)) {
                        Ok(a) if a.status == 200 && due.elapsed() <= wanted => {
                            served.fetch_add(1, Relaxed);
                            bytes.fetch_add(a.body.len() as u64, Relaxed);
                            let took = due.elapsed().as_micros() as u64;
                            let _ = times.lock().unwrap_or_else(|e| e.into_inner()).record(took.max(1));
                        }
                        Ok(a) if a.status == 503 => {
                            refused.fetch_add(1, Relaxed);
                        }
                        _ => {
                            failed.fetch_add(1, Relaxed);
                        }
                    }
                }
            };
            let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn_scoped(scope, work);
        }
    });
    Load {
        times: times.into_inner().unwrap_or_else(|e| e.into_inner()),
        served: served.into_inner(),
        refused: refused.into_inner(),
        failed: failed.into_inner(),
        bytes: bytes.into_inner(),
        lasted: began.elapsed(),
    }
}
