//! What may go to a replica that has just started.

use super::*;

/// Cores assumed of a cold replica: the fewest it can have, less a fifth since work varies about its mean.
const COLD_CORES: f64 = 0.8;
/// Deviations by which what chance sends to a cold replica stays under the rule.
const CHANCE: f64 = 2.5;

impl DecisionPolicy {
    /// What a replica can do at a time, as a share of what it can when warm.
    pub(super) fn warmth(&self, r: &Replica, at: Nanos) -> f64 {
        let (Some(rule), Some(started)) = (self.settings.slow_start, r.started) else { return 1.0 };
        let age = at.saturating_sub(started) as f64 / rule.warm_up.max(1) as f64;
        rule.initial_capacity + (1.0 - rule.initial_capacity) * age.min(1.0)
    }

    /// Rule 4: may a part of this class go to a replica that just started? What all may send is split evenly;
    /// where a share holds no whole part, chance spends it: parts go at drawn times, as far apart on average
    /// as keeps the whole fleet's, with a margin for chance, under the rule.
    pub(super) fn cold_room(&self, r: &Replica, class: ClassId) -> bool {
        let (Some(rule), Some(started)) = (self.settings.slow_start, r.started) else { return true };
        if self.warmth(r, self.now) >= 1.0 {
            return true;
        }
        let all = |at| rule.overload_factor * self.warmth(r, at) * COLD_CORES * rule.overload_window as f64;
        let cost = self.cost(class);
        let (window, others) = (rule.overload_window, f64::from(self.settings.coordinators.max(1)));
        let share = all(self.now) / others;
        if share >= cost {
            return share - r.cold_sent.sum(self.now, window) >= cost;
        }
        let last = r.cold_sent.latest().map_or(started, |sent| sent.max(started));
        let fits = all(last.midpoint(self.now)) / cost;
        let safe = (((CHANCE * CHANCE / 4.0 + fits).sqrt() - CHANCE / 2.0).powi(2)).min(fits);
        (self.now - last) as f64 / window as f64 * safe / others >= r.cold_draw
    }

    /// Work of a part with its call, as far as seen.
    pub(super) fn cost(&self, class: ClassId) -> f64 {
        self.latency.work(class) + self.settings.call_overhead as f64
    }
}
