//! The controller that sets the admitted share of low-priority queries by the quality of answers.

use crate::interface::Nanos;
use crate::queries::{QualityReading, TARGET_SAMPLES};
use crate::stats::{PidGains, VelocityPid};

/// Target of the controller, a share; the paper has 0.9: from there to here shedding mends little.
const QUALITY_TARGET: f64 = 0.8;
/// Gains. Of the error's change: the paper's 40% for the current reading. Of the error, per second: a full
/// swing takes about a window. Of its second difference: small, since samples are few.
const GAINS: PidGains = PidGains { proportional: 0.4, integral: 0.1, derivative: 0.05 };
/// Bound of the error, in units of the room above the target: one bad reading must not empty the share.
const MAX_ERROR: f64 = 3.0;

/// The controller's output and state.
#[derive(Debug)]
pub struct AdmissionController {
    admitted_share: f64,
    pid: VelocityPid,
}

impl AdmissionController {
    /// Begins with all queries admitted.
    pub fn new() -> Self {
        AdmissionController { admitted_share: 1.0, pid: VelocityPid::default() }
    }

    /// The share of low-priority queries to admit, 0 to 1.
    pub fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Takes the reading of one period.
    pub fn update(&mut self, reading: &QualityReading, period: Nanos) {
        let trust = (reading.samples / (TARGET_SAMPLES / 4.0)).min(1.0);
        let error = trust * ((reading.quality - QUALITY_TARGET) / (1.0 - QUALITY_TARGET)).max(-MAX_ERROR);
        let change = self.pid.step(GAINS, error, MAX_ERROR, period);
        // Clamping the share itself is what keeps the integral from winding up.
        self.admitted_share = (self.admitted_share + change).clamp(0.0, 1.0);
    }
}
