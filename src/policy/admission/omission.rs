//! Omission: decides which parts of an admitted query are not requested.

use super::ramps::{LIGHT_PART_ADMISSION, TOP_PRIORITY_ADMISSION};
use super::wait_estimate::PartWait;
use crate::interface::{Class, Nanos};
use crate::queries::{Part, Query, WEIGHT_TOLERANCE};

/// Weight below which a part is light, as a share of an even weight (1 divided by the number of
/// parts). A light part costs as much as others and contributes little.
const LIGHT_PART_SHARE: f64 = 0.6;

/// Omits light parts beyond the admitted share, then parts that would be late. `waits` is sorted,
/// the longest first.
pub fn omit_parts(
    query: &mut Query,
    waits: &[PartWait],
    class: &Class,
    wait_share: f64,
    admitted_share: f64,
    now: Nanos,
) {
    let admitted = admitted_share.min(LIGHT_PART_ADMISSION.at(wait_share));
    let time_left = query.respond_by.saturating_sub(now) as f64;
    let parts = &mut query.parts;
    parts.sort_by(|a, b| b.weight.total_cmp(&a.weight));
    omit_light_parts(parts, class.min_share, admitted);
    if class.allows_partial() {
        let late_wait = time_left * TOP_PRIORITY_ADMISSION.from;
        omit_late_parts(parts, waits, class.min_share, late_wait);
    }
}

/// Omits light parts, the lightest first, as long as the weight left is at least the minimum share
/// plus the admitted share of the weight above it. `parts` is sorted, the heaviest first.
fn omit_light_parts(parts: &mut [Part], min_share: f64, admitted: f64) {
    let max_light_weight = LIGHT_PART_SHARE / parts.len().max(1) as f64;
    let wanted_weight = min_share + (1.0 - min_share) * admitted;
    let mut weight_left: f64 = parts.iter().map(|part| part.weight).sum();
    for part in parts
        .iter_mut()
        .rev()
        .filter(|part| part.weight < max_light_weight)
    {
        weight_left -= part.weight;
        part.requested = weight_left < wanted_weight;
    }
}

/// Omits parts whose wait is at least `late_wait`, in ns, the longest wait first, up to half of the
/// weight that may be missing. They would be late, and take capacity from queries that need all of
/// their parts.
fn omit_late_parts(parts: &mut [Part], waits: &[PartWait], min_share: f64, late_wait: f64) {
    let wanted_weight = (1.0 + min_share) / 2.0;
    let requested = parts.iter().filter(|part| part.requested);
    let mut weight_left: f64 = requested.map(|part| part.weight).sum();
    for part_wait in waits.iter().filter(|part_wait| part_wait.wait >= late_wait) {
        let mut requested = parts.iter_mut().filter(|part| part.requested);
        let Some(part) = requested.find(|part| part.id == part_wait.part) else {
            continue;
        };
        if weight_left - part.weight + WEIGHT_TOLERANCE >= wanted_weight {
            weight_left -= part.weight;
            part.requested = false;
        }
    }
}
