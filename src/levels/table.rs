//! The operator's table of levels, and whether it is sane.

use super::Signal;
use crate::interface::{Class, ServiceReduction, Settings};
use crate::time::Micros;
use serde::Deserialize;

/// Between what enters a level and what leaves it there must be this much, as a share of what enters: noise is of that size.
const MIN_GAP: f64 = 0.15;
/// Holds and stays are at least so long: a signal is refreshed twice in it.
const MIN_HOLD_MS: u64 = 500;

/// A signal is at or over a value.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Condition {
    /// Which signal.
    pub signal: Signal,
    /// The level is wanted from here on,
    pub enter: f64,
    /// and not wanted any more under this.
    pub leave: f64,
    /// Holds only together with all others of this mark; without one it is enough by itself.
    #[serde(rename = "with")]
    pub group: Option<String>,
}

/// What a level does.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Effects {
    /// Share of each class's queries admitted, by the class's name; a class that is not named is admitted whole.
    #[serde(rename = "admit")]
    pub admitted_shares: std::collections::BTreeMap<String, f64>,
    /// Most attempts at a part.
    #[serde(rename = "most_attempts")]
    pub max_attempts: Option<u32>,
    /// Late parts are not sampled.
    #[serde(rename = "quiet")]
    pub skip_late_samples: bool,
    /// Partial classes are answered after this share of their aim, never under their floor.
    pub answer_after: Option<f64>,
    /// `Retry-After` is multiplied by this.
    #[serde(rename = "come_back")]
    pub retry_after_factor: f64,
}

impl Default for Effects {
    fn default() -> Self {
        Effects {
            admitted_shares: Default::default(),
            max_attempts: None,
            skip_late_samples: false,
            answer_after: None,
            retry_after_factor: 1.0,
        }
    }
}

impl Effects {
    /// The settings as the module has them in this level. Nothing is taken back that they don't have: no more attempts, no
    /// longer wait for clients than they follow.
    pub fn apply_to(&self, set: &Settings) -> Settings {
        let mut set = set.clone();
        let most = self.max_attempts.unwrap_or(u32::MAX).max(1);
        set.classes.iter_mut().for_each(|c| c.max_attempts = c.max_attempts.min(most));
        let share = |c: &Class| self.admitted_shares.get(&c.name).map_or(1.0, |share| share.clamp(0.0, 1.0));
        set.reduction = ServiceReduction {
            admitted_shares: set.classes.iter().map(share).collect(),
            skip_late_samples: self.skip_late_samples,
            answer_after: self.answer_after.unwrap_or(1.0).clamp(0.0, 1.0),
            retry_after_factor: self.retry_after_factor.max(1.0),
        };
        set
    }
}

/// A level of reduced service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Level {
    /// Its name.
    pub name: String,
    /// When it is wanted: any of these, or all of one mark.
    pub when: Vec<Condition>,
    /// It is entered when it has been wanted for so long,
    #[serde(rename = "enter_ms")]
    pub enter_after_ms: u64,
    /// left when it has not been for so long,
    #[serde(rename = "leave_ms")]
    pub leave_after_ms: u64,
    /// and kept for so long at least.
    #[serde(rename = "stay_ms")]
    pub min_stay_ms: u64,
    /// What it does.
    #[serde(default)]
    pub effects: Effects,
}

/// All levels, the mildest first; before them is full service.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct LevelTable {
    /// The levels.
    #[serde(default, rename = "level")]
    pub levels: Vec<Level>,
}

/// What is wrong with a table: the level's name, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LevelTableError {
    /// Which level.
    pub level: String,
    /// What is wrong.
    pub why: String,
}

impl LevelTable {
    /// Sound defaults: reduced when a fifth of the nodes is avoided or much is repeated, essential when half is.
    pub fn built_in() -> Self {
        let on = |signal, enter, leave| Condition { signal, enter, leave, group: None };
        let both = |signal, enter, leave| Condition { signal, enter, leave, group: Some("jam".to_owned()) };
        let reduced = Level {
            name: "reduced".to_owned(),
            when: vec![
                on(Signal::EjectedNodes, 0.2, 0.1),
                on(Signal::RetryRate, 1.0, 0.6),
                both(Signal::QualityLoss, 0.2, 0.1),
                both(Signal::InFlightLoad, 1.5, 1.1),
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
        };
        let essential = Level {
            name: "essential".to_owned(),
            when: vec![
                on(Signal::EjectedNodes, 0.5, 0.35),
                on(Signal::RetryRate, 2.5, 1.5),
                on(Signal::LoopDelay, 8.0, 3.0),
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
        };
        LevelTable { levels: vec![reduced, essential] }
    }

    /// Everything that is wrong with it: gaps that would swing, levels out of reach, effects that break a rule. `attempts`:
    /// the most that any class allows.
    pub fn validate(&self, attempts: u32) -> Vec<LevelTableError> {
        let mut faults = Vec::new();
        for (n, level) in self.levels.iter().enumerate() {
            let mut fault = |why: String| faults.push(LevelTableError { level: level.name.clone(), why });
            if level.name.is_empty() || self.levels[..n].iter().any(|l| l.name == level.name) {
                fault("its name is empty or there twice".to_owned());
            }
            if level.when.is_empty() {
                fault("it is out of reach: no condition enters it".to_owned());
            }
            if [level.enter_after_ms, level.leave_after_ms, level.min_stay_ms]
                .iter()
                .any(|ms| *ms < MIN_HOLD_MS)
            {
                fault(format!("enter_ms, leave_ms and stay_ms must be {MIN_HOLD_MS} or more"));
            }
            for c in &level.when {
                if !(c.enter.is_finite() && c.leave.is_finite() && c.enter > 0.0 && c.leave >= 0.0) {
                    fault(format!("{}: enter and leave must be numbers, and enter above 0", c.signal));
                } else if c.leave > c.enter * (1.0 - MIN_GAP) {
                    fault(format!(
                        "{}: between enter {} and leave {} noise would swing it",
                        c.signal, c.enter, c.leave
                    ));
                }
                if c.signal == Signal::QualityLoss {
                    let with =
                        |o: &&Condition| o.group.is_some() && o.group == c.group && o.signal != c.signal;
                    if level.when.iter().find(with).is_none() {
                        fault(
                            "Lacking must not be believed alone: name another signal with the same `with`"
                                .to_owned(),
                        );
                    }
                }
                // A level above must not be entered by less than the one below it is.
                let below = n.checked_sub(1).map(|b| &self.levels[b].when);
                let milder = below.into_iter().flatten().find(|b| b.signal == c.signal && b.group == c.group);
                if milder.is_some_and(|b| b.enter >= c.enter) {
                    fault(format!("{}: it is entered by no more than the level below it", c.signal));
                }
            }
            let e = &level.effects;
            if e.admitted_shares.values().any(|share| !(0.0..=1.0).contains(share)) {
                fault("admit: shares must be from 0 to 1".to_owned());
            }
            if e.max_attempts.is_some_and(|most| most == 0 || most > attempts) {
                fault(format!("most_attempts must be from 1 to {attempts}"));
            }
            if e.answer_after.is_some_and(|share| !(share > 0.0 && share <= 1.0)) {
                fault("answer_after must be above 0 and at most 1".to_owned());
            }
            if !(1.0..=60.0).contains(&e.retry_after_factor) {
                fault("come_back must be from 1 to 60".to_owned());
            }
        }
        faults
    }

    /// How long a hold takes.
    pub(super) fn hold(ms: u64, stretch: f64) -> Micros {
        Micros((ms as f64 * 1e3 * stretch) as u64)
    }
}

#[cfg(test)]
mod tests;
