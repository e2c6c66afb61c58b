//! The slow-start guard: how much work a replica that has just started is sent while it warms up.

use crate::interface::{Nanos, Settings, SlowStartRule};
use crate::stats::{exponential, TimeWindow};

/// Cores assumed of a replica that warms up: the fewest it can have, less a fifth since work varies.
const ASSUMED_CORES: f64 = 0.8;
/// Standard deviations by which parts sent at drawn times stay under the rule.
const SAFETY_DEVIATIONS: f64 = 2.5;

/// What one replica was sent since it started.
#[derive(Debug, Default)]
pub(super) struct SlowStartGuard {
    /// When it is taken to have started; `None`: long ago.
    started_at: Option<Nanos>,
    /// Work sent lately, in ns.
    sent: TimeWindow<f64>,
    /// The drawn gap before the next part, in mean gaps.
    drawn_gap: f64,
}

impl SlowStartGuard {
    pub(super) fn new(drawn_gap: f64) -> Self {
        SlowStartGuard { drawn_gap, ..SlowStartGuard::default() }
    }

    /// The endpoint list tells a start; 0: long ago.
    pub(super) fn restart(&mut self, at: Nanos) {
        if at > 0 {
            self.started_at = self.started_at.max(Some(at));
        }
    }

    /// What the replica can do at a time, as a share of what it can when warm.
    pub(super) fn capacity(&self, rule: Option<SlowStartRule>, at: Nanos) -> f64 {
        let (Some(rule), Some(started_at)) = (rule, self.started_at) else { return 1.0 };
        let age = at.saturating_sub(started_at) as f64 / rule.warm_up.max(1) as f64;
        rule.initial_capacity + (1.0 - rule.initial_capacity) * age.min(1.0)
    }

    /// Rule 4: may a part of this work go there? What all coordinators may send is split evenly; where
    /// a share holds no whole part, parts go at drawn times, as far apart on average as keeps the fleet,
    /// with a margin for chance, under the rule.
    pub(super) fn admits(&self, work: f64, settings: &Settings, now: Nanos) -> bool {
        let (Some(rule), Some(started_at)) = (settings.slow_start, self.started_at) else { return true };
        if self.capacity(Some(rule), now) >= 1.0 {
            return true;
        }
        let limit = |at| {
            let capacity = self.capacity(Some(rule), at);
            rule.overload_factor * capacity * ASSUMED_CORES * rule.overload_window as f64
        };
        let coordinators = f64::from(settings.coordinators.max(1));
        let share = limit(now) / coordinators;
        if share >= work {
            return share - self.sent.sum(now, rule.overload_window) >= work;
        }
        let last = self.sent.latest().map_or(started_at, |sent| sent.max(started_at));
        let parts = limit(last.midpoint(now)) / work;
        let margin = SAFETY_DEVIATIONS;
        let safe = (((margin * margin / 4.0 + parts).sqrt() - margin / 2.0).powi(2)).min(parts);
        (now - last) as f64 / rule.overload_window as f64 * safe / coordinators >= self.drawn_gap
    }

    /// A part of this work is sent there.
    pub(super) fn record_send(
        &mut self,
        work: f64,
        rule: Option<SlowStartRule>,
        now: Nanos,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(rule) = rule {
            self.sent.expire(now, rule.overload_window);
        }
        self.sent.push(now, work);
        self.drawn_gap = exponential(rng);
    }
}
