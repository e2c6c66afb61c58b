//! The rule "honest completeness": the share of its weight from which a query may be answered, and
//! whether the answer is complete or partial.

use crate::interface::Class;
use crate::queries::{Query, Stage, WEIGHT_TOLERANCE};

/// Completeness of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completeness {
    /// Nothing that the class requires is missing.
    Complete,
    /// Parts are missing, within what the class allows.
    Partial,
}

/// Returns the completeness of an answer given now, or `None` if no answer is allowed yet.
pub fn completeness(query: &Query, class: &Class) -> Option<Completeness> {
    if !query.all_answered() && !may_lack_parts(query, class) {
        return None;
    }
    let first_was_complete = query.first_answer.is_none_or(|first| first.complete);
    if first_was_complete && has_required_weight(query, class) {
        Some(Completeness::Complete)
    } else {
        Some(Completeness::Partial)
    }
}

/// Returns whether the current step may be answered although parts are missing.
fn may_lack_parts(query: &Query, class: &Class) -> bool {
    let weight = query.answered_weight() + WEIGHT_TOLERANCE;
    if query.stage == Stage::FollowUp {
        class.allows_partial() && weight >= class.min_share
    } else {
        weight >= class.min_share.min(class.required_share)
    }
}

/// Returns whether the answer from the current step is complete, regardless of earlier steps. If
/// all parts are answered it is complete, even if the sum of their weights is rounded to below 1.
fn has_required_weight(query: &Query, class: &Class) -> bool {
    let weight = query.answered_weight() + WEIGHT_TOLERANCE;
    let is_first_step = query.stage != Stage::FollowUp;
    query.all_answered() || (is_first_step && weight >= class.required_share)
}
