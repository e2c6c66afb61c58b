//! The rules on repeating a part, which depend on the effect of its class.

use crate::interface::{Class, Effect, Nanos, Settings};
use crate::policy::margins::DEADLINE_MARGIN_TICKS;
use crate::queries::Part;

/// Returns whether another attempt at a part may be allowed, now or later, by the rule "no part
/// repeated beyond its class's effect" and by the class's maximum number of attempts.
pub fn may_attempt_again(part: &Part, class: &Class) -> bool {
    let is_repeat_safe = class.effect != Effect::NonIdempotent || !part.may_have_run();
    let attempts = part.attempts.len() as u32;
    is_repeat_safe && attempts < class.max_attempts.max(1)
}

/// Returns the time after which writing another attempt at a part must not start, by the rule "no
/// part repeated beyond its class's effect". For a deduplicated part this is shortly before the end
/// of its deduplication window.
pub fn write_by(part: &Part, class: &Class, settings: &Settings) -> Nanos {
    let mut attempts = part.attempts.iter();
    let Some(first) = attempts.find(|attempt| attempt.may_have_run()) else {
        return Nanos::MAX;
    };
    match class.effect {
        Effect::Idempotent => Nanos::MAX,
        Effect::Deduplicated(window) => {
            let margin = settings.ticks(DEADLINE_MARGIN_TICKS);
            (first.sent_at + window).saturating_sub(margin)
        }
        Effect::NonIdempotent => 0,
    }
}
