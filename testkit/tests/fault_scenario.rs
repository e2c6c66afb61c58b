//! Tests that the fault scenario detects planted faults.

use quinceflow_testkit::fault_scenario::{
    self, AnswerViolation, PlantedFault, Report, ScenarioOptions, Violation,
};
use quinceflow_testkit::process::find_program;
use std::time::Duration;

fn run_with(planted: PlantedFault) -> Report {
    let program = find_program().expect("the program is built with the workspace");
    let options = ScenarioOptions {
        duration: Duration::from_millis(300),
        seed: 5,
        planted: Some(planted),
    };
    fault_scenario::run(&program, &options).expect("the scenario runs to its end")
}

#[test]
fn planted_faults_are_detected() {
    let report = run_with(PlantedFault::DuplicateRequests);
    let is_repeated_part = |violation: &Violation| {
        matches!(violation, Violation::PartRepeated { times: 2, .. })
            && violation.to_string().contains("came 2 times")
    };
    assert!(
        report.violations.iter().any(is_repeated_part),
        "{:?}",
        report.violations.first()
    );

    let report = run_with(PlantedFault::ExcessFeatures);
    let is_excess_features = |violation: &Violation| {
        let Violation::Answer {
            violation: answer, ..
        } = violation
        else {
            return false;
        };
        matches!(answer, AnswerViolation::WrongCount { .. })
            && violation.to_string().contains("features, limit")
    };
    assert!(
        report.violations.iter().any(is_excess_features),
        "{:?}",
        report.violations.first()
    );
}
