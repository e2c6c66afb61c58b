//! The order in which the servers of a shard return features, and how far it is that of the query.
//!
//! The columns of a sort order are its keys and, as the last one, the identifier. Numbers have the
//! same order everywhere. Texts have not, since servers compare them by the rules of a language, and
//! neither have features without a value, which servers place first or last.

use super::column_kind::ColumnKind;
use super::sort_key::SortValues;
use std::cmp::Ordering;

/// The leading columns in whose order a shard's servers return features; empty if they do not sort
/// as the query does.
pub type AgreedColumns = Vec<ColumnKind>;

/// The order of the features that a server has returned so far.
#[derive(Debug)]
pub(super) struct ObservedOrder {
    /// The leading columns whose order can be relied on.
    agreed: AgreedColumns,
    /// The number of columns of the sort order.
    column_count: usize,
    /// The values of the feature that the server returned last, without features at the start that
    /// have no value in the first column.
    last_seen: Option<SortValues>,
}

impl ObservedOrder {
    /// Creates the order of a server that has not returned a feature.
    pub fn new(agreed: AgreedColumns, column_count: usize) -> Self {
        ObservedOrder {
            agreed,
            column_count,
            last_seen: None,
        }
    }

    /// Returns whether the order is that of the query in all columns.
    pub fn is_fully_agreed(&self) -> bool {
        self.agreed.len() == self.column_count
    }

    /// Forgets the features, since the server starts again at the first one.
    pub fn restart(&mut self) {
        self.last_seen = None;
    }

    /// Records a feature that the server returned. If it contradicts the order, the order is not
    /// relied on any longer.
    pub fn record(&mut self, values: &SortValues) {
        let has_kind = |column: usize| values.kind(column) == Some(self.agreed[column]);
        if let Some(column) = (0..self.agreed.len()).find(|column| !has_kind(*column)) {
            let is_first_value = column == 0 && self.last_seen.is_none();
            if !values.is_null(column) {
                // The declared type is wrong.
                self.agreed.clear();
            } else if is_first_value {
                // The server places features without a value first.
                return;
            } else {
                self.agreed.truncate(column);
            }
        }
        if self.is_out_of_order(values) {
            self.agreed.clear();
        }
        self.last_seen = Some(values.clone());
    }

    /// Returns whether a feature should have been returned before the last one.
    fn is_out_of_order(&self, values: &SortValues) -> bool {
        let is_before = |last: &SortValues| last.compare_columns(values, self.agreed.len()).is_gt();
        self.last_seen.as_ref().is_some_and(is_before)
    }

    /// Returns whether all features that the server has not returned yet come after a position, or
    /// at it.
    pub fn has_passed(&self, position: &SortValues) -> bool {
        let Some(seen) = self.last_seen.as_ref().filter(|_| !self.agreed.is_empty()) else {
            return false;
        };
        match seen.compare_columns(position, self.agreed.len()) {
            Ordering::Less => false,
            Ordering::Greater => true,
            // Features that are equal in the agreed columns may follow in any order.
            Ordering::Equal => self.is_fully_agreed(),
        }
    }
}
