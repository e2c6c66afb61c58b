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
    let signal = Signal::EjectedNodes;
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
        (LevelFault::InvalidName, "its name is empty or there twice"),
        (
            LevelFault::NoCondition,
            "it is out of reach: no condition enters it",
        ),
        (
            LevelFault::DurationTooShort,
            "enter_ms, leave_ms and stay_ms must be 500 or more",
        ),
    ]);
}

#[test]
fn faults_of_a_condition_are_described_by_the_keys_of_the_operators_file() {
    let signal = Signal::EjectedNodes;
    assert_texts([
        (
            LevelFault::InvalidBounds { signal },
            "Avoided: enter and leave must be numbers, and enter above 0",
        ),
        (
            LevelFault::HysteresisTooSmall {
                signal,
                enter: 0.2,
                leave: 0.19,
            },
            "Avoided: between enter 0.2 and leave 0.19 noise would swing it",
        ),
        (
            LevelFault::UngroupedQualityLoss,
            "Lacking must not be believed alone: name another signal with the same `with`",
        ),
        (
            LevelFault::NotAboveMilderLevel { signal },
            "Avoided: it is entered by no more than the level below it",
        ),
    ]);
}

#[test]
fn faults_of_effects_are_described_by_the_keys_of_the_operators_file() {
    assert_texts([
        (
            LevelFault::InvalidAdmittedShare,
            "admit: shares must be from 0 to 1",
        ),
        (
            LevelFault::InvalidMaxAttempts { max: 4 },
            "most_attempts must be from 1 to 4",
        ),
        (
            LevelFault::InvalidAnswerAfter,
            "answer_after must be above 0 and at most 1",
        ),
        (
            LevelFault::InvalidRetryAfterFactor,
            "come_back must be from 1 to 60",
        ),
    ]);
}
