//! The storm's observer finds what is planted.

use quinceflow_testkit::{fault_scenario, process};
use std::time::Duration;

#[test]
fn planted_faults_are_seen_from_the_wire() {
    let program = process::program().expect("the program is built with the workspace");
    for (plant, words) in [("twice", "came 2 times"), ("limit", "features, limit")] {
        let report =
            fault_scenario::run(&program, Duration::from_millis(300), 5, Some(plant)).expect("it runs");
        assert!(report.broken.iter().any(|b| b.contains(words)), "{plant}: {:?}", report.broken.first());
    }
}
