//! The limit of concurrent requests to one server, adapted to its latency.
//!
//! The limiter follows the gradient of latency, as Netflix's `concurrency-limits` does (Gradient2).
//! Where the smoothed latency exceeds the baseline, requests wait in a queue, and the limit is
//! decreased by that ratio; otherwise it is increased by its square root, which permits a short
//! queue. Errors that report overload decrease the limit multiplicatively, as in AIMD. At intervals
//! the limit is set to its minimum for a short time, so that the queue drains and the baseline can
//! be measured (as in BBR's `PROBE_RTT`).
//!
//! The alternatives have drawbacks: a fixed limit is too high for a server that has lost cores, or
//! too low for one that has all of them; and AIMD on errors alone reacts late, since a server that
//! queues requests returns no errors until they time out.

use super::latency::{LatencyGradient, SmoothedLatency};
use crate::time::Micros;

/// The weight of a newly computed limit in the moving average of limits.
const LIMIT_SMOOTHING: f64 = 0.4;
/// The interval between baseline probes. The baseline of a server that always has a queue could not
/// be measured otherwise.
const PROBE_INTERVAL: Micros = Micros::from_secs(8);
/// The divisor of the probe interval whose result is the time from the first response to the first
/// probe.
const FIRST_PROBE_DIVISOR: u64 = 8;
/// The duration of a probe, as a multiple of the smoothed latency: the queue drains, and the
/// responses after that have the baseline latency.
const PROBE_LATENCY_MULTIPLE: f64 = 2.5;
/// The factor by which overload decreases the limit.
const DECREASE_FACTOR: f64 = 0.7;
/// The minimum interval between two decreases, in microseconds. The smoothed latency is used
/// instead if it is longer.
const MIN_DECREASE_INTERVAL_US: f64 = 10_000.0;
/// The minimum share of the limit that must be in use for it to increase: below that, latencies do
/// not show the effect of a higher limit.
const MIN_UTILIZATION: f64 = 0.5;
/// The longest backoff that a server can request.
const MAX_BACKOFF: Micros = Micros::from_secs(30);
/// The multiple of the smoothed latency beyond which a cancelled request counts as a sign of
/// overload.
const OVERLOAD_LATENCY_MULTIPLE: f64 = 4.0;
/// The number of size classes. Latencies are compared among responses of similar size, since a page
/// of 500 features takes longer than a single feature even without a queue.
const SIZE_CLASSES: usize = 6;

/// The rule that determines the limit of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitRule {
    /// A constant number of requests.
    Fixed(usize),
    /// A limit that adapts to latency, within bounds.
    Adaptive {
        /// The limit before the first response.
        initial: usize,
        /// The minimum: without requests to the server there would be no measurements.
        min: usize,
        /// The maximum.
        max: usize,
    },
}

/// The outcome of a request, as far as limits are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A response with this number of features.
    Success(usize),
    /// A report of overload by the server.
    Overloaded,
    /// A cancellation by the coordinator: a sign of overload if the request had waited for long,
    /// otherwise ignored.
    Cancelled,
    /// An outcome that indicates nothing about the server's load.
    Ignored,
}

/// A baseline probe in progress: the limit is at its minimum.
#[derive(Debug, Clone, Copy)]
struct BaselineProbe {
    /// The limit after the probe.
    restored_limit: f64,
    ends_at: Micros,
}

/// The limit of concurrent requests to one server.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimiter {
    rule: LimitRule,
    limit: f64,
    /// The smoothed latency of responses of all sizes.
    latency: SmoothedLatency,
    gradients: [LatencyGradient; SIZE_CLASSES],
    /// The time of the next probe; `None` before the first response.
    next_probe_at: Option<Micros>,
    probe: Option<BaselineProbe>,
    last_updated: Micros,
    last_decreased: Micros,
    backoff_ends_at: Micros,
}

impl ConcurrencyLimiter {
    /// Creates a limiter at the rule's initial limit.
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

    /// Returns the number of requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns whether a request may start while `in_flight` others are in flight.
    #[must_use]
    pub fn has_capacity(&self, in_flight: usize, now: Micros) -> bool {
        in_flight < self.limit() && !self.is_backing_off(now)
    }

    /// Returns whether the server has requested a backoff that is not over.
    #[must_use]
    pub fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff_ends_at
    }

    /// Starts a backoff that the server has requested, for `retry_after` but at most 30 s.
    pub fn back_off(&mut self, now: Micros, retry_after: Micros) {
        self.backoff_ends_at = self.backoff_ends_at.max(now + retry_after.min(MAX_BACKOFF));
    }

    /// Returns the throughput at the current limit and latency, in requests per second; `None`
    /// before the first response.
    #[must_use]
    pub fn throughput(&self) -> Option<f64> {
        let limit = self.probe.map_or(self.limit, |probe| probe.restored_limit);
        self.latency
            .is_known()
            .then(|| limit * 1e6 / self.latency.micros())
    }

    /// Records the end of a request that took `latency`, with `in_flight` requests in flight before
    /// that, itself included.
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

    /// Returns whether a cancelled request had waited so long that it indicates overload.
    fn is_overdue(&self, latency: Micros) -> bool {
        self.latency.is_known()
            && latency.0 as f64 > OVERLOAD_LATENCY_MULTIPLE * self.latency.micros()
    }

    /// Decreases an adaptive limit because of overload. A burst of errors decreases it only once.
    fn decrease(&mut self, now: Micros) {
        let LimitRule::Adaptive { min, .. } = self.rule else {
            return;
        };
        let interval = Micros(self.latency.micros().max(MIN_DECREASE_INTERVAL_US) as u64);
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

    /// Updates the latency and, for an adaptive rule, the limit.
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
        // The limit is updated once per smoothed latency: responses that arrive sooner belong to
        // requests under the previous limit.
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

    /// Ends or starts a baseline probe if that is due; returns whether one is in progress. Only a
    /// limit above its minimum needs one.
    fn probe_baseline(&mut self, now: Micros, min: usize) -> bool {
        if let Some(probe) = self.probe {
            if now < probe.ends_at {
                return true;
            }
            self.end_probe(probe);
            return false;
        }
        let first_probe_at = now + Micros(PROBE_INTERVAL.0 / FIRST_PROBE_DIVISOR);
        let due = now >= *self.next_probe_at.get_or_insert(first_probe_at);
        if !due || self.limit <= min as f64 + 0.5 {
            return false;
        }
        let duration = Micros((self.latency.micros() * PROBE_LATENCY_MULTIPLE) as u64);
        self.next_probe_at = Some(now + PROBE_INTERVAL);
        self.probe = Some(BaselineProbe {
            restored_limit: self.limit,
            ends_at: now + duration,
        });
        self.limit = min as f64;
        true
    }

    /// Ends a probe and restores the limit. The smoothed latencies are reset, since they still
    /// contain the time in the queue before the probe.
    fn end_probe(&mut self, probe: BaselineProbe) {
        self.limit = probe.restored_limit;
        self.probe = None;
        self.latency.reset();
        self.gradients
            .iter_mut()
            .for_each(LatencyGradient::reset_smoothed);
    }
}

/// Returns the size class of a response. Each class is four times as large as the one before; the
/// last has no upper bound.
fn size_class(features: usize) -> usize {
    let class = features.checked_ilog2().map_or(0, |log| log / 2 + 1);
    (class as usize).min(SIZE_CLASSES - 1)
}

#[cfg(test)]
mod tests;
