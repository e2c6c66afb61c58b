//! The limit of concurrent requests to one server, adapted to its latency.
//!
//! Considered and rejected: a fixed limit, which is too high for a server that lost cores or too low for one that has them;
//! and AIMD on errors alone, since a server that queues returns no errors until everything is late. The limiter follows the
//! gradient of latency, as in Netflix's `concurrency-limits` (Gradient2): where the smoothed latency exceeds the baseline,
//! requests wait in a queue, and the limit shrinks by that ratio; otherwise it grows by its square root, which lets a short
//! queue stand. Errors that report overload decrease it multiplicatively, as AIMD does. From time to time the limit drops to
//! its minimum for a moment, so that the queue drains and the baseline can be measured (as in BBR's `PROBE_RTT`).

use super::latency::{LatencyGradient, SmoothedLatency};
use crate::time::Micros;

/// The weight of a newly computed limit against the present one.
const LIMIT_SMOOTHING: f64 = 0.4;
/// The interval of baseline probes. A server that always has a queue would never show its baseline otherwise.
const PROBE_INTERVAL: Micros = Micros::from_secs(8);
/// The first probe comes after this fraction of the interval.
const FIRST_PROBE_FRACTION: u64 = 8;
/// A probe lasts for this multiple of the smoothed latency: the queue ends, and what comes after it shows the baseline.
const PROBE_LATENCIES: f64 = 2.5;
/// The factor by which overload decreases the limit, at most once per smoothed latency
const DECREASE_FACTOR: f64 = 0.7;
/// or per this time in microseconds, whichever is longer.
const MIN_DECREASE_INTERVAL: f64 = 10_000.0;
/// A limit grows only while at least this share of it is in use: otherwise nothing shows what more would do.
const MIN_UTILIZATION: f64 = 0.5;
/// The longest backoff that a server can request.
const MAX_BACKOFF: Micros = Micros::from_secs(30);
/// A request cancelled after more than this multiple of the smoothed latency counts as a sign of overload.
const OVERLOAD_LATENCIES: f64 = 4.0;
/// Latencies are compared among responses of similar size: a page of five hundred features takes longer than a single
/// feature, without any queue.
const SIZE_CLASSES: usize = 6;

/// How the limit of a server is determined.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitRule {
    /// Always this number of requests.
    Fixed(usize),
    /// Adapted to latency, within bounds.
    Adaptive {
        /// The limit of a server of which nothing is known.
        initial: usize,
        /// The minimum: a server without requests would show nothing.
        min: usize,
        /// The maximum.
        max: usize,
    },
}

/// How a request ended, as far as limits are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered, with this number of features.
    Success(usize),
    /// The server reported overload.
    Overloaded,
    /// The coordinator cancelled it: a sign of overload if it had waited for long, otherwise ignored.
    Cancelled,
    /// It says nothing about the server's load.
    Ignored,
}

/// A baseline probe in progress: the limit is at its minimum.
#[derive(Debug, Clone, Copy)]
struct BaselineProbe {
    /// The limit afterwards.
    restored_limit: f64,
    ends_at: Micros,
}

/// The limit of concurrent requests to one server.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    rule: LimitRule,
    limit: f64,
    /// Over responses of all sizes.
    latency: SmoothedLatency,
    gradients: [LatencyGradient; SIZE_CLASSES],
    /// `None` before the first response.
    next_probe_at: Option<Micros>,
    probe: Option<BaselineProbe>,
    last_updated: Micros,
    last_decreased: Micros,
    backoff_ends_at: Micros,
}

impl ConcurrencyLimiter {
    /// A limiter at the rule's initial limit.
    #[must_use]
    pub fn new(rule: LimitRule) -> Self {
        let limit = match rule {
            LimitRule::Fixed(limit) => limit,
            LimitRule::Adaptive { initial, .. } => initial,
        };
        ConcurrencyLimiter {
            rule,
            limit: limit as f64,
            latency: SmoothedLatency::default(),
            gradients: Default::default(),
            next_probe_at: None,
            probe: None,
            last_updated: Micros::ZERO,
            last_decreased: Micros::ZERO,
            backoff_ends_at: Micros::ZERO,
        }
    }

    /// The number of requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// True if a request may start while `in_flight` others are in flight.
    #[must_use]
    pub fn has_capacity(&self, in_flight: usize, now: Micros) -> bool {
        in_flight < self.limit() && !self.is_backing_off(now)
    }

    /// True while the server wants no requests.
    #[must_use]
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff_ends_at
    }

    /// The server wants no requests for this time; at most 30 s of it are granted.
    pub fn back_off(&mut self, now: Micros, retry_after: Micros) {
        self.backoff_ends_at = self.backoff_ends_at.max(now + retry_after.min(MAX_BACKOFF));
    }

    /// The throughput at the present limit and latency in requests per second; `None` before the first response.
    #[must_use]
    pub fn throughput(&self) -> Option<f64> {
        let limit = self.probe.map_or(self.limit, |probe| probe.restored_limit);
        self.latency
            .is_known()
            .then(|| limit * 1e6 / self.latency.micros())
    }

    /// Records the end of a request that took `latency`, with `in_flight` requests in flight up to then.
    pub fn record(
        &mut self,
        now: Micros,
        outcome: RequestOutcome,
        latency: Micros,
        in_flight: usize,
    ) {
        match outcome {
            RequestOutcome::Ignored => {}
            RequestOutcome::Success(features) => {
                self.record_success(now, features, latency, in_flight)
            }
            RequestOutcome::Overloaded => self.decrease(now),
            RequestOutcome::Cancelled if self.is_overdue(latency) => self.decrease(now),
            RequestOutcome::Cancelled => {}
        }
    }

    fn is_overdue(&self, latency: Micros) -> bool {
        self.latency.is_known() && latency.0 as f64 > OVERLOAD_LATENCIES * self.latency.micros()
    }

    /// Decreases an adaptive limit for overload. Of a burst of errors with one cause, one counts.
    fn decrease(&mut self, now: Micros) {
        let LimitRule::Adaptive { min, .. } = self.rule else {
            return;
        };
        let interval = Micros(self.latency.micros().max(MIN_DECREASE_INTERVAL) as u64);
        if now.since(self.last_decreased) <= interval {
            return;
        }
        let decreased = |limit: f64| (limit * DECREASE_FACTOR).max(min as f64);
        self.last_decreased = now;
        self.limit = decreased(self.limit);
        if let Some(probe) = &mut self.probe {
            probe.restored_limit = decreased(probe.restored_limit);
        }
    }

    fn record_success(&mut self, now: Micros, features: usize, latency: Micros, in_flight: usize) {
        let latency = (latency.0 as f64).max(1.0);
        self.latency.record(latency);
        let gradient = self.gradients[size_class(features)].record(now, latency);
        let LimitRule::Adaptive { min, max, .. } = self.rule else {
            return;
        };
        if self.probe_baseline(now, min) {
            return;
        }
        // Once per smoothed latency: responses that come sooner belong to requests under the previous limit.
        if now.since(self.last_updated) < Micros(self.latency.micros() as u64) {
            return;
        }
        let target = self.limit * gradient + self.limit.sqrt();
        if target > self.limit && (in_flight as f64) < MIN_UTILIZATION * self.limit {
            return;
        }
        self.last_updated = now;
        let next = self.limit + (target - self.limit) * LIMIT_SMOOTHING;
        self.limit = next.clamp(min as f64, max as f64);
    }

    /// Ends or starts a baseline probe if it is time; true while one is in progress. Only a limit above its minimum needs
    /// one, and it is restored afterwards.
    fn probe_baseline(&mut self, now: Micros, min: usize) -> bool {
        if let Some(probe) = self.probe {
            if now < probe.ends_at {
                return true;
            }
            self.end_probe(probe);
            return false;
        }
        let first_probe_at = now + Micros(PROBE_INTERVAL.0 / FIRST_PROBE_FRACTION);
        let due = now >= *self.next_probe_at.get_or_insert(first_probe_at);
        if !due || self.limit <= min as f64 + 0.5 {
            return false;
        }
        let duration = Micros((self.latency.micros() * PROBE_LATENCIES) as u64);
        self.next_probe_at = Some(now + PROBE_INTERVAL);
        self.probe = Some(BaselineProbe {
            restored_limit: self.limit,
            ends_at: now + duration,
        });
        self.limit = min as f64;
        true
    }

    /// Restores the limit. The smoothed latencies start anew, since they still contain the queue from before the probe.
    fn end_probe(&mut self, probe: BaselineProbe) {
        self.limit = probe.restored_limit;
        self.probe = None;
        self.latency.reset();
        self.gradients
            .iter_mut()
            .for_each(LatencyGradient::reset_smoothed);
    }
}

/// The size class of a response: each is four times as large as the one before, the last has no upper bound.
fn size_class(features: usize) -> usize {
    let class = features.checked_ilog2().map_or(0, |log| log / 2 + 1);
    (class as usize).min(SIZE_CLASSES - 1)
}

#[cfg(test)]
mod tests;
