//! The table of degradation levels, in the form in which operators write it.
//!
//! Where a field's name differs from its key in the operators' file, a `serde` attribute gives the
//! key.

use super::{Effects, Signal};
use serde::Deserialize;

/// A condition of a level: a signal reaches a bound.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// The signal.
    pub signal: Signal,
    /// The bound to enter the level: the condition is met from this value on.
    pub enter: f64,
    /// The bound to leave the level: while the level is in force, the condition is met from this
    /// value on. The distance below `enter` is the hysteresis.
    pub leave: f64,
    /// The name of the condition's group. A condition is met only together with all others of its
    /// group; `None` if it is met independently of the others.
    #[serde(rename = "with")]
    pub group: Option<String>,
}

/// A level of graceful degradation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// The name of the level, unique in the table.
    pub name: String,
    /// The conditions; any one of them requests the level.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// The time for which the level must be requested before it is entered, in milliseconds.
    #[serde(rename = "enter_ms")]
    pub enter_after_ms: u64,
    /// The time for which the level must not be requested before it is left, in milliseconds.
    #[serde(rename = "leave_ms")]
    pub leave_after_ms: u64,
    /// The minimum time in the level, in milliseconds.
    #[serde(rename = "stay_ms")]
    pub min_stay_ms: u64,
    /// The effects while the level is in force.
    #[serde(default)]
    pub effects: Effects,
}

/// All levels, from the mildest to the most severe. Level 0, full service, is not in the table.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct DegradationTable {
    /// The levels, from level 1 on.
    #[serde(default, rename = "level")]
    pub levels: Vec<Level>,
}

impl DegradationTable {
    /// Returns the default table. Service is reduced when, among other conditions, a fifth of the
    /// servers is ejected or many attempts are retries, and limited to the essential when half of
    /// the servers is ejected.
    #[must_use]
    pub fn built_in() -> Self {
        DegradationTable {
            levels: vec![reduced_level(), essential_level()],
        }
    }
}

/// Returns level 1 of the default table.
fn reduced_level() -> Level {
    Level {
        name: "reduced".to_owned(),
        conditions: vec![
            ungrouped(Signal::EjectedServers, 0.2, 0.1),
            ungrouped(Signal::RetryRate, 1.0, 0.6),
            grouped(Signal::QualityLoss, 0.2, 0.1),
            grouped(Signal::InFlightLoad, 1.5, 1.1),
        ],
        enter_after_ms: 1_500,
        leave_after_ms: 6_000,
        min_stay_ms: 10_000,
        effects: Effects {
            max_attempts: Some(3),
            skip_late_samples: true,
            retry_after_factor: 2.0,
            ..Effects::default()
        },
    }
}

/// Returns level 2 of the default table.
fn essential_level() -> Level {
    Level {
        name: "essential".to_owned(),
        conditions: vec![
            ungrouped(Signal::EjectedServers, 0.5, 0.35),
            ungrouped(Signal::RetryRate, 2.5, 1.5),
            ungrouped(Signal::LoopDelay, 8.0, 3.0),
        ],
        enter_after_ms: 2_000,
        leave_after_ms: 8_000,
        min_stay_ms: 15_000,
        effects: Effects {
            max_attempts: Some(2),
            skip_late_samples: true,
            answer_after: Some(0.6),
            retry_after_factor: 4.0,
            ..Effects::default()
        },
    }
}

/// Returns a condition that is met independently of the others.
fn ungrouped(signal: Signal, enter: f64, leave: f64) -> Condition {
    Condition {
        signal,
        enter,
        leave,
        group: None,
    }
}

/// Returns a condition of the group of signals that together indicate congestion.
fn grouped(signal: Signal, enter: f64, leave: f64) -> Condition {
    Condition {
        signal,
        enter,
        leave,
        group: Some("jam".to_owned()),
    }
}

#[cfg(test)]
mod tests;
