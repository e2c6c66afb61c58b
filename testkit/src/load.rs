//! Load generator: closed-loop and open-loop clients, with latencies in an HDR histogram.

use crate::client::{Client, ClientError, Response};
use crate::sync::{into_inner, lock};
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum number of concurrent queries of an open-loop load.
const MAX_IN_FLIGHT: usize = 400;
/// Minimum remaining time of a query; a query with less is not sent and counts as failed.
const MIN_TIME_LEFT: Duration = Duration::from_millis(1);
/// Stack size of a client's thread, of which there may be hundreds.
const CLIENT_STACK_BYTES: usize = 256 * 1024;
/// Largest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the histogram in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// Result of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Latencies of the served queries, in microseconds.
    pub latencies: Histogram<u64>,
    /// Number of queries answered with 200 within the timeout.
    pub served: u64,
    /// Number of queries answered with 503.
    pub rejected: u64,
    /// Number of all other queries.
    pub failed: u64,
    /// Total size of the served response bodies, in bytes.
    pub body_bytes: u64,
    /// Duration of the load.
    pub elapsed: Duration,
}

impl LoadResult {
    /// Returns a quantile of the latencies in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the throughput of served queries per second.
    #[must_use]
    pub fn served_per_second(&self) -> f64 {
        self.served as f64 / self.elapsed.as_secs_f64()
    }

    /// Returns the number of all queries.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.served + self.rejected + self.failed
    }
}

/// Counters and latencies of a running load.
#[derive(Default)]
struct Recorder {
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
    body_bytes: AtomicU64,
    latencies_us: Mutex<Vec<u64>>,
}

impl Recorder {
    /// Records a response or an error, with the latency from the time at which the query was due. A
    /// response later than `timeout` counts as failed.
    fn record(
        &self,
        response: Result<Response, ClientError>,
        latency: Duration,
        timeout: Duration,
    ) {
        match response {
            Ok(response) if response.status == 200 && latency <= timeout => {
                self.served.fetch_add(1, Relaxed);
                self.body_bytes
                    .fetch_add(response.body.len() as u64, Relaxed);
                let latency_us = (latency.as_micros() as u64).max(1);
                lock(&self.latencies_us).push(latency_us);
            }
            Ok(response) if response.status == 503 => {
                self.rejected.fetch_add(1, Relaxed);
            }
            _ => self.record_failure(),
        }
    }

    fn record_failure(&self) {
        self.failed.fetch_add(1, Relaxed);
    }

    fn finish(self, elapsed: Duration) -> LoadResult {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS);
        let mut latencies = histogram.unwrap_or_else(|_| unreachable!("fixed bounds"));
        for latency_us in into_inner(self.latencies_us) {
            latencies.saturating_record(latency_us);
        }
        LoadResult {
            latencies,
            served: self.served.into_inner(),
            rejected: self.rejected.into_inner(),
            failed: self.failed.into_inner(),
            body_bytes: self.body_bytes.into_inner(),
            elapsed,
        }
    }
}

/// Closed-loop load: each client sends its next query after the response to the previous one.
#[derive(Debug, Clone, Copy)]
pub struct ClosedLoop {
    /// Address of the server.
    pub address: SocketAddr,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Duration of the load.
    pub duration: Duration,
}

impl ClosedLoop {
    /// Runs the load with one target for all queries.
    #[must_use]
    pub fn run(&self, target: &str) -> LoadResult {
        let recorder = Recorder::default();
        let stopped = AtomicBool::new(false);
        let started = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..self.clients {
                scope.spawn(|| self.run_client(target, &stopped, &recorder));
            }
            std::thread::sleep(self.duration);
            stopped.store(true, Relaxed);
        });
        recorder.finish(started.elapsed())
    }

    fn run_client(&self, target: &str, stopped: &AtomicBool, recorder: &Recorder) {
        let mut client = Client::new(self.address);
        while !stopped.load(Relaxed) {
            let sent_at = Instant::now();
            let response = client.get(target);
            recorder.record(response, sent_at.elapsed(), Duration::MAX);
        }
    }
}

/// Open-loop load: queries are due at a constant rate, independent of their responses.
#[derive(Debug, Clone, Copy)]
pub struct OpenLoop {
    /// Address of the server.
    pub address: SocketAddr,
    /// Arrival rate in queries per second.
    pub rate: f64,
    /// Duration of the arrivals.
    pub duration: Duration,
    /// Time after which an unanswered query counts as failed and its connection is closed, measured
    /// from the time at which the query was due.
    pub timeout: Duration,
}

impl OpenLoop {
    /// Runs the load; `target(number)` returns the target of the query with this number, from 0.
    /// While `MAX_IN_FLIGHT` queries are in flight, due queries start late and may fail without
    /// being sent.
    ///
    /// # Errors
    /// Returns an error if the thread of a client cannot be started; the load then ends early.
    pub fn run(&self, target: impl Fn(u64) -> String + Sync) -> io::Result<LoadResult> {
        let recorder = Recorder::default();
        let next_number = AtomicU64::new(0);
        let started = Instant::now();
        std::thread::scope(|scope| {
            for _ in 0..MAX_IN_FLIGHT {
                let client = || self.run_client(started, &next_number, &recorder, &target);
                std::thread::Builder::new()
                    .stack_size(CLIENT_STACK_BYTES)
                    .spawn_scoped(scope, client)
                    .inspect_err(|_| next_number.store(self.total(), Relaxed))?;
            }
            Ok::<(), io::Error>(())
        })?;
        Ok(recorder.finish(started.elapsed()))
    }

    /// Returns the number of queries of the load.
    fn total(&self) -> u64 {
        (self.rate * self.duration.as_secs_f64()) as u64
    }

    fn run_client(
        &self,
        started: Instant,
        next_number: &AtomicU64,
        recorder: &Recorder,
        target: &impl Fn(u64) -> String,
    ) {
        let total = self.total();
        let mut client = Client::new(self.address);
        loop {
            let number = next_number.fetch_add(1, Relaxed);
            if number >= total {
                return;
            }
            let due = started + Duration::from_secs_f64(number as f64 / self.rate);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            // A query that starts late has already waited since it was due.
            let time_left = self.timeout.saturating_sub(due.elapsed());
            if time_left < MIN_TIME_LEFT {
                recorder.record_failure();
                continue;
            }
            client.timeout = time_left;
            let response = client.get(&target(number));
            recorder.record(response, due.elapsed(), self.timeout);
        }
    }
}
