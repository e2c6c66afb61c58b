//! What may be answered: when a query ends, from how much it is answered, and its final answer.

mod completeness;
mod ending;

pub use ending::{due_ending, Ending};

use crate::interface::{Action, Effect, Nanos, Settings};
use crate::queries::{FirstAnswer, Part, Query, Stage};
use completeness::{completeness, Completeness};

/// Share of the longest `Retry-After` over which the waits of rejected clients are spread.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Answers a query or gives it up, and returns the actions that do so: the only place where queries
/// are answered, rejected or failed, and so where the rule "one final answer" is enforced. An
/// answer that is not allowed yet does nothing.
pub fn finish(
    query: &mut Query,
    ending: Ending,
    settings: &Settings,
    rng: &mut fastrand::Rng,
    now: Nanos,
) -> Vec<Action> {
    if !query.is_open() {
        return Vec::new();
    }
    let mut actions = Vec::new();
    match ending {
        Ending::Answer => {
            let Some(completeness) = completeness(query, settings.class(query.class)) else {
                return actions;
            };
            let complete = completeness == Completeness::Complete;
            actions.push(Action::Answer {
                query: query.id,
                complete,
            });
            if begins_follow_up(query, settings) {
                query.first_answer = Some(FirstAnswer { at: now, complete });
                query.stage = Stage::FollowUp;
                return actions;
            }
            query
                .first_answer
                .get_or_insert(FirstAnswer { at: now, complete });
        }
        Ending::GiveUp if may_have_had_effect(query, settings) => {
            actions.push(Action::Fail(query.id));
        }
        Ending::GiveUp => actions.push(Action::Reject {
            query: query.id,
            retry_after: draw_retry_after(settings, rng),
        }),
    }
    actions.extend(cancellations(query, settings));
    query.stage = Stage::Closed;
    actions
}

/// Returns whether the answer that is given now begins the follow-up step.
fn begins_follow_up(query: &Query, settings: &Settings) -> bool {
    let has_follow_up = settings.class(query.class).follow_up_parts > 0;
    query.first_answer.is_none() && has_follow_up
}

/// Returns whether a retry by the client might repeat an effect.
fn may_have_had_effect(query: &Query, settings: &Settings) -> bool {
    let has_effect = settings.class(query.class).effect != Effect::Idempotent;
    has_effect && query.parts.iter().any(Part::may_have_run)
}

/// Draws the `Retry-After` of a rejected client, where clients get one.
fn draw_retry_after(settings: &Settings, rng: &mut fastrand::Rng) -> Option<Nanos> {
    let factor = settings.reduction.retry_after_factor.max(1.0);
    let shortened_by = RETRY_AFTER_JITTER * rng.f64() / factor;
    let longest = settings.max_retry_after? as f64;
    Some((longest * (1.0 - shortened_by)) as Nanos)
}

/// Returns the cancellations of a query's attempts in flight. Late parts of a sample run on, so
/// that the quality of its answer can be measured.
fn cancellations<'a>(
    query: &'a Query,
    settings: &'a Settings,
) -> impl Iterator<Item = Action> + 'a {
    let is_measured = query.sampled && !settings.reduction.skip_late_samples;
    let runs_on = move |part: &Part| is_measured && !part.follow_up && !part.is_answered();
    query
        .parts
        .iter()
        .filter(move |part| settings.cancellation && !runs_on(part))
        .flat_map(Part::cancellations)
}
