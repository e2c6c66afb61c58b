//! Control primitives: a PID controller and a ramp.

use crate::interface::Nanos;

/// Gains of a PID controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PidGains {
    /// Gain of the error's change.
    pub proportional: f64,
    /// Gain of the error, per second.
    pub integral: f64,
    /// Gain of the error's second difference.
    pub derivative: f64,
}

/// State of a PID controller in velocity form, which computes the change of the output.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct VelocityPid {
    last_error: f64,
    error_before_last: f64,
}

impl VelocityPid {
    /// Records the error of one period, in ns, and returns the change of the output. The caller
    /// bounds the error to at most `max_error` in size.
    pub fn step(&mut self, gains: PidGains, error: f64, max_error: f64, period: Nanos) -> f64 {
        let change = (error - self.last_error) / max_error;
        let second_difference = error - 2.0 * self.last_error + self.error_before_last;
        self.error_before_last = self.last_error;
        self.last_error = error;
        let proportional = gains.proportional * change;
        let integral = gains.integral * (error * period as f64 / 1e9);
        let derivative = gains.derivative * second_difference / max_error;
        proportional + integral + derivative
    }
}

/// A ramp that falls from 1 at `from` to 0 at `to`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FallingRamp {
    /// Upper end of the range in which the ramp is 1.
    pub from: f64,
    /// Lower end of the range in which the ramp is 0.
    pub to: f64,
}

impl FallingRamp {
    /// Returns the value of the ramp at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        ((self.to - x) / (self.to - self.from)).clamp(0.0, 1.0)
    }
}
