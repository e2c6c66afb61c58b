//! Sliding windows over recent observations.

use crate::interface::Nanos;
use std::collections::VecDeque;

/// Something observed at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation<T> {
    at: Nanos,
    value: T,
}

/// What was observed lately, in order of time. A `TimeWindow<()>` only counts.
#[derive(Debug, Clone, PartialEq)]
pub struct TimeWindow<T = ()> {
    observations: VecDeque<Observation<T>>,
}

impl<T> Default for TimeWindow<T> {
    fn default() -> Self {
        TimeWindow {
            observations: VecDeque::new(),
        }
    }
}

impl<T> TimeWindow<T> {
    /// Adds an observation; it is not earlier than those before.
    pub fn push(&mut self, at: Nanos, value: T) {
        self.observations.push_back(Observation { at, value });
    }

    /// Drops what is older than `span` before `now`.
    pub fn expire(&mut self, now: Nanos, span: Nanos) {
        self.observations.retain(|o| o.at + span >= now);
    }

    /// How many observations the last `span` before `now` holds.
    #[must_use]
    pub fn count(&self, now: Nanos, span: Nanos) -> usize {
        self.observations.len() - self.observations.partition_point(|o| o.at + span < now)
    }

    /// When the latest observation was made.
    #[must_use]
    pub fn latest(&self) -> Option<Nanos> {
        self.observations.back().map(|o| o.at)
    }
}

impl TimeWindow<f64> {
    /// The sum of the values in the last `span` before `now`, added up from the oldest.
    #[must_use]
    pub fn sum(&self, now: Nanos, span: Nanos) -> f64 {
        self.observations
            .iter()
            .filter(|o| o.at + span >= now)
            .map(|o| o.value)
            .sum()
    }
}

/// The last values of a sequence, to rank new ones among them.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RecentValues {
    values: VecDeque<f64>,
}

impl RecentValues {
    /// The share, 0 to 1, of the values that `value` exceeds; `tie_break`, 0 to 1, places it among equal ones.
    #[must_use]
    pub fn rank(&self, value: f64, tie_break: f64) -> f64 {
        let lower = self.values.iter().filter(|v| **v < value).count() as f64;
        let equal = self.values.iter().filter(|v| **v == value).count() as f64;
        (lower + tie_break * (equal + 1.0)) / (self.values.len() as f64 + 1.0)
    }

    /// Adds a value and keeps the last `capacity`.
    pub fn push(&mut self, value: f64, capacity: usize) {
        self.values.push_back(value);
        self.values
            .drain(..self.values.len().saturating_sub(capacity));
    }
}
