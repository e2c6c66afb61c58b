//! Conformance suite: the requirements of the abstract test suites of OGC API - Features (Parts 1,
//! 2, 3, 5) and CQL2, checked from outside, each under its identifier.
//!
//! The features that a filter must match are computed here from the features themselves by plain
//! comparisons, without any code of the program.

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
