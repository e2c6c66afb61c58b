//! Decides whether it is time to answer a query, or to reject or fail it.

use crate::interface::{Class, Nanos, Settings};
use crate::policy::attempts::may_attempt_again;
use crate::queries::{Part, Query, Stage, WEIGHT_TOLERANCE};

/// The way a query ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The query is answered.
    Answer,
    /// The query is rejected if the client may safely retry it, and fails otherwise.
    RejectOrFail,
}

/// Returns how a query is resolved now; `None` if the query remains open.
pub fn due_resolution(query: &Query, settings: &Settings, now: Nanos) -> Option<Resolution> {
    let class = settings.class(query.class);
    if is_answer_due(query, class, settings, now) {
        Some(Resolution::Answer)
    } else if is_rejection_or_failure_due(query, class, now) {
        Some(Resolution::RejectOrFail)
    } else {
        None
    }
}

/// Returns whether an answer is due. This is the case when all requested parts are answered, when
/// the first step has its required share, or when it is time for a partial answer, if the class
/// allows one and its minimum share is answered.
fn is_answer_due(query: &Query, class: &Class, settings: &Settings, now: Nanos) -> bool {
    let weight = query.answered_weight();
    let has_minimum = weight > 0.0 && weight >= class.min_share;
    let partial_is_due = class.allows_partial() && now >= partial_answer_time(query, settings);
    query.all_requested_answered()
        || has_required_share(query, class, weight)
        || (partial_is_due && has_minimum)
}

/// Returns whether the first step has its required share of the weight, where that is less than all
/// of it.
fn has_required_share(query: &Query, class: &Class, weight: f64) -> bool {
    let is_first_step = query.stage == Stage::FirstStep;
    is_first_step && class.required_share < 1.0 && weight >= class.required_share
}

/// Returns the time from which a partial answer is given.
fn partial_answer_time(query: &Query, settings: &Settings) -> Nanos {
    let time = query.respond_by.saturating_sub(query.received_at) as f64;
    query.received_at + (settings.reduction.answer_after * time) as Nanos
}

/// Returns whether the query is to be rejected or failed, since an answer is no longer possible or
/// would have no weight.
fn is_rejection_or_failure_due(query: &Query, class: &Class, now: Nanos) -> bool {
    let is_past_deadline = now >= query.deadline;
    let is_late_without_weight = class.late_weight <= 0.0 && now >= query.respond_by;
    is_past_deadline || is_late_without_weight || is_unanswerable(query, class)
}

/// Returns whether so many parts are lost that the query can no longer be answered.
fn is_unanswerable(query: &Query, class: &Class) -> bool {
    let lost_weight: f64 = query
        .step_parts()
        .filter(|part| is_lost(part, class))
        .map(|part| part.weight)
        .sum();
    if class.allows_partial() {
        1.0 - lost_weight < class.min_share - WEIGHT_TOLERANCE
    } else {
        lost_weight > 0.0
    }
}

/// Returns whether a part has no answer and can no longer get one.
fn is_lost(part: &Part, class: &Class) -> bool {
    !part.is_answered() && !part.is_in_flight() && !may_attempt_again(part, class)
}
