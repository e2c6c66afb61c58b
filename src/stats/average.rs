//! Exponentially weighted moving averages.

use crate::interface::Nanos;

/// Exponentially weighted moving average (EWMA).
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Ewma {
    value: f64,
}

impl Ewma {
    /// Creates an average that starts at `value`.
    #[must_use]
    pub fn new(value: f64) -> Self {
        Ewma { value }
    }

    /// Returns the average.
    #[must_use]
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Moves the average towards `sample` by the share `gain`, 0 to 1, of the difference.
    pub fn record(&mut self, sample: f64, gain: f64) {
        self.value += (sample - self.value) * gain;
    }
}

/// EWMA that decays to a baseline while nothing is recorded.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct DecayingAverage {
    average: Ewma,
    updated_at: Nanos,
}

impl DecayingAverage {
    /// Creates an average that starts at `value`, as if recorded at `now`.
    #[must_use]
    pub fn new(value: f64, now: Nanos) -> Self {
        DecayingAverage {
            average: Ewma::new(value),
            updated_at: now,
        }
    }

    /// Returns the average at `now`. The distance to `baseline` halves with each `half_life`, in
    /// ns, that has passed since a value was last recorded.
    #[must_use]
    pub fn value_at(&self, now: Nanos, half_life: f64, baseline: f64) -> f64 {
        let half_lives = (now - self.updated_at) as f64 / half_life;
        baseline + (self.average.value() - baseline) * 0.5f64.powf(half_lives)
    }

    /// Records a sample, and ignores the decay since a value was last recorded.
    pub fn record(&mut self, now: Nanos, sample: f64, gain: f64) {
        self.average.record(sample, gain);
        self.updated_at = now;
    }

    /// Applies the decay towards 0 since a value was last recorded, then records a sample.
    pub fn record_decayed(&mut self, now: Nanos, half_life: f64, sample: f64, gain: f64) {
        self.average = Ewma::new(self.value_at(now, half_life, 0.0));
        self.record(now, sample, gain);
    }

    /// Records a lower bound of a sample: an average below it moves towards it, a higher one keeps
    /// its value. The decay since a value was last recorded is ignored.
    pub fn record_lower_bound(&mut self, now: Nanos, bound: f64, gain: f64) {
        self.record(now, bound.max(self.average.value()), gain);
    }

    /// Raises the average to `floor`, unless it is higher already, and restarts its decay.
    pub fn raise_to(&mut self, now: Nanos, floor: f64) {
        *self = DecayingAverage::new(self.average.value().max(floor), now);
    }
}
