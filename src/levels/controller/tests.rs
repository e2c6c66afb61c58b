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
                        assert!(moves <= 5, "{} {:?} {bound} {off} {noise}: {moves}", level.name, c.signal);
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
