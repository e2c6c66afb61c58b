//! The latency of a server, and its baseline without a queue.
//!
//! Latencies are microseconds as `f64`.

use crate::time::Micros;
use std::collections::VecDeque;

/// The weight of a new sample in a moving average of latencies.
const SMOOTHING: f64 = 0.2;
/// The multiple of the baseline up to which a latency counts as the baseline: it allows for noise
/// and for a queue of a few requests.
const TOLERANCE: f64 = 1.8;
/// The minimum of the gradient, so that one update at most halves the limit.
const MIN_GRADIENT: f64 = 0.5;
/// The number of windows over which the baseline is the minimum. After a server has become
/// permanently slower, the baseline follows once all of them have passed.
const WINDOWS: usize = 6;
/// The length of a window.
const WINDOW: Micros = Micros::from_secs(5);

/// An exponentially weighted moving average of latencies, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SmoothedLatency(f64);

impl SmoothedLatency {
    /// Returns the average; 0 before the first sample.
    pub(super) fn micros(self) -> f64 {
        self.0
    }

    /// Returns whether there is a sample.
    pub(super) fn is_known(self) -> bool {
        self.0 > 0.0
    }

    /// Adds a sample in microseconds; the first one becomes the average.
    pub(super) fn record(&mut self, latency: f64) {
        self.0 = if self.0 == 0.0 {
            latency
        } else {
            self.0 + (latency - self.0) * SMOOTHING
        };
    }

    /// Removes all samples.
    pub(super) fn reset(&mut self) {
        self.0 = 0.0;
    }
}

/// The minimum latency of one window.
#[derive(Debug, Clone)]
struct WindowMinimum {
    started_at: Micros,
    latency: f64,
}

/// The latency of responses of one size, and its baseline: the minimum of the last windows, which
/// is the latency of the server while no request waits in its queue.
#[derive(Debug, Clone, Default)]
pub(super) struct LatencyGradient {
    smoothed: SmoothedLatency,
    minima: VecDeque<WindowMinimum>,
}

impl LatencyGradient {
    /// Adds a sample in microseconds. Returns the ratio of the tolerated baseline to the smoothed
    /// latency: 1 while the server has no queue, and less the longer its queue is.
    pub(super) fn record(&mut self, now: Micros, latency: f64) -> f64 {
        self.smoothed.record(latency);
        match self.minima.back_mut() {
            Some(window) if now.since(window.started_at) < WINDOW => {
                window.latency = window.latency.min(latency)
            }
            _ => self.minima.push_back(WindowMinimum {
                started_at: now,
                latency,
            }),
        }
        while self.minima.len() > WINDOWS {
            self.minima.pop_front();
        }
        let baseline = self
            .minima
            .iter()
            .map(|window| window.latency)
            .fold(f64::INFINITY, f64::min);
        (TOLERANCE * baseline / self.smoothed.micros()).clamp(MIN_GRADIENT, 1.0)
    }

    /// Removes the smoothed latency; the baseline remains.
    pub(super) fn reset_smoothed(&mut self) {
        self.smoothed.reset();
    }
}
