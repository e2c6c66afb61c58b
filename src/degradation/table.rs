//! The table of levels, as operators write it.

use super::{Effects, Signal};
use serde::Deserialize;

/// A condition: a signal reaches a value.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// The signal.
    pub signal: Signal,
    /// From this value on the level is wanted.
    pub enter: f64,
    /// Below this value the level is no longer wanted. The distance from `enter` is the hysteresis.
    pub leave: f64,
    /// The condition counts only together with all others of this group; without a group it counts by itself.
    #[serde(rename = "with")]
    pub group: Option<String>,
}

/// A level of reduced service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// The name.
    pub name: String,
    /// The level is wanted if any of these is met.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// The level is entered after it has been wanted for this time, in milliseconds.
    #[serde(rename = "enter_ms")]
    pub enter_after_ms: u64,
    /// The level is left after it has not been wanted for this time, in milliseconds,
    #[serde(rename = "leave_ms")]
    pub leave_after_ms: u64,
    /// but not before it has lasted this time, in milliseconds.
    #[serde(rename = "stay_ms")]
    pub min_stay_ms: u64,
    /// What changes in this level.
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
    /// The default table: service is reduced when a fifth of the nodes is ejected or many attempts are retries, and limited
    /// to the essential when half of the nodes is ejected.
    #[must_use]
    pub fn built_in() -> Self {
        DegradationTable {
            levels: vec![reduced_level(), essential_level()],
        }
    }
}

fn reduced_level() -> Level {
    Level {
        name: "reduced".to_owned(),
        conditions: vec![
            ungrouped(Signal::EjectedNodes, 0.2, 0.1),
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

fn essential_level() -> Level {
    Level {
        name: "essential".to_owned(),
        conditions: vec![
            ungrouped(Signal::EjectedNodes, 0.5, 0.35),
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

/// A condition that counts by itself.
fn ungrouped(signal: Signal, enter: f64, leave: f64) -> Condition {
    Condition {
        signal,
        enter,
        leave,
        group: None,
    }
}

/// A condition of the group of signals that together indicate congestion.
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
