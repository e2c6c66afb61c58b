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
mod tests {
    use super::*;
    use crate::levels::{Condition, Effects, Level};

    const LOOK: Micros = Micros::from_millis(250);

    fn secs(s: u64) -> Micros {
        Micros::from_secs(s)
    }

    fn machine(luck: f64) -> LevelController {
        LevelController::new(LevelTable::built_in(), luck, secs(1))
    }

    /// Plays so many seconds with what a signal says at each look: the moves made.
    fn play(
        m: &mut LevelController,
        from: u64,
        seconds: u64,
        mut say: impl FnMut(Micros, &mut SignalReadings),
    ) -> usize {
        let mut readings = SignalReadings::default();
        let (mut now, mut moves) = (secs(from), 0);
        while now < secs(from + seconds) {
            say(now, &mut readings);
            let before = m.level();
            let changed = m.evaluate(&readings, now).cloned();
            assert!(m.level() <= before + 1, "one level up at a time");
            assert_eq!(changed.is_some(), before != m.level());
            moves += usize::from(changed.is_some());
            now = now + LOOK;
        }
        moves
    }

    #[test]
    fn hovering_at_a_boundary_does_not_swing() {
        // Ten minutes at each boundary and 2, 5 and 10% round it, with noise of each size: at most 2 moves in 5 minutes
        // beyond the first.
        let table = LevelTable::built_in();
        for level in &table.levels {
            for c in level.when.iter().filter(|c| c.group.is_none()) {
                for bound in [c.enter, c.leave] {
                    for off in [-0.10, -0.05, -0.02, 0.0, 0.02, 0.05, 0.10] {
                        for noise in [0.05, 0.30] {
                            let mut rng = fastrand::Rng::with_seed(7);
                            let mut m = machine(0.5);
                            let at = bound * (1.0 + off);
                            let moves = play(&mut m, 10, 600, |now, r| {
                                r.record(c.signal, at * (1.0 + noise * (2.0 * rng.f64() - 1.0)), now);
                            });
                            assert!(
                                moves <= 5,
                                "{} {:?} {bound} {off} {noise}: {moves}",
                                level.name,
                                c.signal
                            );
                        }
                    }
                }
            }
        }
    }

    #[test]
    fn flapping_near_the_least_stay_is_ridden_out() {
        for period in [8, 10, 12, 20, 25, 40] {
            let mut m = machine(0.5);
            let moves = play(&mut m, 10, 600, |now, r| {
                let bad = (now.0 / 1_000_000) % period < period / 2;
                r.record(Signal::EjectedNodes, if bad { 0.4 } else { 0.0 }, now);
            });
            assert!(moves <= 6, "a period of {period} s: {moves} moves in 10 minutes");
        }
    }

    #[test]
    fn it_is_never_stuck_where_its_cause_is_gone_and_a_silent_signal_keeps_nothing() {
        let mut m = machine(0.5);
        play(&mut m, 10, 20, |now, r| r.record(Signal::EjectedNodes, 0.9, now));
        assert_eq!((m.level(), m.name()), (2, "essential"));
        // The signal stops coming.
        play(&mut m, 30, 120, |_, _| {});
        assert_eq!(m.level(), 0);
        let whole: Vec<_> = m.history().map(|c| (c.from, c.to)).collect();
        assert_eq!(whole, [(0, 1), (1, 2), (2, 1), (1, 0)]);
        assert_eq!(m.history().next().map(|c| c.causes.clone()), Some(vec![(Signal::EjectedNodes, 0.9)]));
        play(&mut m, 200, 30, |now, r| r.record(Signal::EjectedNodes, f64::NAN, now));
        assert_eq!(m.level(), 0, "what is no number says nothing");
    }

    #[test]
    fn quality_alone_is_not_believed_and_with_another_it_is() {
        let mut m = machine(0.5);
        play(&mut m, 10, 60, |now, r| r.record(Signal::QualityLoss, 1.0, now));
        assert_eq!(m.level(), 0);
        play(&mut m, 100, 60, |now, r| {
            r.record(Signal::QualityLoss, 0.4, now);
            r.record(Signal::InFlightLoad, 2.0, now);
        });
        assert_eq!(m.level(), 1);
    }

    #[test]
    fn a_pin_holds_until_its_end_whatever_signals_say() {
        let mut m = machine(0.5);
        m.pin(2, secs(100), secs(10));
        assert_eq!((m.level(), m.history().last().map(|c| c.pinned)), (2, Some(true)));
        play(&mut m, 11, 80, |now, r| r.record(Signal::EjectedNodes, 0.0, now));
        assert_eq!(m.level(), 2);
        play(&mut m, 100, 120, |now, r| r.record(Signal::EjectedNodes, 0.0, now));
        assert_eq!(m.level(), 0);
        m.pin(9, secs(400), secs(300));
        assert_eq!(m.level(), 2, "no further than the table goes");
    }

    #[test]
    fn many_instances_do_not_move_at_once() {
        let mut when = Vec::new();
        for n in 0..100 {
            let mut m = machine(f64::from(n) / 99.0);
            play(&mut m, 10, 10, |now, r| r.record(Signal::EjectedNodes, 0.3, now));
            when.push(m.history().next().expect("it moved").at);
        }
        when.sort();
        let most = when.chunk_by(|a, b| a == b).map(<[Micros]>::len).max().unwrap_or(0);
        assert!(most <= 50, "{most} of 100 in one look");
    }

    /// All there is to see of a machine over small bounds: every sequence of what two signals can say, and of silence.
    #[test]
    fn no_sequence_breaks_a_rule() {
        let on = |signal, enter| Condition { signal, enter, leave: enter / 2.0, group: None };
        let level = |name: &str, enter| Level {
            name: name.to_owned(),
            when: vec![on(Signal::EjectedNodes, enter), on(Signal::RetryRate, enter)],
            enter_after_ms: 1_000,
            leave_after_ms: 1_000,
            min_stay_ms: 1_000,
            effects: Effects::default(),
        };
        let table = LevelTable { levels: vec![level("a", 1.0), level("b", 2.0)] };
        assert_eq!(table.validate(4), []);
        let says = [None, Some(0.0), Some(1.0), Some(2.0)];
        let (mut seen, mut deep) =
            (0_u64, vec![(LevelController::new(table, 0.5, secs(1)), SignalReadings::default(), 0_u64)]);
        while let Some((m, readings, depth)) = deep.pop() {
            seen += 1;
            if depth == 5 {
                // Whatever came before: with all calm it is back in full service, and stays there.
                let (mut m, mut readings) = (m, readings);
                for step in 0..400 {
                    let now = secs(100 + 2 * step);
                    readings.record(Signal::EjectedNodes, 0.0, now);
                    readings.record(Signal::RetryRate, 0.0, now);
                    m.evaluate(&readings, now);
                }
                assert_eq!(m.level(), 0, "stuck");
                continue;
            }
            for a in says {
                for b in says {
                    let (mut m, mut readings) = (m.clone(), readings.clone());
                    let now = secs(2 + depth);
                    if let Some(a) = a {
                        readings.record(Signal::EjectedNodes, a, now);
                    }
                    if let Some(b) = b {
                        readings.record(Signal::RetryRate, b, now);
                    }
                    let before = m.level();
                    let change = m.evaluate(&readings, now).cloned();
                    assert!(m.level() <= before + 1 && m.level() + 1 >= before, "a step at a time");
                    if let Some(change) = change.filter(|c| c.to > c.from) {
                        assert!(!change.causes.is_empty(), "nothing called for it");
                    }
                    if depth < 3 || (a, b) == (None, None) || (a, b) == (Some(2.0), Some(0.0)) {
                        deep.push((m, readings, depth + 1));
                    }
                }
            }
        }
        assert!(seen > 5_000, "{seen}");
    }
}
