//! The sort order of features: sort keys, and the values of a feature for them.

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

/// Sort keys in the text that cursors are bound to. Cursors that clients hold contain its hash, so
/// the text must not change with the names of the type and its fields.
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

/// The position of a feature in the order: the values of the sort keys, then its identifier and
/// shard, so that no two features have the same position.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SortValues {
    /// The values of the sort keys, the identifier last.
    pub values: Vec<Json>,
    /// For each key, whether the largest value comes first.
    pub descending: Arc<[bool]>,
    /// The index of the feature's shard.
    pub shard: usize,
}

impl SortValues {
    /// Returns the position of a feature; `None` if the feature is not JSON.
    pub fn of(
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

/// Returns an identifier as text, since 7 and "7" are the same in a link.
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
            // A missing value comes last in either direction.
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

/// Compares two values: numbers come first, then texts by code points, then booleans with false
/// before true, then arrays and objects, which have no order, and null last.
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

fn kind_rank(value: &Json) -> u8 {
    match value {
        Json::Number(_) => 0,
        Json::String(_) => 1,
        Json::Bool(_) => 2,
        Json::Array(_) | Json::Object(_) => 3,
        Json::Null => 4,
    }
}
