//! Tests of the validation of a degradation table.

use super::*;

#[test]
fn the_built_in_table_is_valid() {
    assert_eq!(DegradationTable::built_in().validate(4), []);
}

/// Returns the built-in table with faults in both levels.
fn faulty_table() -> DegradationTable {
    let mut table = DegradationTable::built_in();
    table.levels[0].conditions[0].leave = 0.19;
    table.levels[0].conditions.remove(3);
    table.levels[1].conditions[0].enter = 0.2;
    table.levels[1].conditions[0].leave = 0.1;
    table.levels[1].effects.max_attempts = Some(5);
    table.levels[1].effects.retry_after_factor = 0.5;
    table
}

fn error(level: &str, fault: LevelFault) -> DegradationTableError {
    DegradationTableError {
        level: level.to_owned(),
        fault,
    }
}

#[test]
fn each_fault_is_reported_with_its_level() {
    let signal = Signal::EjectedServers;
    assert_eq!(
        faulty_table().validate(4),
        [
            error(
                "reduced",
                LevelFault::HysteresisTooSmall {
                    signal,
                    enter: 0.2,
                    leave: 0.19
                }
            ),
            error("reduced", LevelFault::UngroupedQualityLoss),
            error("essential", LevelFault::NotAboveMilderLevel { signal }),
            error("essential", LevelFault::InvalidMaxAttempts { max: 4 }),
            error("essential", LevelFault::InvalidRetryAfterFactor),
        ]
    );
}

#[test]
fn a_level_without_conditions_and_one_without_a_minimum_stay_are_reported() {
    let mut table = faulty_table();
    table.levels[0].conditions.clear();
    table.levels[1].min_stay_ms = 0;
    let errors = table.validate(4);
    assert!(
        errors.contains(&error("reduced", LevelFault::NoCondition)),
        "{errors:?}"
    );
    assert!(
        errors.contains(&error("essential", LevelFault::DurationTooShort)),
        "{errors:?}"
    );
}

fn assert_texts<const N: usize>(cases: [(LevelFault, &str); N]) {
    for (fault, text) in cases {
        assert_eq!(fault.to_string(), text);
    }
}

#[test]
fn faults_of_a_level_are_described_by_the_keys_of_the_operators_file() {
    assert_texts([
        (LevelFault::InvalidName, "name is empty or not unique"),
        (LevelFault::NoCondition, "no condition enters the level"),
        (
            LevelFault::DurationTooShort,
            "enter_ms, leave_ms or stay_ms is below 500",
        ),
    ]);
}

#[test]
fn faults_of_a_condition_are_described_by_the_keys_of_the_operators_file() {
    let signal = Signal::EjectedServers;
    assert_texts([
        (
            LevelFault::InvalidBounds { signal },
            "Avoided: enter is not above 0, leave is below 0, or one is not finite",
        ),
        (
            LevelFault::HysteresisTooSmall {
                signal,
                enter: 0.2,
                leave: 0.19,
            },
            "Avoided: leave 0.19 is so close to enter 0.2 that noise would make the level flap",
        ),
        (
            LevelFault::UngroupedQualityLoss,
            "Lacking has no other signal with the same `with`",
        ),
        (
            LevelFault::NotAboveMilderLevel { signal },
            "Avoided: enter is not above that of the next milder level",
        ),
    ]);
}

#[test]
fn faults_of_effects_are_described_by_the_keys_of_the_operators_file() {
    assert_texts([
        (
            LevelFault::InvalidAdmittedShare,
            "a share in admit is not between 0 and 1",
        ),
        (
            LevelFault::InvalidMaxAttempts { max: 4 },
            "most_attempts is not between 1 and 4",
        ),
        (
            LevelFault::InvalidAnswerAfter,
            "answer_after is not above 0 and at most 1",
        ),
        (
            LevelFault::InvalidRetryAfterFactor,
            "come_back is not between 1 and 60",
        ),
    ]);
}
