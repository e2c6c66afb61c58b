//! The validation of a degradation table: bounds, durations and effects in range, and levels that
//! can be entered.

use super::{Condition, DegradationTable, Effects, Level, Signal};
use thiserror::Error;

/// The minimum distance of `leave` below `enter`, as a share of `enter`: the noise of signals has
/// about this size.
const MIN_HYSTERESIS: f64 = 0.15;
/// The minimum of all durations of a level, in milliseconds: each signal is refreshed twice in this
/// time.
const MIN_DURATION_MS: u64 = 500;
/// The maximum factor by which `Retry-After` is extended.
const MAX_RETRY_AFTER_FACTOR: f64 = 60.0;

/// A fault of a level in the table.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("level {level:?}: {fault}")]
pub struct DegradationTableError {
    /// The name of the level.
    pub level: String,
    /// The fault.
    #[source]
    pub fault: LevelFault,
}

/// A fault of a level. Its texts use the keys and signal names of the operators' file.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum LevelFault {
    /// The name is empty, or an earlier level has it.
    #[error("name is empty or not unique")]
    InvalidName,
    /// No condition can enter the level.
    #[error("no condition enters the level")]
    NoCondition,
    /// A duration is too short for the interval at which signals are refreshed.
    #[error("enter_ms, leave_ms or stay_ms is below {MIN_DURATION_MS}")]
    DurationTooShort,
    /// A bound is not finite, the bound to enter is not above 0, or the bound to leave is below 0.
    #[error("{signal}: enter is not above 0, leave is below 0, or one is not finite")]
    InvalidBounds {
        /// The signal of the condition.
        signal: Signal,
    },
    /// The bounds are so close that noise would make the level flap.
    #[error(
        "{signal}: leave {leave} is so close to enter {enter} that noise would make the level flap"
    )]
    HysteresisTooSmall {
        /// The signal of the condition.
        signal: Signal,
        /// The bound to enter.
        enter: f64,
        /// The bound to leave.
        leave: f64,
    },
    /// The loss of quality is not grouped with another signal. By itself it is not reliable.
    #[error("Lacking has no other signal with the same `with`")]
    UngroupedQualityLoss,
    /// The next milder level has the same condition with the same bound to enter or a higher one.
    #[error("{signal}: enter is not above that of the next milder level")]
    NotAboveMilderLevel {
        /// The signal of the condition.
        signal: Signal,
    },
    /// An admitted share lies outside 0 to 1.
    #[error("a share in admit is not between 0 and 1")]
    InvalidAdmittedShare,
    /// The maximum of attempts is 0, or exceeds that of the settings.
    #[error("most_attempts is not between 1 and {max}")]
    InvalidMaxAttempts {
        /// The maximum over all classes of the settings.
        max: u32,
    },
    /// The share of the latency objective lies outside 0 to 1, or is 0.
    #[error("answer_after is not above 0 and at most 1")]
    InvalidAnswerAfter,
    /// The factor of `Retry-After` is too small or too large.
    #[error("come_back is not between 1 and 60")]
    InvalidRetryAfterFactor,
}

impl DegradationTable {
    /// Returns all faults of the table, none for a valid one: hysteresis that is too small, levels
    /// that cannot be entered, effects out of range. `max_attempts` is the maximum that any class
    /// of the settings allows.
    #[must_use]
    pub fn validate(&self, max_attempts: u32) -> Vec<DegradationTableError> {
        let mut errors = Vec::new();
        for (index, level) in self.levels.iter().enumerate() {
            let milder = &self.levels[..index];
            let mut faults = Vec::new();
            check_level(level, milder, &mut faults);
            for condition in &level.conditions {
                check_condition(condition, level, milder.last(), &mut faults);
            }
            check_effects(&level.effects, max_attempts, &mut faults);
            let error = |fault| DegradationTableError {
                level: level.name.clone(),
                fault,
            };
            errors.extend(faults.into_iter().map(error));
        }
        errors
    }
}

/// Checks the level's name, conditions and durations; `milder` contains the levels before it.
fn check_level(level: &Level, milder: &[Level], faults: &mut Vec<LevelFault>) {
    if level.name.is_empty() || milder.iter().any(|other| other.name == level.name) {
        faults.push(LevelFault::InvalidName);
    }
    if level.conditions.is_empty() {
        faults.push(LevelFault::NoCondition);
    }
    if [
        level.enter_after_ms,
        level.leave_after_ms,
        level.min_stay_ms,
    ]
    .iter()
    .any(|ms| *ms < MIN_DURATION_MS)
    {
        faults.push(LevelFault::DurationTooShort);
    }
}

/// Checks one condition of the level; `milder` is the level before it.
fn check_condition(
    condition: &Condition,
    level: &Level,
    milder: Option<&Level>,
    faults: &mut Vec<LevelFault>,
) {
    let &Condition {
        signal,
        enter,
        leave,
        ..
    } = condition;
    if !(enter.is_finite() && leave.is_finite() && enter > 0.0 && leave >= 0.0) {
        faults.push(LevelFault::InvalidBounds { signal });
    } else if leave > enter * (1.0 - MIN_HYSTERESIS) {
        faults.push(LevelFault::HysteresisTooSmall {
            signal,
            enter,
            leave,
        });
    }
    if signal == Signal::QualityLoss && !is_grouped(condition, level) {
        faults.push(LevelFault::UngroupedQualityLoss);
    }
    let same = |other: &&Condition| other.signal == signal && other.group == condition.group;
    let milder_condition = milder.and_then(|milder| milder.conditions.iter().find(same));
    if milder_condition.is_some_and(|milder| milder.enter >= enter) {
        faults.push(LevelFault::NotAboveMilderLevel { signal });
    }
}

/// Returns whether another signal of the level is in the condition's group.
fn is_grouped(condition: &Condition, level: &Level) -> bool {
    let in_group = |other: &Condition| other.group.is_some() && other.group == condition.group;
    level
        .conditions
        .iter()
        .any(|other| in_group(other) && other.signal != condition.signal)
}

/// Checks that the effects are in range.
fn check_effects(effects: &Effects, max_attempts: u32, faults: &mut Vec<LevelFault>) {
    if effects
        .admitted_shares
        .values()
        .any(|share| !(0.0..=1.0).contains(share))
    {
        faults.push(LevelFault::InvalidAdmittedShare);
    }
    if effects
        .max_attempts
        .is_some_and(|attempts| attempts == 0 || attempts > max_attempts)
    {
        faults.push(LevelFault::InvalidMaxAttempts { max: max_attempts });
    }
    if effects
        .answer_after
        .is_some_and(|share| !(share > 0.0 && share <= 1.0))
    {
        faults.push(LevelFault::InvalidAnswerAfter);
    }
    if !(1.0..=MAX_RETRY_AFTER_FACTOR).contains(&effects.retry_after_factor) {
        faults.push(LevelFault::InvalidRetryAfterFactor);
    }
}

#[cfg(test)]
mod tests;
