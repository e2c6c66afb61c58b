//! A conformance suite: what the abstract test suites of OGC API - Features (Parts 1, 2, 3, 5) and CQL2 require, checked from
//! outside, each check under the identifier of what it checks.
//!
//! The features that a filter must match are worked out here from the features themselves, by plain comparisons: nothing of
//! the program is used for it.

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

/// All checks, in the order in which they are run.
fn all_checks() -> impl Iterator<Item = &'static Check> {
    let parts = [
        core::CHECKS,
        items::CHECKS,
        encodings::CHECKS,
        crs::CHECKS,
        schemas::CHECKS,
        filters::CHECKS,
        filter_functions::CHECKS,
    ];
    parts.into_iter().flatten()
}
