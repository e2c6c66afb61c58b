//! Which queries are turned away: quotas, worth, and what they would wait for.

use super::*;

/// Low-worth queries remembered to tell the least worth of them: enough for a rank.
const RANKED: usize = 64;
/// Low-worth queries begin to be refused when their wait takes this share of the time they have.
const LOW_CROWD: (f64, f64) = (0.4, 1.1);
/// The same for light parts: earlier, since leaving them out costs the least.
const LIGHT_CROWD: (f64, f64) = (0.2, 0.7);
/// The same for the highest worth: from where it would be late, since an estimate errs both ways.
const TOP_CROWD: (f64, f64) = (0.8, 1.2);

/// A part is light under this share of an even weight: it costs as much as any and brings little.
const LIGHT_PART: f64 = 0.6;
/// Share of a query's time that a wait takes at most while it is only guessed.
const GUESS_SHARE: f64 = 0.125;

/// How well a query may still fare, 0 to 1: from 1 at the first share of its time down to 0 at the second.
fn outlook(crowd: f64, (from, to): (f64, f64)) -> f64 {
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

    /// Admits a query, without the parts that it had better do without; `false`: it is to be rejected.
    pub(super) fn admit(&mut self, number: QueryNo, class: &Class) -> bool {
        let Some(query) = self.queries.get(number) else { return false };
        let waits = self.waits(query);
        let crowd = self.crowd(query, &waits);
        let late = query.respond_by.saturating_sub(self.now) as f64 * TOP_CROWD.0;
        if self.turned_away(number, crowd) {
            return false;
        }
        let admitted = self.controller.admitted_share().min(outlook(crowd, LIGHT_CROWD));
        let long = waits.iter().filter(|w| class.allows_partial() && w.0 >= late).map(|w| w.2);
        if let Some(query) = self.queries.get_mut(number) {
            query.stage = Stage::FirstStep;
            trim(query, class.min_share, admitted, long);
        }
        self.queries.reindex(number);
        true
    }

    /// Low-priority queries beyond the admitted share, the lowest priority first.
    fn turned_away(&mut self, number: QueryNo, crowd: f64) -> bool {
        let Some(&Query { priority, admission_draw, class, .. }) = self.queries.get(number) else {
            return true;
        };
        let admit = self.settings.reduction.admitted_shares.get(usize::from(class.0)).map_or(1.0, |a| *a);
        if priority >= self.settings.max_priority_weight() {
            // Only when all of it would be late: then serving some beats serving none.
            return admission_draw >= outlook(crowd, TOP_CROWD).min(admit);
        }
        let rank = self.ranks.rank(priority, admission_draw);
        self.ranks.push(priority, RANKED);
        rank < 1.0 - self.controller.admitted_share().min(outlook(crowd, LOW_CROWD))
            || priority <= 0.0
            || admission_draw < 1.0 - admit
    }

    /// The wait to expect for each part of a query, with its weight, the longest first.
    fn waits(&self, query: &Query) -> Vec<(f64, f64, PartId)> {
        let wait = |p: &Part| self.pick(query.class, p.shard, &[]).map_or(f64::INFINITY, |h| h.1);
        let mut waits: Vec<_> = query.parts.iter().map(|p| (wait(p), p.weight, p.id)).collect();
        waits.sort_by(|a, b| b.0.total_cmp(&a.0));
        waits
    }

    /// Share of a query's time that its replicas take now, for `outlook`: the controller needs a window to
    /// see a jam, this sees it at once. Might hurt where one odd answer makes a shard look slow; that fades.
    fn crowd(&self, query: &Query, waits: &[(f64, f64, PartId)]) -> f64 {
        let mut spare = 1.0 - self.settings.class(query.class).min_share + 1e-6;
        let needed = waits.iter().find(|w| {
            spare -= w.1;
            spare <= 0.0
        });
        let room = query.respond_by.saturating_sub(self.now) as f64;
        // A guess alone refuses nobody: where all are refused nothing is ever seen that could mend it.
        let fair = |figure: f64, seen: bool| if seen { figure } else { figure.min(room * GUESS_SHARE) };
        let longest = needed.map_or(0.0, |w| w.0);
        let wait = fair(longest, longest > self.latency.mean() || self.latency.any_observed());
        wait.max(fair(self.latency.work(query.class), self.latency.observed(query.class))) / room.max(1.0)
    }
}

/// Beyond the admitted share parts with far less than an even weight are not asked, down to the floor.
/// Nor are those that are to wait long, the longest first, down to half of what may be missing: they
/// would be late, and take the room of queries that can't spare theirs.
fn trim(query: &mut Query, floor: f64, admitted: f64, long: impl Iterator<Item = PartId>) {
    let parts = &mut query.parts;
    parts.sort_by(|a, b| b.weight.total_cmp(&a.weight));
    let light = LIGHT_PART / parts.len().max(1) as f64;
    let keep = floor + (1.0 - floor) * admitted;
    let mut left: f64 = parts.iter().map(|p| p.weight).sum();
    for p in parts.iter_mut().rev().filter(|p| p.weight < light) {
        left -= p.weight;
        p.requested = left < keep;
    }
    let mut left: f64 = parts.iter().filter(|p| p.requested).map(|p| p.weight).sum();
    for id in long {
        let part = parts.iter_mut().find(|p| p.id == id && p.requested);
        if let Some(p) = part.filter(|p| left - p.weight + 1e-6 >= (1.0 + floor) / 2.0) {
            (left, p.requested) = (left - p.weight, false);
        }
    }
}
