//! Helpers of the tests of the front for feature queries.

use std::ops::Range;

/// The items of the collection that most tests query.
pub const ITEMS: &str = "/collections/devices/items";

/// Returns the identifiers of the features with these numbers.
pub fn expected(ids: Range<usize>) -> Vec<String> {
    ids.map(|n| format!("d{n}")).collect()
}
