//! Slow start: how much work a replica that has just started is sent while it warms up.

use crate::interface::{Nanos, Settings, SlowStartRule};
use crate::stats::{exponential, safe_mean, TimeWindow};

/// Cores assumed of a warming replica: the fewest it can have, less a fifth since work varies.
const ASSUMED_CORES: f64 = 0.8;
/// Standard deviations by which randomly spaced parts stay below the limit.
const SAFETY_DEVIATIONS: f64 = 2.5;

/// Start of one replica, and the work it was sent lately.
#[derive(Debug, Default)]
pub struct SlowStartLimiter {
    /// Time of the last start; `None` if it is long past.
    started_at: Option<Nanos>,
    /// Work sent, in ns.
    sent_work: TimeWindow<f64>,
    /// Randomly drawn gap before the next part, in mean gaps.
    drawn_gap: f64,
}

impl SlowStartLimiter {
    /// Creates the limiter of a replica of unknown start; `drawn_gap` in mean gaps between parts.
    pub fn new(drawn_gap: f64) -> Self {
        SlowStartLimiter {
            drawn_gap,
            ..SlowStartLimiter::default()
        }
    }

    /// Records a start that the endpoint list reports; 0 if it is long past.
    pub fn record_start(&mut self, at: Nanos) {
        if at > 0 {
            self.started_at = self.started_at.max(Some(at));
        }
    }

    /// Returns the present capacity of the replica, as a share of its capacity when warm.
    pub fn capacity(&self, rule: Option<SlowStartRule>, now: Nanos) -> f64 {
        match (rule, self.started_at) {
            (Some(rule), Some(started_at)) => rule.capacity(now.saturating_sub(started_at)),
            _ => 1.0,
        }
    }

    /// Returns whether a part of this work, in ns, may be sent now: the rule "slow start".
    ///
    /// The work that all coordinators together may send is split evenly among them. Where a share
    /// is less than one part, each coordinator spaces its parts randomly, on average so far apart
    /// that all together stay below the limit with a margin for chance.
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

    /// Returns the time since the last part or the start, in mean gaps between the parts of all
    /// coordinators.
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

    /// Records that a part of this work, in ns, is sent, which counts where there is a rule.
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

/// Returns the work, in ns, that overloads a replica of this age if sent within one window.
fn window_limit(rule: &SlowStartRule, age: Nanos) -> f64 {
    rule.overload_factor * rule.capacity(age) * ASSUMED_CORES * rule.overload_window as f64
}

#[cfg(test)]
mod tests;
