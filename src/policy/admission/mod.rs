//! Admission: which queries are rejected, and which parts an admitted query does without.

mod controller;

pub use controller::AdmissionController;

use super::Context;
use crate::interface::{Class, PartId, TenantId};
use crate::queries::{Query, WEIGHT_TOLERANCE};
use crate::stats::{FallingRamp, RecentValues, TokenBucket};

/// How many recent low-priority queries the next one is ranked among.
const RANKED_QUERIES: usize = 64;
/// The admitted share of low-priority queries, by the share of their time that they are expected to wait.
const LOW_PRIORITY: FallingRamp = FallingRamp { from: 0.4, to: 1.1 };
/// The same for light parts: earlier, since leaving them out costs the least.
pub const LIGHT_PARTS: FallingRamp = FallingRamp { from: 0.2, to: 0.7 };
/// The same for the highest priority: from where it would be late, since an estimate errs both ways.
const TOP_PRIORITY: FallingRamp = FallingRamp { from: 0.8, to: 1.2 };
/// A part is light below this share of an even weight: it costs as much as others and contributes little.
const LIGHT_PART: f64 = 0.6;
/// The largest share of a query's time that an estimate without observations may take.
const MAX_GUESSED_SHARE: f64 = 0.125;

/// The expected wait of a part, in ns, and the part's weight.
pub struct PartWait {
    pub part: PartId,
    pub weight: f64,
    pub wait: f64,
}

/// The state of admission: a token bucket for each tenant, and the priorities of recent queries.
#[derive(Debug, Default)]
pub struct Admission {
    quotas: Vec<TokenBucket>,
    recent_priorities: RecentValues,
}

impl Admission {
    pub fn apply_settings(&mut self, context: &Context) {
        self.quotas.resize(context.settings.tenants.len(), TokenBucket::new(1.0, context.now));
    }

    /// Takes a token for a query: `true` if it exceeds this instance's even share of its tenant's quota.
    pub fn over_quota(&mut self, tenant: TenantId, context: &Context) -> bool {
        let at = tenant.0 as usize;
        let Some(quota) = context.settings.tenants.get(at).and_then(|t| t.quota) else { return false };
        let rate = quota / f64::from(context.settings.coordinators.max(1));
        !self.quotas[at].try_take(context.now, rate, (2.0 * rate).max(2.0))
    }

    /// Rejects low-priority queries beyond the admitted share, the lowest priority first.
    pub fn rejects(&mut self, query: &Query, wait_share: f64, admitted: f64, context: &Context) -> bool {
        let (priority, draw) = (query.priority, query.admission_draw);
        let of_class = context.settings.reduction.admitted_shares.get(usize::from(query.class.0));
        let of_class = of_class.copied().unwrap_or(1.0);
        if priority >= context.settings.max_priority_weight() {
            // Rejected only when all would be late: serving some in time is better than serving none.
            return draw >= TOP_PRIORITY.at(wait_share).min(of_class);
        }
        let rank = self.recent_priorities.rank(priority, draw);
        self.recent_priorities.push(priority, RANKED_QUERIES);
        let admitted = admitted.min(LOW_PRIORITY.at(wait_share));
        rank < 1.0 - admitted || priority <= 0.0 || draw < 1.0 - of_class
    }
}

/// The share of a query's time that it is expected to wait, by the waits of its parts, the longest first.
/// The controller needs a window to detect overload, this estimate detects it at once. One slow answer can
/// raise it for a shard; that effect decays.
pub fn wait_share(query: &Query, waits: &[PartWait], context: &Context) -> f64 {
    let mut spare = 1.0 - context.settings.class(query.class).min_share + WEIGHT_TOLERANCE;
    let needed = waits.iter().find(|part| {
        spare -= part.weight;
        spare <= 0.0
    });
    let time = query.respond_by.saturating_sub(context.now) as f64;
    // A guess alone rejects nothing: if all queries were rejected, no answer could ever correct it.
    let fair = |wait: f64, seen: bool| if seen { wait } else { wait.min(time * MAX_GUESSED_SHARE) };
    let latency = &context.fleet.latency;
    let longest = needed.map_or(0.0, |part| part.wait);
    let wait = fair(longest, longest > latency.mean() || latency.any_observed());
    wait.max(fair(latency.work(query.class), latency.observed(query.class))) / time.max(1.0)
}

/// Omits light parts beyond the admitted share, down to the floor; then parts with a long expected wait, the
/// longest first, down to half of the weight that may be missing: they would be late, and take capacity from
/// queries that need all of their parts.
pub fn omit_parts(query: &mut Query, waits: &[PartWait], class: &Class, admitted: f64, context: &Context) {
    let (floor, parts) = (class.min_share, &mut query.parts);
    parts.sort_by(|a, b| b.weight.total_cmp(&a.weight));
    let light = LIGHT_PART / parts.len().max(1) as f64;
    let keep = floor + (1.0 - floor) * admitted;
    let mut left: f64 = parts.iter().map(|part| part.weight).sum();
    for part in parts.iter_mut().rev().filter(|part| part.weight < light) {
        left -= part.weight;
        part.requested = left < keep;
    }
    let late = query.respond_by.saturating_sub(context.now) as f64 * TOP_PRIORITY.from;
    let mut left: f64 = parts.iter().filter(|part| part.requested).map(|part| part.weight).sum();
    for wait in waits.iter().filter(|part| class.allows_partial() && part.wait >= late) {
        let part = parts.iter_mut().find(|part| part.id == wait.part && part.requested);
        if let Some(part) = part.filter(|part| left - part.weight + WEIGHT_TOLERANCE >= (1.0 + floor) / 2.0) {
            left -= part.weight;
            part.requested = false;
        }
    }
}
