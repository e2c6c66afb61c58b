//! The sort order of features: the sort keys of a query and the values that a feature has for them.

use super::column_kind::ColumnKind;
use super::value_order::{compare_values, FeatureId};
use crate::front::ogc::cql2::Feature;
use serde_json::Value as Json;
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// One key of a sort order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortKey {
    /// The name of the property.
    pub property: String,
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// Sort keys whose `Debug` text is a part of the text that binds a cursor to its query. Cursors
/// that clients hold contain the hash of that text, so it must stay the same when [`SortKey`] or
/// its fields are renamed.
pub(in crate::front::ogc) struct BoundSortKeys<'a>(pub &'a [SortKey]);

impl fmt::Debug for BoundSortKeys<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.0.iter().map(BoundSortKey))
            .finish()
    }
}

struct BoundSortKey<'a>(&'a SortKey);

impl fmt::Debug for BoundSortKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SortKey {
            property,
            descending,
        } = self.0;
        f.debug_struct("By")
            .field("name", property)
            .field("descending", descending)
            .finish()
    }
}

/// The position of a feature in a sort order, as a cursor contains it.
#[derive(Debug, Clone, PartialEq)]
pub struct SortPosition {
    /// The values of the sort keys, followed by the identifier.
    pub values: Vec<Json>,
    /// The index of the feature's shard.
    pub shard: usize,
}

/// The position of a feature in the sort order: the values of its sort keys, its identifier and its
/// shard, so that no two features have the same position.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SortValues {
    /// The values of the sort keys.
    keys: Vec<Json>,
    /// The identifier, or the content of a feature without one.
    id: FeatureId,
    /// For each sort key, whether the largest value comes first.
    descending: Arc<[bool]>,
    /// The index of the feature's shard.
    pub shard: usize,
}

impl SortValues {
    /// Returns the position of a feature; `None` if the feature is not JSON.
    pub fn from_feature(
        feature: &[u8],
        keys: &[SortKey],
        descending: &Arc<[bool]>,
        shard: usize,
    ) -> Option<Self> {
        let json: Json = serde_json::from_slice(feature).ok()?;
        let feature = Feature(&json);
        let value = |key: &SortKey| feature.value(&key.property).cloned().unwrap_or(Json::Null);
        Some(SortValues {
            keys: keys.iter().map(value).collect(),
            id: FeatureId::from_feature(&json),
            descending: descending.clone(),
            shard,
        })
    }

    /// Returns the position that a cursor contains, or `None` if its last value is not that of an
    /// identifier.
    pub fn from_position(position: &SortPosition, descending: &Arc<[bool]>) -> Option<Self> {
        let (id, keys) = position.values.split_last()?;
        Some(SortValues {
            keys: keys.to_vec(),
            id: FeatureId::from_json(id)?,
            descending: descending.clone(),
            shard: position.shard,
        })
    }

    /// Returns the position as a cursor contains it.
    pub fn to_position(&self) -> SortPosition {
        let id = self.id.to_json();
        SortPosition {
            values: self.keys.iter().cloned().chain([id]).collect(),
            shard: self.shard,
        }
    }

    /// Returns the kind of the value in a column, or `None` if it has none or it is neither a number
    /// nor a text.
    pub fn kind(&self, column: usize) -> Option<ColumnKind> {
        match (self.keys.get(column), &self.id) {
            (Some(value), _) => ColumnKind::of(value),
            (None, FeatureId::Number(_)) => Some(ColumnKind::Number),
            (None, FeatureId::Text(_)) => Some(ColumnKind::Text),
            (None, FeatureId::Content(_)) => None,
        }
    }

    /// Returns whether a feature has no value in a column.
    pub fn is_null(&self, column: usize) -> bool {
        match self.keys.get(column) {
            Some(value) => value.is_null(),
            None => matches!(self.id, FeatureId::Content(_)),
        }
    }

    /// Compares the values of the first `columns` columns.
    pub fn compare_columns(&self, other: &Self, columns: usize) -> Ordering {
        let keys = self.keys.iter().zip(&other.keys).zip(&*self.descending);
        let key_order = keys
            .take(columns)
            .map(|((left, right), descending)| compare_key(left, right, *descending))
            .fold(Ordering::Equal, Ordering::then);
        if columns <= self.keys.len() {
            return key_order;
        }
        key_order.then_with(|| self.id.cmp(&other.id))
    }
}

/// Compares two values of a sort key. Missing values come last in both directions.
fn compare_key(left: &Json, right: &Json, descending: bool) -> Ordering {
    let order = compare_values(left, right);
    if descending && !left.is_null() && !right.is_null() {
        order.reverse()
    } else {
        order
    }
}

impl Eq for SortValues {}

impl PartialOrd for SortValues {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SortValues {
    fn cmp(&self, other: &Self) -> Ordering {
        let all_columns = self.keys.len() + 1;
        self.compare_columns(other, all_columns)
            .then(self.shard.cmp(&other.shard))
    }
}
