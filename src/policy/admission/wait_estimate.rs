//! Estimate of how long a query will wait, as a share of its remaining time.

use crate::interface::{Class, Nanos, PartId, Settings};
use crate::policy::fleet::FleetLatency;
use crate::policy::replicas::{ReplicaTable, Target};
use crate::queries::{Query, WEIGHT_TOLERANCE};

/// Maximum of an estimate that is not based on observations, as a share of the query's remaining
/// time. Such an estimate must not cause a query to be rejected: if all queries were rejected, no
/// answer could ever correct it.
const MAX_UNOBSERVED_SHARE: f64 = 0.125;

/// Expected wait for one part.
pub struct PartWait {
    /// The part.
    pub part: PartId,
    /// Weight of the part.
    pub weight: f64,
    /// Wait, in ns; infinite if no replica accepts the part.
    pub wait: f64,
}

/// Returns the waits of a query's parts, the longest first.
pub fn part_waits(
    query: &Query,
    replicas: &ReplicaTable,
    settings: &Settings,
    now: Nanos,
) -> Vec<PartWait> {
    let mut waits = Vec::with_capacity(query.parts.len());
    for part in &query.parts {
        let target = Target {
            class: query.class,
            shard: part.shard,
        };
        let candidate = replicas.choose(target, &[], settings, now);
        waits.push(PartWait {
            part: part.id,
            weight: part.weight,
            wait: candidate.map_or(f64::INFINITY, |candidate| candidate.expected_wait),
        });
    }
    waits.sort_by(|a, b| b.wait.total_cmp(&a.wait));
    waits
}

/// Returns the share of its remaining time that a query is expected to wait, given the waits of its
/// parts, the longest first.
///
/// The controller needs a quality window to detect overload; this estimate detects it at once. One
/// slow answer can raise the estimate for a shard, but this effect decays.
pub fn wait_share(
    query: &Query,
    waits: &[PartWait],
    class: &Class,
    latency: &FleetLatency,
    now: Nanos,
) -> f64 {
    let time_left = query.respond_by.saturating_sub(now) as f64;
    let bounded = |wait: f64, observed: bool| {
        if observed {
            wait
        } else {
            wait.min(time_left * MAX_UNOBSERVED_SHARE)
        }
    };
    let longest = longest_needed_wait(waits, class);
    let is_observed = longest > latency.mean() || latency.is_any_observed();
    let wait = bounded(longest, is_observed);
    let work = bounded(latency.work(query.class), latency.is_observed(query.class));
    wait.max(work) / time_left.max(1.0)
}

/// Returns the longest wait among the parts that an answer cannot lack, in ns.
fn longest_needed_wait(waits: &[PartWait], class: &Class) -> f64 {
    let mut dispensable_weight = 1.0 - class.min_share + WEIGHT_TOLERANCE;
    for part in waits {
        dispensable_weight -= part.weight;
        if dispensable_weight <= 0.0 {
            return part.wait;
        }
    }
    0.0
}
