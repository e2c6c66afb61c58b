//! Conformance suite: checks over HTTP that a service meets the requirements of the abstract test
//! suites of OGC API - Features (Parts 1, 2, 3, 5) and CQL2, each under its identifier.
//!
//! The suite computes which features a filter must match by its own comparisons of the features,
//! independently of the program's filter evaluator.

mod check;
mod core;
mod crs;
mod documents;
mod encodings;
mod filter_functions;
mod filters;
mod items;
mod samples;
mod schemas;
mod suite;

pub use check::{CheckResult, Outcome};
pub use suite::{OpenError, Suite};

use check::Check;

/// Returns all checks in the order in which they run.
fn all_checks() -> impl Iterator<Item = &'static Check> {
    let check_lists = [
        core::CHECKS,
        items::CHECKS,
        encodings::CHECKS,
        crs::CHECKS,
        schemas::CHECKS,
        filters::CHECKS,
        filter_functions::CHECKS,
    ];
    check_lists.into_iter().flatten()
}
