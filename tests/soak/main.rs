//! A soak of starts, reloads and ends on real sockets, with clients, data nodes, feature servers and
//! discovery that misbehave. Each seed draws a script; a checker judges the recorded history.
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

/// The seeds that run with the other tests.
const SEEDS_IN_CI: u64 = 6;
/// The first of them.
const FIRST_SEED_IN_CI: u64 = 1;

/// Returns a number from the environment.
fn number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable);
    text.map_or(default, |text| text.parse().expect("a number"))
}

#[test]
fn every_rule_holds_through_starts_reloads_and_ends() {
    let first = number("SOAK_FIRST_SEED", FIRST_SEED_IN_CI);
    let seeds = number("SOAK_SEEDS", SEEDS_IN_CI);
    let mut report = Report::default();
    for seed in first..first + seeds {
        let script = Script::draw(seed);
        let history = run::play(&script);
        let violations = checker::violations(&history);
        report.add(&script, &history, &violations);
    }
    report.print();
    assert_eq!(report.failed_seeds, Vec::<u64>::new());
    assert!(
        report.has_requests_of_every_class(),
        "a class without requests"
    );
}
