//! The latency of a server: what it is now, and what it was without a queue.

use crate::time::Micros;
use std::collections::VecDeque;

/// The weight of a new sample in a moving average of latencies.
const SMOOTHING: f64 = 0.2;
/// Latencies up to this multiple of the baseline still count as the baseline: noise, and a queue of a few requests.
const TOLERANCE: f64 = 1.8;
/// The least gradient: one update at most halves the limit.
const MIN_GRADIENT: f64 = 0.5;
/// The baseline is the minimum over this number of windows
const WINDOWS: usize = 6;
/// of this length. A server that became slower for good has a new baseline after all of them.
const WINDOW: Micros = Micros::from_secs(5);

/// An exponentially weighted moving average of latencies, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SmoothedLatency(f64);

impl SmoothedLatency {
    /// The average, 0 before the first sample.
    pub(super) fn micros(self) -> f64 {
        self.0
    }

    /// True once there was a sample.
    pub(super) fn is_known(self) -> bool {
        self.0 > 0.0
    }

    /// Adds a sample; the first one is the average.
    pub(super) fn record(&mut self, latency: f64) {
        self.0 = if self.0 == 0.0 {
            latency
        } else {
            self.0 + (latency - self.0) * SMOOTHING
        };
    }

    /// Forgets all samples.
    pub(super) fn reset(&mut self) {
        self.0 = 0.0;
    }
}

/// The least latency of one window.
#[derive(Debug, Clone)]
struct WindowMinimum {
    began: Micros,
    latency: f64,
}

/// The latency of responses of one size, and its baseline: the minimum of the last windows, which is what the server needs
/// while no request waits in its queue.
#[derive(Debug, Clone, Default)]
pub(super) struct LatencyGradient {
    smoothed: SmoothedLatency,
    minima: VecDeque<WindowMinimum>,
}

impl LatencyGradient {
    /// Adds a sample in microseconds. The result is the ratio of the tolerated baseline to the smoothed latency: 1 while
    /// the server has no queue, less the longer the queue is.
    pub(super) fn record(&mut self, now: Micros, latency: f64) -> f64 {
        self.smoothed.record(latency);
        match self.minima.back_mut() {
            Some(window) if now.since(window.began) < WINDOW => {
                window.latency = window.latency.min(latency)
            }
            _ => self.minima.push_back(WindowMinimum {
                began: now,
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

    /// Forgets the smoothed latency; the baseline stays.
    pub(super) fn reset_smoothed(&mut self) {
        self.smoothed.reset();
    }
}
