//! Slow start: limits the work that is sent to a replica while it warms up after its start.

use crate::interface::{Nanos, Settings, SlowStartRule};
use crate::stats::{exponential, safe_mean, TimeWindow};

/// Number of cores assumed of a replica that is warming up: the fewest it can have, less a fifth
/// because the work of parts varies.
const ASSUMED_CORES: f64 = 0.8;
/// Margin between the expected number of randomly spaced parts and the limit, in standard
/// deviations.
const SAFETY_DEVIATIONS: f64 = 2.5;

/// Limiter of the work that is sent to one replica after its start.
#[derive(Debug, Default)]
pub struct SlowStartLimiter {
    /// Time of the last start; `None` if it is unknown or long ago, in which case the replica
    /// counts as warm.
    started_at: Option<Nanos>,
    /// Work that was sent recently, in ns.
    sent_work: TimeWindow<f64>,
    /// Randomly drawn gap before the next part, as a multiple of the mean gap.
    drawn_gap: f64,
}

impl SlowStartLimiter {
    /// Creates the limiter of a replica of unknown start; `drawn_gap` is the gap before the first
    /// part, as a multiple of the mean gap between parts.
    pub fn new(drawn_gap: f64) -> Self {
        SlowStartLimiter {
            drawn_gap,
            ..SlowStartLimiter::default()
        }
    }

    /// Records the start time that the endpoint list reports; 0 if it is unknown or long ago.
    pub fn record_start(&mut self, at: Nanos) {
        if at > 0 {
            self.started_at = self.started_at.max(Some(at));
        }
    }

    /// Returns the current capacity of the replica, as a share of its capacity when warm.
    pub fn capacity(&self, rule: Option<SlowStartRule>, now: Nanos) -> f64 {
        match (rule, self.started_at) {
            (Some(rule), Some(started_at)) => rule.capacity(now.saturating_sub(started_at)),
            _ => 1.0,
        }
    }

    /// Returns whether a part with this work, in ns, may be sent now: the rule "slow start".
    ///
    /// The work that all coordinators together may send is split evenly among them. Where a
    /// coordinator's share is less than one part, it spaces its parts randomly. The mean gap is
    /// such that the parts of all coordinators together stay below the limit with a margin of
    /// `SAFETY_DEVIATIONS`.
    pub fn admits(&self, work: f64, settings: &Settings, now: Nanos) -> bool {
        let (Some(rule), Some(started_at)) = (settings.slow_start, self.started_at) else {
            return true;
        };
        let age = now.saturating_sub(started_at);
        if rule.capacity(age) >= 1.0 {
            return true;
        }
        let coordinators = f64::from(settings.coordinators.max(1));
        let share = window_limit(&rule, age) / coordinators;
        if share >= work {
            return share - self.sent_work.sum(now, rule.overload_window) >= work;
        }
        self.mean_gaps_since_last(work, &rule, started_at, now) / coordinators >= self.drawn_gap
    }

    /// Returns the time since the last part or the start, as a multiple of the mean gap between the
    /// parts of all coordinators.
    fn mean_gaps_since_last(
        &self,
        work: f64,
        rule: &SlowStartRule,
        started_at: Nanos,
        now: Nanos,
    ) -> f64 {
        let last_sent = self.sent_work.latest().unwrap_or(started_at);
        let last = last_sent.max(started_at);
        let mean_age = last.midpoint(now).saturating_sub(started_at);
        let parts_per_window = safe_mean(window_limit(rule, mean_age) / work, SAFETY_DEVIATIONS);
        (now - last) as f64 / rule.overload_window as f64 * parts_per_window
    }

    /// Records that a part with this work, in ns, is sent. Without a rule the work is not recorded.
    pub fn record_send(
        &mut self,
        work: f64,
        rule: Option<SlowStartRule>,
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) {
        if let Some(rule) = rule {
            self.sent_work.expire(now, rule.overload_window);
            self.sent_work.push(now, work);
        }
        self.drawn_gap = exponential(rng);
    }
}

/// Returns the work, in ns, that overloads a replica of this age if it is sent within one window.
fn window_limit(rule: &SlowStartRule, age: Nanos) -> f64 {
    rule.overload_factor * rule.capacity(age) * ASSUMED_CORES * rule.overload_window as f64
}

#[cfg(test)]
mod tests;
