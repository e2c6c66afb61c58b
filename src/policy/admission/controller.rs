//! The admission controller, which sets the admitted share of low-priority queries by the answer
//! quality.

use crate::interface::Nanos;
use crate::policy::quality::{QualityMeasurement, TARGET_SAMPLES};
use crate::stats::{PidGains, VelocityPid};

/// Target of the answer quality.
const QUALITY_TARGET: f64 = 0.8;
/// Gains of the controller. With the integral gain, an error of 1 moves the admitted share from 0
/// to 1 in about one quality window. The derivative gain is small, since samples are few.
const GAINS: PidGains = PidGains {
    proportional: 0.4,
    integral: 0.1,
    derivative: 0.05,
};
/// Maximum of the error below the target, as a multiple of the distance from the target to a
/// quality of 1, so that one bad measurement does not cause all queries to be rejected.
const MAX_ERROR: f64 = 3.0;
/// Share of the target number of samples from which a measurement counts in full.
const FULL_CONFIDENCE_SAMPLE_SHARE: f64 = 0.25;

/// PID controller of the admitted share.
#[derive(Debug)]
pub struct AdmissionController {
    admitted_share: f64,
    pid: VelocityPid,
}

impl AdmissionController {
    /// Creates a controller that admits all queries.
    pub fn new() -> Self {
        AdmissionController {
            admitted_share: 1.0,
            pid: VelocityPid::default(),
        }
    }

    /// Returns the admitted share of low-priority queries, 0 to 1.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Adjusts the admitted share by the measurement of one period.
    pub fn update(&mut self, measurement: &QualityMeasurement, period: Nanos) {
        let full_confidence_samples = TARGET_SAMPLES * FULL_CONFIDENCE_SAMPLE_SHARE;
        let confidence = (measurement.samples / full_confidence_samples).min(1.0);
        let distance = (measurement.quality - QUALITY_TARGET) / (1.0 - QUALITY_TARGET);
        let error = confidence * distance.max(-MAX_ERROR);
        let change = self.pid.step(GAINS, error, MAX_ERROR, period);
        // Clamping the output prevents integral windup.
        self.admitted_share = (self.admitted_share + change).clamp(0.0, 1.0);
    }
}
