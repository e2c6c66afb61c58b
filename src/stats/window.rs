//! Sliding windows over recent observations.

use crate::interface::Nanos;
use std::collections::VecDeque;

/// Value observed at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation<T> {
    at: Nanos,
    value: T,
}

/// Recent observations in order of time. Those of a `TimeWindow<()>` have no value and are only
/// counted.
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
    /// Adds an observation, which must not be earlier than the last one.
    pub fn push(&mut self, at: Nanos, value: T) {
        self.observations.push_back(Observation { at, value });
    }

    /// Removes observations older than `span` before `now`.
    pub fn expire(&mut self, now: Nanos, span: Nanos) {
        self.observations.retain(|o| o.at + span >= now);
    }

    /// Returns the number of observations in the last `span` before `now`.
    #[must_use]
    pub fn count(&self, now: Nanos, span: Nanos) -> usize {
        self.observations.len() - self.observations.partition_point(|o| o.at + span < now)
    }

    /// Returns the time of the latest observation.
    #[must_use]
    pub fn latest(&self) -> Option<Nanos> {
        self.observations.back().map(|o| o.at)
    }
}

impl TimeWindow<f64> {
    /// Returns the sum of the values in the last `span` before `now`, added up from the oldest.
    #[must_use]
    pub fn sum(&self, now: Nanos, span: Nanos) -> f64 {
        self.observations
            .iter()
            .filter(|o| o.at + span >= now)
            .map(|o| o.value)
            .sum()
    }
}

/// Most recent values of a sequence, among which new values are ranked.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct RecentValues {
    values: VecDeque<f64>,
}

impl RecentValues {
    /// Returns the rank of `value`: the share, 0 to 1, of the values that are lower. `tie_break`, 0
    /// to 1, is its position among equal values.
    #[must_use]
    pub fn rank(&self, value: f64, tie_break: f64) -> f64 {
        let lower = self.values.iter().filter(|v| **v < value).count() as f64;
        let equal = self.values.iter().filter(|v| **v == value).count() as f64;
        (lower + tie_break * (equal + 1.0)) / (self.values.len() as f64 + 1.0)
    }

    /// Adds a value and keeps the last `capacity` values.
    pub fn push(&mut self, value: f64, capacity: usize) {
        self.values.push_back(value);
        self.values
            .drain(..self.values.len().saturating_sub(capacity));
    }
}
