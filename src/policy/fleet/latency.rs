//! Response times over all replicas, and the work of each class: the time that a part takes without
//! queueing. All times are in ns.

use super::FLEET_GAIN;
use crate::interface::{ClassId, Nanos, Settings};
use crate::stats::Ewma;

/// Response time that is assumed until one is observed, as a share of the latency objective.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.125;
/// Multiple of the baseline to which longer response times are cut before they are recorded in it.
const OUTLIER_RATIO: f64 = 2.0;
/// Multiple of the baseline after which an attempt is overdue.
const OVERDUE_RATIO: f64 = 5.5;
/// Gain of a class's work for an answer that took less than the estimate; high, since only the
/// fastest answers consist of the work alone.
const FAST_ANSWER_GAIN: f64 = 0.5;
/// Gain of a class's work for an answer that took longer than the estimate.
const SLOW_ANSWER_GAIN: f64 = 0.002;

/// Work of a class's parts, estimated from the response times of its answers.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClassWork {
    time: Ewma,
    observed: bool,
}

impl ClassWork {
    /// Estimates the work from the latency objective of the class.
    fn estimated(latency_objective: Nanos) -> Self {
        ClassWork {
            time: estimated_response_time(latency_objective),
            observed: false,
        }
    }

    fn record(&mut self, elapsed: f64) {
        let gain = if elapsed < self.time.value() {
            FAST_ANSWER_GAIN
        } else {
            SLOW_ANSWER_GAIN
        };
        self.time.record(elapsed, gain);
        self.observed = true;
    }
}

/// Response times of the fleet, in ns.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct FleetLatency {
    mean: Ewma,
    baseline: Ewma,
    per_in_flight: Ewma,
    work: Vec<ClassWork>,
}

impl FleetLatency {
    /// Creates estimates from the classes' latency objectives, which hold until answers are
    /// observed.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let estimate = estimated_response_time(settings.min_latency_objective());
        let objectives = settings.classes.iter().map(|class| class.latency_objective);
        FleetLatency {
            mean: estimate,
            baseline: estimate,
            per_in_flight: Ewma::default(),
            work: objectives.map(ClassWork::estimated).collect(),
        }
    }

    /// Applies new settings: each class continues with the work of the former class that it is
    /// mapped to, if that was observed.
    pub fn apply_settings(&mut self, settings: &Settings, class_mapping: &[ClassId]) {
        let mut work = Vec::with_capacity(settings.classes.len());
        for (class, former) in settings.classes.iter().zip(class_mapping) {
            let continued = self.work.get(usize::from(former.0)).copied();
            let observed = continued.filter(|work| work.observed);
            work.push(observed.unwrap_or(ClassWork::estimated(class.latency_objective)));
        }
        self.work = work;
    }

    /// Records an answer. `in_flight` is the number of this coordinator's attempts in flight at the
    /// replica when this one was sent, itself included.
    pub fn record(&mut self, class: ClassId, elapsed: Nanos, in_flight: f64) {
        let elapsed = elapsed as f64;
        self.per_in_flight.record(elapsed / in_flight, FLEET_GAIN);
        self.mean.record(elapsed, FLEET_GAIN);
        let without_outliers = elapsed.min(OUTLIER_RATIO * self.baseline.value());
        self.baseline.record(without_outliers, FLEET_GAIN);
        self.work[usize::from(class.0)].record(elapsed);
    }

    /// Returns the smoothed response time.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean.value()
    }

    /// Returns the smoothed response time without outliers, on which a few slow replicas have
    /// little influence.
    #[must_use]
    pub fn baseline(&self) -> f64 {
        self.baseline.value()
    }

    /// Returns the age from which an attempt is overdue.
    #[must_use]
    pub fn overdue_after(&self) -> f64 {
        OVERDUE_RATIO * self.baseline()
    }

    /// Returns the smoothed quotient of an answer's response time and the number of attempts in
    /// flight at its replica: the wait that each attempt in a queue adds.
    #[must_use]
    pub fn per_in_flight(&self) -> f64 {
        self.per_in_flight.value()
    }

    /// Returns the work of a part of a class; derived from the latency objective until an answer is
    /// observed.
    #[must_use]
    pub fn work(&self, class: ClassId) -> f64 {
        self.work[usize::from(class.0)].time.value()
    }

    /// Returns whether answers of a class were observed.
    #[must_use]
    pub fn is_observed(&self, class: ClassId) -> bool {
        self.work[usize::from(class.0)].observed
    }

    /// Returns whether answers of any class were observed.
    #[must_use]
    pub fn is_any_observed(&self) -> bool {
        self.work.iter().any(|work| work.observed)
    }
}

/// Estimates a response time from a latency objective.
fn estimated_response_time(latency_objective: Nanos) -> Ewma {
    Ewma::new(latency_objective as f64 * INITIAL_OBJECTIVE_SHARE)
}
