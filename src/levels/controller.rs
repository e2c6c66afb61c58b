//! The machine that moves between levels: one step at a time, after a hold, with a stay that grows where it comes back.

use super::{LevelTable, Signal, SignalReadings};
use crate::time::Micros;
use std::collections::VecDeque;

/// A signal that has said nothing for so long says nothing: it neither enters a level nor keeps it.
const MAX_AGE: Micros = Micros::from_secs(5);
/// Moves that are remembered.
const MAX_HISTORY: usize = 64;
/// A level that is entered again within this after it was left was left too soon: it is kept for so long then. So a level is
/// entered, left and entered again at most once in this time, whatever flaps.
const AGAIN: Micros = Micros::from_secs(300);

/// A move, and what brought it.
#[derive(Debug, Clone, PartialEq)]
pub struct Transition {
    /// When.
    pub at: Micros,
    /// From this level, 0 for full service,
    pub from: usize,
    /// to this.
    pub to: usize,
    /// The signals that brought it, with what they said; none for a move down since signals are silent, and for a pin.
    pub causes: Vec<(Signal, f64)>,
    /// An operator pinned it.
    pub pinned: bool,
}

/// Where service is, and how it came there.
#[derive(Debug, Clone)]
pub struct LevelController {
    table: LevelTable,
    /// This instance's own holds, so that many do not move at once: from 0.8 to 1.2.
    stretch: f64,
    level: usize,
    since: Micros,
    /// Since when the next level has been wanted, and since when the present one has not.
    wanted: Option<Micros>,
    unwanted: Option<Micros>,
    /// Of each level whether it was entered again too soon, and when it was left last.
    again: Vec<(bool, Option<Micros>)>,
    pin: Option<(usize, Micros)>,
    history: VecDeque<Transition>,
}

impl LevelController {
    /// In full service. `luck`, from 0 to 1, is this instance's own.
    pub fn new(table: LevelTable, luck: f64, now: Micros) -> Self {
        let again = vec![(false, None); table.levels.len()];
        LevelController {
            table,
            stretch: 0.8 + 0.4 * luck.clamp(0.0, 1.0),
            level: 0,
            since: now,
            wanted: None,
            unwanted: None,
            again,
            pin: None,
            history: VecDeque::new(),
        }
    }

    /// The present level: 0 is full service, 1 the table's first.
    pub fn level(&self) -> usize {
        self.level
    }

    /// Its name.
    pub fn name(&self) -> &str {
        self.level.checked_sub(1).map_or("full", |n| &self.table.levels[n].name)
    }

    /// The moves, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Transition> {
        self.history.iter()
    }

    /// An operator holds a level until then, whatever signals say.
    pub fn pin(&mut self, level: usize, until: Micros, now: Micros) {
        let level = level.min(self.table.levels.len());
        self.pin = Some((level, until));
        if level != self.level {
            self.go(level, now, Vec::new(), true);
        }
    }

    /// Looks at the signals: the move that was made, if one was.
    pub fn evaluate(&mut self, readings: &SignalReadings, now: Micros) -> Option<&Transition> {
        match self.pin {
            Some((_, until)) if now < until => return None,
            Some(_) => {
                // From here on signals count again, and each step wants its hold.
                (self.pin, self.wanted, self.unwanted) = (None, None, None);
                self.since = now;
            }
            None => {}
        }
        let up = self.level < self.table.levels.len();
        let called = if up { self.called(self.level, readings, now) } else { Vec::new() };
        if called.is_empty() {
            self.wanted = None;
        } else {
            let since = *self.wanted.get_or_insert(now);
            let hold = LevelTable::hold(self.table.levels[self.level].enter_after_ms, self.stretch);
            if now.since(since) >= hold {
                return self.go(self.level + 1, now, called, false);
            }
        }
        let present = self.level.checked_sub(1)?;
        let kept = self.kept(present, readings, now);
        if !kept.is_empty() {
            self.unwanted = None;
            return None;
        }
        let since = *self.unwanted.get_or_insert(now);
        let level = &self.table.levels[present];
        let stay = LevelTable::hold(level.min_stay_ms, self.stretch);
        let stay = if self.again[present].0 { stay.max(AGAIN) } else { stay };
        let calm = now.since(since) >= LevelTable::hold(level.leave_after_ms, self.stretch);
        if calm && now.since(self.since) >= stay {
            let by =
                level.when.iter().filter_map(|c| Some((c.signal, readings.latest(c.signal, now, MAX_AGE)?)));
            let by = by.collect();
            return self.go(present, now, by, false);
        }
        None
    }

    /// The signals that call for a level; none if they do not.
    fn called(&self, level: usize, readings: &SignalReadings, now: Micros) -> Vec<(Signal, f64)> {
        self.held(level, readings, now, |c| c.enter)
    }

    /// The signals that keep a level.
    fn kept(&self, level: usize, readings: &SignalReadings, now: Micros) -> Vec<(Signal, f64)> {
        self.held(level, readings, now, |c| c.leave)
    }

    fn held(
        &self,
        level: usize,
        readings: &SignalReadings,
        now: Micros,
        bound: impl Fn(&super::Condition) -> f64,
    ) -> Vec<(Signal, f64)> {
        let when = &self.table.levels[level].when;
        let over = |c: &super::Condition| {
            let said = readings.latest(c.signal, now, MAX_AGE)?;
            (said >= bound(c)).then_some((c.signal, said))
        };
        let holds = |c: &super::Condition| match &c.group {
            None => over(c),
            // All of one mark, or none.
            mark => over(c).filter(|_| when.iter().filter(|o| o.group == *mark).all(|o| over(o).is_some())),
        };
        when.iter().filter_map(holds).collect()
    }

    fn go(&mut self, to: usize, now: Micros, by: Vec<(Signal, f64)>, pinned: bool) -> Option<&Transition> {
        let from = self.level;
        if to < from {
            self.again[from - 1].1 = Some(now);
        } else if let Some(entered) = to.checked_sub(1) {
            let (again, left) = &mut self.again[entered];
            *again = left.is_some_and(|left| now.since(left) < AGAIN);
        }
        (self.level, self.since, self.wanted, self.unwanted) = (to, now, None, None);
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Transition { at: now, from, to, causes: by, pinned });
        self.history.back()
    }
}

#[cfg(test)]
mod tests;
