//! The controller that moves between degradation levels.
//!
//! Signals change the level by one step at a time. A level is entered once any of its conditions has
//! been met for a minimum duration, and left once none has been met for another one. It also has a
//! minimum stay, which is longer if the level is entered again soon after it was left.

use super::{Condition, DegradationTable, Level, SignalReadings, SignalValue};
use crate::time::Micros;
use std::collections::VecDeque;

/// The maximum age of a reading: an older one neither enters a level nor keeps it in force.
const MAX_READING_AGE: Micros = Micros::from_secs(5);
/// The maximum number of transitions in the history; older ones are dropped.
const MAX_HISTORY: usize = 64;
/// The time after a level was left in which entering it again counts as flapping. The minimum stay
/// is then at least this time, so a flapping signal enters the level at most once in this time.
const REENTRY_WINDOW: Micros = Micros::from_secs(300);
/// The name of level 0.
const FULL_SERVICE_NAME: &str = "full";

/// A transition between two levels.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// The time of the transition.
    pub at: Micros,
    /// The level before, 0 for full service.
    pub from: usize,
    /// The level after.
    pub to: usize,
    /// The signals that caused the transition; empty for a pin, or if the signals of the level have
    /// no recent value.
    pub causes: Vec<SignalValue>,
    /// Whether an operator caused the transition by pinning the level.
    pub pinned: bool,
}

/// When one level was last left, and whether it was entered again soon after that.
#[derive(Debug, Clone, Copy, Default)]
struct EntryHistory {
    /// Whether the level was last entered within [`REENTRY_WINDOW`] after it had been left.
    reentered_soon: bool,
    /// The time when the level was last left.
    left_at: Option<Micros>,
}

/// The current level of service, and its history.
#[derive(Debug, Clone)]
pub struct DegradationController {
    table: DegradationTable,
    /// The factor by which this coordinator scales all durations of the table, 0.8 to 1.2, so that
    /// many coordinators do not change levels at the same time.
    jitter_factor: f64,
    /// The current level: 0 for full service, n for the table's level at index n - 1.
    level: usize,
    /// The time when the current level was entered, or when the last pin ended.
    entered_at: Micros,
    /// The time since which the next level has been requested.
    enter_requested_since: Option<Micros>,
    /// The time since which the current level has not been requested.
    leave_requested_since: Option<Micros>,
    /// The entry history of each level of the table.
    entry_histories: Vec<EntryHistory>,
    /// The time until which an operator has pinned the level; `None` if no pin is in force.
    pin_expires_at: Option<Micros>,
    history: VecDeque<Transition>,
}

impl DegradationController {
    /// Creates a controller in full service. `jitter`, from 0 to 1, is specific to this
    /// coordinator: it spreads the durations of many coordinators.
    #[must_use]
    pub fn new(table: DegradationTable, jitter: f64, now: Micros) -> Self {
        let entry_histories = vec![EntryHistory::default(); table.levels.len()];
        DegradationController {
            table,
            jitter_factor: 0.8 + 0.4 * jitter.clamp(0.0, 1.0),
            level: 0,
            entered_at: now,
            enter_requested_since: None,
            leave_requested_since: None,
            entry_histories,
            pin_expires_at: None,
            history: VecDeque::new(),
        }
    }

    /// Returns the current level: 0 is full service, 1 the first level of the table.
    #[must_use]
    pub fn level(&self) -> usize {
        self.level
    }

    /// Returns the name of the current level.
    #[must_use]
    pub fn name(&self) -> &str {
        match self.level.checked_sub(1) {
            Some(index) => &self.table.levels[index].name,
            None => FULL_SERVICE_NAME,
        }
    }

    /// Returns the last transitions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Transition> {
        self.history.iter()
    }

    /// Moves to a level and stays there until the given time, whatever the signals are. A number
    /// beyond the table selects the last level.
    pub fn pin(&mut self, level: usize, until: Micros, now: Micros) {
        let level = level.min(self.table.levels.len());
        self.pin_expires_at = Some(until);
        if level != self.level {
            self.move_to(level, now, Vec::new(), true);
        }
    }

    /// Evaluates the signals, and returns the transition if there is one.
    pub fn evaluate(&mut self, readings: &SignalReadings, now: Micros) -> Option<&Transition> {
        if self.is_pinned(now) {
            return None;
        }
        if let Some(causes) = self.causes_to_enter_next(readings, now) {
            return self.move_to(self.level + 1, now, causes, false);
        }
        if let Some(causes) = self.causes_to_leave(readings, now) {
            return self.move_to(self.level - 1, now, causes, false);
        }
        None
    }

    /// Returns whether a pin is in force. When it has expired, all durations restart.
    fn is_pinned(&mut self, now: Micros) -> bool {
        let Some(until) = self.pin_expires_at else {
            return false;
        };
        if now < until {
            return true;
        }
        self.pin_expires_at = None;
        self.enter_requested_since = None;
        self.leave_requested_since = None;
        self.entered_at = now;
        false
    }

    /// Returns the signals that request the next level, if they have done so for long enough.
    fn causes_to_enter_next(
        &mut self,
        readings: &SignalReadings,
        now: Micros,
    ) -> Option<Vec<SignalValue>> {
        let next = self.table.levels.get(self.level);
        let causes = next.map_or_else(Vec::new, |next| {
            met_conditions(next, readings, now, |c| c.enter)
        });
        if causes.is_empty() {
            self.enter_requested_since = None;
            return None;
        }
        let requested_since = *self.enter_requested_since.get_or_insert(now);
        let enter_after = self.with_jitter(next?.enter_after_ms);
        (now.since(requested_since) >= enter_after).then_some(causes)
    }

    /// Returns the current values of the level's signals, if they have not requested the level for
    /// long enough and its minimum stay is over.
    fn causes_to_leave(
        &mut self,
        readings: &SignalReadings,
        now: Micros,
    ) -> Option<Vec<SignalValue>> {
        let index = self.level.checked_sub(1)?;
        let current = &self.table.levels[index];
        if !met_conditions(current, readings, now, |c| c.leave).is_empty() {
            self.leave_requested_since = None;
            return None;
        }
        let leave_requested_since = *self.leave_requested_since.get_or_insert(now);
        let mut min_stay = self.with_jitter(current.min_stay_ms);
        if self.entry_histories[index].reentered_soon {
            min_stay = min_stay.max(REENTRY_WINDOW);
        }
        let leave_is_due =
            now.since(leave_requested_since) >= self.with_jitter(current.leave_after_ms);
        if !leave_is_due || now.since(self.entered_at) < min_stay {
            return None;
        }
        let latest = |condition: &Condition| latest_value(condition, readings, now);
        Some(current.conditions.iter().filter_map(latest).collect())
    }

    /// Changes the level and records the transition.
    fn move_to(
        &mut self,
        to: usize,
        now: Micros,
        causes: Vec<SignalValue>,
        pinned: bool,
    ) -> Option<&Transition> {
        let from = self.level;
        if to < from {
            self.entry_histories[from - 1].left_at = Some(now);
        } else if let Some(index) = to.checked_sub(1) {
            let history = &mut self.entry_histories[index];
            history.reentered_soon = history
                .left_at
                .is_some_and(|left_at| now.since(left_at) < REENTRY_WINDOW);
        }
        self.level = to;
        self.entered_at = now;
        self.enter_requested_since = None;
        self.leave_requested_since = None;
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Transition {
            at: now,
            from,
            to,
            causes,
            pinned,
        });
        self.history.back()
    }

    /// Scales a duration of the table, in milliseconds, by the jitter of this coordinator.
    fn with_jitter(&self, ms: u64) -> Micros {
        Micros((ms as f64 * 1e3 * self.jitter_factor) as u64)
    }
}

/// Returns the signals of the level's conditions that are met, with their values. `bound` selects
/// the bound to enter or to leave. A condition of a group is met only if all conditions of the
/// group are.
fn met_conditions(
    level: &Level,
    readings: &SignalReadings,
    now: Micros,
    bound: impl Fn(&Condition) -> f64,
) -> Vec<SignalValue> {
    let reached = |condition: &Condition| {
        latest_value(condition, readings, now).filter(|latest| latest.value >= bound(condition))
    };
    let group_reached = |condition: &Condition| {
        let mut group = level
            .conditions
            .iter()
            .filter(|other| other.group == condition.group);
        group.all(|other| reached(other).is_some())
    };
    let met = |condition: &Condition| {
        let value = reached(condition)?;
        (condition.group.is_none() || group_reached(condition)).then_some(value)
    };
    level.conditions.iter().filter_map(met).collect()
}

/// Returns the condition's signal with its value, if it has a recent one.
fn latest_value(
    condition: &Condition,
    readings: &SignalReadings,
    now: Micros,
) -> Option<SignalValue> {
    let signal = condition.signal;
    let value = readings.latest(signal, now, MAX_READING_AGE)?;
    Some(SignalValue { signal, value })
}

#[cfg(test)]
mod tests;
