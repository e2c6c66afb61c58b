//! Answers: decides when a query is answered, rejected or failed, and whether its answer is
//! complete.

mod completeness;
mod resolution;

#[cfg(test)]
mod tests;

pub use resolution::{due_resolution, Resolution};

use crate::interface::{Action, Effect, Nanos, Settings};
use crate::queries::{FirstAnswer, Part, Query, Stage};
use completeness::{completeness, Completeness};

/// Share of the longest `Retry-After` over which the waits of rejected clients are spread.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Answers, rejects or fails a query, and returns the actions that do so. Returns no actions if
/// the query is closed, or if an answer is not allowed yet.
///
/// Queries are answered, rejected and failed only here, which enforces the rule "one final answer".
pub fn resolve(
    query: &mut Query,
    resolution: Resolution,
    settings: &Settings,
    rng: &mut fastrand::Rng,
    now: Nanos,
) -> Vec<Action> {
    if !query.is_open() {
        return Vec::new();
    }
    match resolution {
        Resolution::Answer => answer(query, settings, now),
        Resolution::RejectOrFail => reject_or_fail(query, settings, rng),
    }
}

/// Answers a query, if that is allowed. After the answer from the first step, the query continues
/// with the follow-up step if its class has one, and is closed otherwise.
fn answer(query: &mut Query, settings: &Settings, now: Nanos) -> Vec<Action> {
    let Some(completeness) = completeness(query, settings.class(query.class)) else {
        return Vec::new();
    };
    let complete = completeness == Completeness::Complete;
    let mut actions = vec![Action::Answer {
        query: query.id,
        complete,
    }];
    let follow_up_begins = begins_follow_up(query, settings);
    let first_answer = FirstAnswer { at: now, complete };
    query.first_answer.get_or_insert(first_answer);
    if follow_up_begins {
        query.stage = Stage::FollowUp;
    } else {
        actions.extend(close(query, settings));
    }
    actions
}

/// Rejects a query if the client may safely retry it, and fails it otherwise.
fn reject_or_fail(query: &mut Query, settings: &Settings, rng: &mut fastrand::Rng) -> Vec<Action> {
    let final_action = if may_have_had_effect(query, settings) {
        Action::Fail(query.id)
    } else {
        Action::Reject {
            query: query.id,
            retry_after: draw_retry_after(settings, rng),
        }
    };
    let mut actions = vec![final_action];
    actions.extend(close(query, settings));
    actions
}

/// Closes a query, and returns the cancellations of its attempts in flight.
fn close(query: &mut Query, settings: &Settings) -> Vec<Action> {
    query.stage = Stage::Closed;
    cancellations(query, settings).collect()
}

/// Returns whether the follow-up step begins once the query is answered now.
fn begins_follow_up(query: &Query, settings: &Settings) -> bool {
    let has_follow_up = settings.class(query.class).follow_up_parts > 0;
    query.first_answer.is_none() && has_follow_up
}

/// Returns whether a retry by the client might repeat an effect of the query.
fn may_have_had_effect(query: &Query, settings: &Settings) -> bool {
    let has_effect = settings.class(query.class).effect != Effect::Idempotent;
    has_effect && query.parts.iter().any(Part::may_have_run)
}

/// Draws the `Retry-After` for a rejected client; `None` if the settings give clients none.
fn draw_retry_after(settings: &Settings, rng: &mut fastrand::Rng) -> Option<Nanos> {
    let factor = settings.reduction.retry_after_factor.max(1.0);
    let shortened_by = RETRY_AFTER_JITTER * rng.f64() / factor;
    let longest = settings.max_retry_after? as f64;
    Some((longest * (1.0 - shortened_by)) as Nanos)
}

/// Returns the cancellations of a query's attempts in flight. In a sampled query, attempts at
/// unanswered parts of the first step are not cancelled, so that the quality of its answer can be
/// measured.
fn cancellations<'a>(
    query: &'a Query,
    settings: &'a Settings,
) -> impl Iterator<Item = Action> + 'a {
    let is_measured = query.sampled && !settings.reduction.skip_late_samples;
    let is_left_running = move |part: &Part| is_measured && !part.follow_up && !part.is_answered();
    query
        .parts
        .iter()
        .filter(move |part| settings.cancellation && !is_left_running(part))
        .flat_map(Part::cancellations)
}
