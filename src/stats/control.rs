//! Primitives of control: a PID controller and a ramp.

use crate::interface::Nanos;

/// The gains of a PID controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PidGains {
    /// Of the error's change.
    pub proportional: f64,
    /// Of the error, per second.
    pub integral: f64,
    /// Of the error's second difference.
    pub derivative: f64,
}

/// The last errors of a PID controller in velocity form, which gives the change of its output.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct VelocityPid {
    last_error: f64,
    error_before_last: f64,
}

impl VelocityPid {
    /// Takes the error of one period, at most `max_error` in size, and gives the change of the output.
    pub fn step(&mut self, gains: PidGains, error: f64, max_error: f64, period: Nanos) -> f64 {
        let change = (error - self.last_error) / max_error;
        let second_difference = error - 2.0 * self.last_error + self.error_before_last;
        (self.last_error, self.error_before_last) = (error, self.last_error);
        let proportional = gains.proportional * change;
        let integral = gains.integral * (error * period as f64 / 1e9);
        let derivative = gains.derivative * second_difference / max_error;
        proportional + integral + derivative
    }
}

/// A ramp that falls from 1 at `from` to 0 at `to`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FallingRamp {
    /// Up to here it is 1.
    pub from: f64,
    /// From here on it is 0.
    pub to: f64,
}

impl FallingRamp {
    /// The ramp at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        ((self.to - x) / (self.to - self.from)).clamp(0.0, 1.0)
    }
}
