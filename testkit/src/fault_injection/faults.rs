//! Tables of the faults that can be injected, by conformance class as in [`crate::conformance`].

mod core;
mod crs;
mod encodings;
mod filters;
mod items;
mod schemas;

use super::InjectedFault;

/// Returns all faults that can be injected, each with the check that must detect it.
pub fn injected_faults() -> impl Iterator<Item = &'static InjectedFault> {
    let fault_lists = [
        core::FAULTS,
        items::FAULTS,
        encodings::FAULTS,
        crs::FAULTS,
        schemas::FAULTS,
        filters::FAULTS,
    ];
    fault_lists.into_iter().flatten()
}
