//! Which queries are turned away: quotas, worth, and what they would wait for.

use super::*;

/// Low-worth queries remembered to tell the least worth of them: enough for a rank.
const RANKED: usize = 64;
/// Low-worth queries begin to be refused when their wait takes this share of the time they have.
const LOW_CROWD: (f64, f64) = (0.4, 1.1);
/// The same for light parts: earlier, since leaving them out costs the least.
pub(super) const LIGHT_CROWD: (f64, f64) = (0.2, 0.7);
/// The same for the highest worth: from where it would be late, since an estimate errs both ways.
pub(super) const TOP_CROWD: (f64, f64) = (0.8, 1.2);

/// Share of a query's time that a wait takes at most while it is only guessed.
const GUESS_SHARE: f64 = 0.125;

/// How well a query may still fare, 0 to 1: from 1 at the first share of its time down to 0 at the second.
pub(super) fn outlook(crowd: f64, (from, to): (f64, f64)) -> f64 {
    ((to - crowd) / (to - from)).clamp(0.0, 1.0)
}

impl DecisionPolicy {
    /// A token bucket a tenant, filled with this instance's even share of the quota.
    pub(super) fn over_quota(&mut self, tenant: TenantId) -> bool {
        let at = tenant.0 as usize;
        let Some(quota) = self.settings.tenants.get(at).and_then(|t| t.quota) else { return false };
        let rate = quota / f64::from(self.settings.coordinators.max(1));
        !self.quotas[at].try_take(self.now, rate, (2.0 * rate).max(2.0))
    }

    /// Low-worth queries beyond the admitted share, the least worth first.
    pub(super) fn turned_away(&mut self, seq: u64, crowd: f64) -> bool {
        let Some(&Query { worth, luck, class, .. }) = self.queries.get(&seq) else { return true };
        let admit = self.settings.reduction.admitted_shares.get(usize::from(class.0)).map_or(1.0, |a| *a);
        if worth >= self.settings.max_priority_weight() {
            // Only when all of it would be late: then serving some beats serving none.
            return luck >= outlook(crowd, TOP_CROWD).min(admit);
        }
        let rank = self.ranks.rank(worth, luck);
        self.ranks.push(worth, RANKED);
        rank < 1.0 - self.controller.admitted_share().min(outlook(crowd, LOW_CROWD))
            || worth <= 0.0
            || luck < 1.0 - admit
    }

    /// The wait to expect for each part of a query, with its weight, the longest first.
    pub(super) fn waits(&self, q: &Query) -> Vec<(f64, f64, PartId)> {
        let wait = |p: &Part| self.pick(p, &[]).map_or(f64::INFINITY, |h| h.1);
        let mut waits: Vec<_> = q.parts.iter().map(|p| (wait(p), p.weight, p.id)).collect();
        waits.sort_by(|a, b| b.0.total_cmp(&a.0));
        waits
    }

    /// Share of a query's time that its replicas take now, for `outlook`: the controller needs a window to
    /// see a jam, this sees it at once. Might hurt where one odd answer makes a shard look slow; that fades.
    pub(super) fn crowd(&self, q: &Query, waits: &[(f64, f64, PartId)]) -> f64 {
        let c = self.settings.class(q.class);
        let mut spare = 1.0 - c.min_share + 1e-6;
        let needed = waits.iter().find(|w| {
            spare -= w.1;
            spare <= 0.0
        });
        let room = q.due.saturating_sub(self.now) as f64;
        // A guess alone refuses nobody: where all are refused nothing is ever seen that could mend it.
        let fair = |figure: f64, seen: bool| if seen { figure } else { figure.min(room * GUESS_SHARE) };
        let longest = needed.map_or(0.0, |w| w.0);
        let wait = fair(longest, longest > self.latency.mean() || self.latency.any_observed());
        wait.max(fair(self.latency.work(q.class), self.latency.observed(q.class))) / room.max(1.0)
    }
}
