//! The controller that sets the admitted share of low-priority queries by the quality of answers.

use super::super::quality::{QualityReading, TARGET_SAMPLES};
use crate::interface::Nanos;
use crate::stats::{PidGains, VelocityPid};

/// The target quality. The paper has 0.9; between the two, shedding improves little.
const QUALITY_TARGET: f64 = 0.8;
/// Proportional: the paper's weight of 40% for the current reading. Integral: a full swing takes about one
/// window. Derivative: small, since samples are few.
const GAINS: PidGains = PidGains { proportional: 0.4, integral: 0.1, derivative: 0.05 };
/// The error's bound, in units of the range above the target: one bad reading must not reject everything.
const MAX_ERROR: f64 = 3.0;

/// The controller's output and internal state.
#[derive(Debug)]
pub struct AdmissionController {
    admitted_share: f64,
    pid: VelocityPid,
}

impl AdmissionController {
    /// Starts with all queries admitted.
    pub fn new() -> Self {
        AdmissionController { admitted_share: 1.0, pid: VelocityPid::default() }
    }

    /// The share of low-priority queries to admit, from 0 to 1.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Adjusts the admitted share by the reading of one period.
    pub fn update(&mut self, reading: &QualityReading, period: Nanos) {
        let trust = (reading.samples / (TARGET_SAMPLES / 4.0)).min(1.0);
        let error = trust * ((reading.quality - QUALITY_TARGET) / (1.0 - QUALITY_TARGET)).max(-MAX_ERROR);
        let change = self.pid.step(GAINS, error, MAX_ERROR, period);
        // Clamping the output prevents integral windup.
        self.admitted_share = (self.admitted_share + change).clamp(0.0, 1.0);
    }
}
