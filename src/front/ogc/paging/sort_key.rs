//! The sort order of features: the sort keys of a query and the values that a feature has for them.

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

/// The position of a feature in the sort order: the values of its sort keys, followed by its
/// identifier and its shard, so that no two features have the same position.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SortValues {
    /// The values of the sort keys, followed by the identifier.
    pub values: Vec<Json>,
    /// For each sort key, whether the largest value comes first.
    pub descending: Arc<[bool]>,
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
        let mut values: Vec<Json> = keys.iter().map(value).collect();
        values.push(identifier(&json["id"]));
        Some(SortValues {
            values,
            descending: descending.clone(),
            shard,
        })
    }
}

/// Returns an identifier as text, because the identifiers 7 and "7" are the same in a URL.
fn identifier(id: &Json) -> Json {
    match id {
        Json::Null => Json::Null,
        Json::String(id) => Json::String(id.clone()),
        id => Json::String(id.to_string()),
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
        let pairs = self.values.iter().zip(&other.values).enumerate();
        let orders = pairs.map(|(index, (left, right))| {
            let order = compare_values(left, right);
            let descending = self.descending.get(index).copied().unwrap_or(false);
            // Missing values come last in both directions.
            if descending && !left.is_null() && !right.is_null() {
                order.reverse()
            } else {
                order
            }
        });
        orders
            .fold(Ordering::Equal, Ordering::then)
            .then(self.shard.cmp(&other.shard))
    }
}

/// Compares two values. Numbers come first, then texts in the order of their code points, then
/// booleans with false before true, then arrays and objects, which all compare as equal, then null.
fn compare_values(left: &Json, right: &Json) -> Ordering {
    match (left, right) {
        (Json::Number(left), Json::Number(right)) => {
            let left = left.as_f64().unwrap_or(f64::MAX);
            let right = right.as_f64().unwrap_or(f64::MAX);
            left.total_cmp(&right)
        }
        (Json::String(left), Json::String(right)) => left.cmp(right),
        (Json::Bool(left), Json::Bool(right)) => left.cmp(right),
        (left, right) => kind_rank(left).cmp(&kind_rank(right)),
    }
}

/// Returns the rank of a value's type in the sort order.
fn kind_rank(value: &Json) -> u8 {
    match value {
        Json::Number(_) => 0,
        Json::String(_) => 1,
        Json::Bool(_) => 2,
        Json::Array(_) | Json::Object(_) => 3,
        Json::Null => 4,
    }
}
