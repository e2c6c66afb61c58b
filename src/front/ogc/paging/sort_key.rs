//! The order of features: sort keys, and the values that a feature has for them.

use serde_json::Value as Json;
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;

/// One key of the order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SortKey {
    /// The property.
    pub property: String,
    /// The largest first.
    pub descending: bool,
}

/// Sort keys in the text that cursors are bound to. Its hash is in the cursors that clients hold, so the text stays as it
/// is whatever the type and its fields are called.
pub(in crate::front::ogc) struct BoundSortKeys<'a>(pub &'a [SortKey]);

impl fmt::Debug for BoundSortKeys<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.0.iter().map(BoundSortKey)).finish()
    }
}

struct BoundSortKey<'a>(&'a SortKey);

impl fmt::Debug for BoundSortKey<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SortKey { property, descending } = self.0;
        f.debug_struct("By").field("name", property).field("descending", descending).finish()
    }
}

/// Where a feature stands in the order: the values of its keys, then its id and shard, so that no two stand alike.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct SortValues {
    /// The keys' values, the id last.
    pub values: Vec<Json>,
    /// Which of the keys put the largest value first.
    pub descending: Arc<[bool]>,
    /// The index of the feature's shard.
    pub shard: usize,
}

impl Eq for SortValues {}

impl PartialOrd for SortValues {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for SortValues {
    fn cmp(&self, other: &Self) -> Ordering {
        let keys = self.values.iter().zip(&other.values).enumerate().map(|(n, (a, b))| {
            let order = value(a, b);
            // What is missing comes last either way.
            let turned = self.descending.get(n).copied().unwrap_or(false) && !a.is_null() && !b.is_null();
            if turned {
                order.reverse()
            } else {
                order
            }
        });
        keys.fold(Ordering::Equal, Ordering::then).then(self.shard.cmp(&other.shard))
    }
}

/// Numbers, text by code points, false before true, then all that has no order; nothing at all comes last.
fn value(a: &Json, b: &Json) -> Ordering {
    let kind = |v: &Json| match v {
        Json::Number(_) => 0,
        Json::String(_) => 1,
        Json::Bool(_) => 2,
        Json::Array(_) | Json::Object(_) => 3,
        Json::Null => 4,
    };
    match (a, b) {
        (Json::Number(a), Json::Number(b)) => {
            let (a, b) = (a.as_f64().unwrap_or(f64::MAX), b.as_f64().unwrap_or(f64::MAX));
            a.total_cmp(&b)
        }
        (Json::String(a), Json::String(b)) => a.cmp(b),
        (Json::Bool(a), Json::Bool(b)) => a.cmp(b),
        (a, b) => kind(a).cmp(&kind(b)),
    }
}

/// A feature's rank. `None`: it is no JSON.
pub(super) fn rank(feature: &[u8], by: &[SortKey], down: &Arc<[bool]>, shard: usize) -> Option<SortValues> {
    let json: Json = serde_json::from_slice(feature).ok()?;
    let seen = crate::front::ogc::cql2::Feature(&json);
    let mut keys: Vec<Json> =
        by.iter().map(|b| seen.value(&b.property).cloned().unwrap_or(Json::Null)).collect();
    // Ids as text: 7 and "7" are one id in a link.
    keys.push(match &json["id"] {
        Json::Null => Json::Null,
        Json::String(id) => Json::String(id.clone()),
        id => Json::String(id.to_string()),
    });
    Some(SortValues { values: keys, descending: down.clone(), shard })
}
