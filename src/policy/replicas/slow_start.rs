//! The slow-start guard: how much work a replica that has just started is sent while it warms up.

use super::Context;
use crate::interface::Nanos;
use crate::stats::{exponential, safe_mean, TimeWindow};

/// The cores assumed of a warming replica: the fewest it can have, less a fifth since work varies.
const ASSUMED_CORES: f64 = 0.8;
/// Standard deviations by which randomly spaced parts stay below the limit.
const SAFETY_DEVIATIONS: f64 = 2.5;

/// The start of one replica, and the work it was sent lately.
#[derive(Debug, Default)]
pub struct SlowStartGuard {
    /// When it started; `None`: long ago.
    started_at: Option<Nanos>,
    /// The work sent, in ns.
    sent: TimeWindow<f64>,
    /// The randomly drawn gap before the next part, in mean gaps.
    drawn_gap: f64,
}

impl SlowStartGuard {
    pub fn new(drawn_gap: f64) -> Self {
        SlowStartGuard { drawn_gap, ..SlowStartGuard::default() }
    }

    /// The endpoint list reports a start; 0: long ago.
    pub fn restart(&mut self, at: Nanos) {
        if at > 0 {
            self.started_at = self.started_at.max(Some(at));
        }
    }

    /// The replica's present capacity, as a share of that when warm.
    pub fn capacity(&self, context: &Context) -> f64 {
        let rule_and_start = context.settings.slow_start.zip(self.started_at);
        rule_and_start.map_or(1.0, |(rule, start)| rule.capacity(context.now.saturating_sub(start)))
    }

    /// Rule 4: a part of this work may be sent now. What all coordinators may send is split evenly; if a
    /// share is less than one part, parts are spaced randomly, on average so far apart that all coordinators
    /// together stay below the limit with a margin for chance.
    pub fn admits(&self, work: f64, context: &Context) -> bool {
        let Some((rule, started_at)) = context.settings.slow_start.zip(self.started_at) else { return true };
        let capacity = |at: Nanos| rule.capacity(at.saturating_sub(started_at));
        if capacity(context.now) >= 1.0 {
            return true;
        }
        let limit = |at| rule.overload_factor * capacity(at) * ASSUMED_CORES * rule.overload_window as f64;
        let coordinators = f64::from(context.settings.coordinators.max(1));
        let share = limit(context.now) / coordinators;
        if share >= work {
            return share - self.sent.sum(context.now, rule.overload_window) >= work;
        }
        let last = self.sent.latest().map_or(started_at, |sent| sent.max(started_at));
        let parts = safe_mean(limit(last.midpoint(context.now)) / work, SAFETY_DEVIATIONS);
        (context.now - last) as f64 / rule.overload_window as f64 * parts / coordinators >= self.drawn_gap
    }

    /// Records that a part of this work is sent.
    pub fn record_send(&mut self, work: f64, context: &mut Context) {
        if let Some(rule) = context.settings.slow_start {
            self.sent.expire(context.now, rule.overload_window);
        }
        self.sent.push(context.now, work);
        self.drawn_gap = exponential(&mut context.rng);
    }
}
