//! The controller that sets the admitted share of low-priority queries by the quality of answers.

use super::quality::{QualityReading, WANTED_SAMPLES};
use crate::interface::Nanos;

/// Target of the controller, a share; the paper has 0.9: from there to here shedding mends little.
const QUALITY_TARGET: f64 = 0.8;
/// Gains. Of the error's change: the paper's 40% for the current reading. Of the error, per second: a full
/// swing takes about a window. Of its second difference: small, since samples are few.
const PROPORTIONAL_GAIN: f64 = 0.4;
const INTEGRAL_GAIN: f64 = 0.1;
const DERIVATIVE_GAIN: f64 = 0.05;
/// Bound of the error, in units of the room above the target: one bad reading must not empty the share.
const MAX_ERROR: f64 = 3.0;

/// A PID controller in velocity form: it changes its output by the change of the error, the error, and the
/// error's second difference.
#[derive(Debug, Default)]
pub(super) struct PidController {
    admitted_share: f64,
    last_error: f64,
    error_before_last: f64,
}

impl PidController {
    /// Begins with all queries admitted.
    pub(super) fn new() -> Self {
        PidController { admitted_share: 1.0, ..PidController::default() }
    }

    /// The share of low-priority queries to admit, 0 to 1.
    pub(super) fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    /// Takes the reading of one period.
    pub(super) fn update(&mut self, reading: &QualityReading, period: Nanos) {
        let trust = (reading.samples / (WANTED_SAMPLES / 4.0)).min(1.0);
        let error = trust * ((reading.quality - QUALITY_TARGET) / (1.0 - QUALITY_TARGET)).max(-MAX_ERROR);
        let proportional = PROPORTIONAL_GAIN * ((error - self.last_error) / MAX_ERROR);
        let integral = INTEGRAL_GAIN * (error * period as f64 / 1e9);
        let derivative =
            DERIVATIVE_GAIN * (error - 2.0 * self.last_error + self.error_before_last) / MAX_ERROR;
        (self.last_error, self.error_before_last) = (error, self.last_error);
        // Clamping the share itself is what keeps the integral from winding up.
        self.admitted_share = (self.admitted_share + (proportional + integral + derivative)).clamp(0.0, 1.0);
    }
}
