//! Tests of the controller: few transitions near a bound, and recovery from any state.

use super::*;
use crate::degradation::{Effects, Signal};

const EVALUATION_INTERVAL: Micros = Micros::from_millis(250);

fn secs(secs: u64) -> Micros {
    Micros::from_secs(secs)
}

fn built_in_controller(jitter: f64) -> DegradationController {
    DegradationController::new(DegradationTable::built_in(), jitter, secs(1))
}

/// Evaluates the signals from the time `from`, in seconds, for `seconds` seconds, with the readings
/// that `record` adds before each evaluation. Returns the number of transitions.
fn run(
    controller: &mut DegradationController,
    from: u64,
    seconds: u64,
    mut record: impl FnMut(Micros, &mut SignalReadings),
) -> usize {
    let mut readings = SignalReadings::default();
    let mut now = secs(from);
    let mut transitions = 0;
    while now < secs(from + seconds) {
        record(now, &mut readings);
        let before = controller.level();
        let changed = controller.evaluate(&readings, now).is_some();
        assert!(
            controller.level() <= before + 1,
            "the level rises by one at a time"
        );
        assert_eq!(changed, before != controller.level());
        transitions += usize::from(changed);
        now = now + EVALUATION_INTERVAL;
    }
    transitions
}

#[test]
fn a_signal_near_a_bound_causes_few_transitions() {
    // Runs ten minutes at each bound and at 2, 5 and 10% above and below it, with noise of each
    // size. After the first transition, at most 2 are allowed in 5 minutes.
    let table = DegradationTable::built_in();
    for level in &table.levels {
        for condition in level
            .conditions
            .iter()
            .filter(|condition| condition.group.is_none())
        {
            for bound in [condition.enter, condition.leave] {
                for offset in [-0.10, -0.05, -0.02, 0.0, 0.02, 0.05, 0.10] {
                    for noise in [0.05, 0.30] {
                        let value = bound * (1.0 + offset);
                        let transitions = transitions_with_noise(condition.signal, value, noise);
                        let case = (&level.name, condition.signal, bound, offset, noise);
                        assert!(transitions <= 5, "{case:?}: {transitions}");
                    }
                }
            }
        }
    }
}

/// Returns the number of transitions in ten minutes of a signal with uniform noise; `noise` is the
/// maximum deviation relative to `value`.
fn transitions_with_noise(signal: Signal, value: f64, noise: f64) -> usize {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut controller = built_in_controller(0.5);
    run(&mut controller, 10, 600, |now, readings| {
        readings.record(signal, value * (1.0 + noise * (2.0 * rng.f64() - 1.0)), now);
    })
}

#[test]
fn flapping_near_the_minimum_stay_causes_few_transitions() {
    for period in [8, 10, 12, 20, 25, 40] {
        let mut controller = built_in_controller(0.5);
        let transitions = run(&mut controller, 10, 600, |now, readings| {
            let overloaded = (now.0 / 1_000_000) % period < period / 2;
            readings.record(
                Signal::EjectedServers,
                if overloaded { 0.4 } else { 0.0 },
                now,
            );
        });
        assert!(
            transitions <= 6,
            "a period of {period} s: {transitions} transitions in 10 minutes"
        );
    }
}

#[test]
fn levels_are_left_when_their_signal_has_no_recent_value() {
    let mut controller = built_in_controller(0.5);
    run(&mut controller, 10, 20, |now, readings| {
        readings.record(Signal::EjectedServers, 0.9, now)
    });
    assert_eq!((controller.level(), controller.name()), (2, "essential"));
    // The signal has no further readings.
    run(&mut controller, 30, 120, |_, _| {});
    assert_eq!(controller.level(), 0);
    let transitions: Vec<_> = controller
        .history()
        .map(|transition| (transition.from, transition.to))
        .collect();
    assert_eq!(transitions, [(0, 1), (1, 2), (2, 1), (1, 0)]);
    assert_eq!(
        controller
            .history()
            .next()
            .map(|transition| transition.causes.clone()),
        Some(vec![SignalValue {
            signal: Signal::EjectedServers,
            value: 0.9
        }])
    );
    run(&mut controller, 200, 30, |now, readings| {
        readings.record(Signal::EjectedServers, f64::NAN, now)
    });
    assert_eq!(
        controller.level(),
        0,
        "a value that is not finite is ignored"
    );
}

#[test]
fn a_grouped_signal_counts_only_with_its_group() {
    let mut controller = built_in_controller(0.5);
    run(&mut controller, 10, 60, |now, readings| {
        readings.record(Signal::QualityLoss, 1.0, now)
    });
    assert_eq!(controller.level(), 0);
    run(&mut controller, 100, 60, |now, readings| {
        readings.record(Signal::QualityLoss, 0.4, now);
        readings.record(Signal::InFlightLoad, 2.0, now);
    });
    assert_eq!(controller.level(), 1);
}

#[test]
fn a_pin_overrides_signals_until_its_end() {
    let mut controller = built_in_controller(0.5);
    controller.pin(2, secs(100), secs(10));
    assert_eq!(
        (
            controller.level(),
            controller
                .history()
                .last()
                .map(|transition| transition.pinned)
        ),
        (2, Some(true))
    );
    run(&mut controller, 11, 80, |now, readings| {
        readings.record(Signal::EjectedServers, 0.0, now)
    });
    assert_eq!(controller.level(), 2);
    run(&mut controller, 100, 120, |now, readings| {
        readings.record(Signal::EjectedServers, 0.0, now)
    });
    assert_eq!(controller.level(), 0);
    controller.pin(9, secs(400), secs(300));
    assert_eq!(
        controller.level(),
        2,
        "a level beyond the table selects the last one"
    );
}

#[test]
fn many_coordinators_do_not_change_levels_at_the_same_time() {
    let mut times = Vec::new();
    for n in 0..100 {
        let mut controller = built_in_controller(f64::from(n) / 99.0);
        run(&mut controller, 10, 10, |now, readings| {
            readings.record(Signal::EjectedServers, 0.3, now)
        });
        times.push(
            controller
                .history()
                .next()
                .expect("the level has changed")
                .at,
        );
    }
    times.sort();
    let max_at_once = times
        .chunk_by(|a, b| a == b)
        .map(<[Micros]>::len)
        .max()
        .unwrap_or(0);
    assert!(
        max_at_once <= 50,
        "{max_at_once} of 100 controllers change their level at the same time"
    );
}

/// A controller after some evaluations.
struct ExploredState {
    controller: DegradationController,
    readings: SignalReadings,
    depth: u64,
}

impl ExploredState {
    /// Returns the state after these values, if any, are recorded and evaluated, one second after
    /// the previous evaluation. Checks the transition.
    fn after(&self, ejected: Option<f64>, retries: Option<f64>) -> ExploredState {
        let mut controller = self.controller.clone();
        let mut readings = self.readings.clone();
        let now = secs(2 + self.depth);
        if let Some(ejected) = ejected {
            readings.record(Signal::EjectedServers, ejected, now);
        }
        if let Some(retries) = retries {
            readings.record(Signal::RetryRate, retries, now);
        }
        let before = controller.level();
        let transition = controller.evaluate(&readings, now).cloned();
        let after = controller.level();
        assert!(
            after <= before + 1 && after + 1 >= before,
            "the level changes by one at a time"
        );
        if let Some(raised) = transition.filter(|transition| transition.to > transition.from) {
            assert!(
                !raised.causes.is_empty(),
                "a transition to a higher level has a cause"
            );
        }
        ExploredState {
            controller,
            readings,
            depth: self.depth + 1,
        }
    }

    /// Checks that 400 evaluations with both signals at 0, two seconds apart, restore full service
    /// from this state.
    fn check_recovery(mut self) {
        for evaluation in 0..400 {
            let now = secs(100 + 2 * evaluation);
            self.readings.record(Signal::EjectedServers, 0.0, now);
            self.readings.record(Signal::RetryRate, 0.0, now);
            self.controller.evaluate(&self.readings, now);
        }
        assert_eq!(self.controller.level(), 0, "full service is restored");
    }
}

/// A table of two levels that are entered by either of two signals.
fn two_level_table() -> DegradationTable {
    let condition = |signal, enter| Condition {
        signal,
        enter,
        leave: enter / 2.0,
        group: None,
    };
    let level = |name: &str, enter| Level {
        name: name.to_owned(),
        conditions: vec![
            condition(Signal::EjectedServers, enter),
            condition(Signal::RetryRate, enter),
        ],
        enter_after_ms: 1_000,
        leave_after_ms: 1_000,
        min_stay_ms: 1_000,
        effects: Effects::default(),
    };
    DegradationTable {
        levels: vec![level("a", 1.0), level("b", 2.0)],
    }
}

/// Explores sequences of five evaluations of two signals, with all combinations of values (missing
/// ones included) in the first three, and two selected combinations in the others.
#[test]
fn explored_sequences_move_one_level_at_a_time_and_recover() {
    let table = two_level_table();
    assert_eq!(table.validate(4), []);
    let controller = DegradationController::new(table, 0.5, secs(1));
    let mut open = vec![ExploredState {
        controller,
        readings: SignalReadings::default(),
        depth: 0,
    }];
    let mut explored = 0_u64;
    let values = [None, Some(0.0), Some(1.0), Some(2.0)];
    while let Some(state) = open.pop() {
        explored += 1;
        if state.depth == 5 {
            state.check_recovery();
            continue;
        }
        for ejected in values {
            for retries in values {
                let next = state.after(ejected, retries);
                let sampled = [(None, None), (Some(2.0), Some(0.0))].contains(&(ejected, retries));
                if state.depth < 3 || sampled {
                    open.push(next);
                }
            }
        }
    }
    assert!(explored > 5_000, "{explored}");
}
