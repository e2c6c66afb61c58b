//! A soak test of starts, reloads and shutdowns on real sockets. Clients, data nodes, feature
//! servers and the discovery agent have planted faults. Each seed determines a script, and a
//! checker looks for violations of the service's rules in the recorded history.
//!
//! A few seeds run with the other tests. The long run is started by hand, see docs/soak.md:
//! `SOAK_SEEDS=60 SOAK_FIRST_SEED=1 cargo test --release --locked --test soak -- --nocapture`.

mod backend;
mod checker;
mod checker_tests;
mod clients;
mod content;
mod delay;
mod history;
mod probe;
mod report;
mod response;
mod run;
mod script;
mod servers;
#[path = "../standin/mod.rs"]
mod standin;

use report::Report;
use script::Script;

/// The number of seeds that run with the other tests.
const SEEDS_IN_CI: u64 = 6;
/// The first seed that runs with the other tests.
const FIRST_SEED_IN_CI: u64 = 1;

/// Returns the number in an environment variable, or the default if the variable is not set.
fn number_from_environment(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable);
    text.map_or(default, |text| {
        text.parse().expect("the variable is a number")
    })
}

#[test]
fn no_rule_is_violated_by_starts_reloads_and_shutdowns() {
    let first = number_from_environment("SOAK_FIRST_SEED", FIRST_SEED_IN_CI);
    let seeds = number_from_environment("SOAK_SEEDS", SEEDS_IN_CI);
    let mut report = Report::default();
    for seed in first..first + seeds {
        let script = Script::draw(seed);
        let history = run::run_script(&script);
        let violations = checker::violations(&history);
        report.add(&script, &history, &violations);
    }
    report.print();
    assert_eq!(report.failed_seeds, Vec::<u64>::new());
    assert!(
        report.has_requests_of_every_class(),
        "a class has no requests"
    );
}
