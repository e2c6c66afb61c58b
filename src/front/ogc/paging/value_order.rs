//! The order of property values and of identifiers.

use crate::front::ogc::stable_hash::stable_hash;
use serde_json::{Number, Value as Json};
use std::cmp::Ordering;

/// Compares two values. Numbers come first, then texts in the order of their code points, then
/// booleans with false before true, then arrays and objects, which all compare as equal, then null.
pub(super) fn compare_values(left: &Json, right: &Json) -> Ordering {
    match (left, right) {
        (Json::Number(left), Json::Number(right)) => compare_numbers(left, right),
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

/// Compares two numbers. Integers are compared exactly, since not all of them can be represented as
/// floating-point numbers.
fn compare_numbers(left: &Number, right: &Number) -> Ordering {
    match (integer(left), integer(right)) {
        (Some(left), Some(right)) => left.cmp(&right),
        _ => {
            let left = left.as_f64().unwrap_or(f64::MAX);
            let right = right.as_f64().unwrap_or(f64::MAX);
            // JSON has no NaN, and the two zeros are equal at servers too.
            left.partial_cmp(&right).unwrap_or(Ordering::Equal)
        }
    }
}

/// Returns a number as an integer if it is written as one.
fn integer(number: &Number) -> Option<i128> {
    number
        .as_i64()
        .map(i128::from)
        .or_else(|| number.as_u64().map(i128::from))
}

/// What distinguishes a feature from others with equal sort keys: its identifier or, if it has none,
/// its content. The identifiers 7 and `"7"` are different, and numbers come before texts.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum FeatureId {
    /// An identifier that is a number.
    Number(Number),
    /// An identifier that is a text.
    Text(String),
    /// The hash of the members of a feature without an identifier.
    Content(u64),
}

impl FeatureId {
    /// Returns the identifier of a feature, or the hash of its content.
    pub fn from_feature(feature: &Json) -> Self {
        match &feature["id"] {
            Json::Number(id) => FeatureId::Number(id.clone()),
            Json::String(id) => FeatureId::Text(id.clone()),
            // Members are serialized in the order of their names.
            _ => FeatureId::Content(stable_hash(&[feature.to_string().as_bytes()])),
        }
    }

    /// Returns the identifier that [`to_json`](FeatureId::to_json) returned, or `None` for any other
    /// value.
    pub fn from_json(value: &Json) -> Option<Self> {
        match value {
            Json::Number(id) => Some(FeatureId::Number(id.clone())),
            Json::String(id) => Some(FeatureId::Text(id.clone())),
            Json::Array(hash) => Some(FeatureId::Content(hash.first()?.as_u64()?)),
            _ => None,
        }
    }

    /// Returns the identifier as a value in a cursor.
    pub fn to_json(&self) -> Json {
        match self {
            FeatureId::Number(id) => Json::Number(id.clone()),
            FeatureId::Text(id) => Json::String(id.clone()),
            FeatureId::Content(hash) => Json::Array(vec![(*hash).into()]),
        }
    }

    fn kind_rank(&self) -> u8 {
        match self {
            FeatureId::Number(_) => 0,
            FeatureId::Text(_) => 1,
            FeatureId::Content(_) => 2,
        }
    }
}

impl Ord for FeatureId {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (FeatureId::Number(left), FeatureId::Number(right)) => compare_numbers(left, right),
            (FeatureId::Text(left), FeatureId::Text(right)) => left.cmp(right),
            (FeatureId::Content(left), FeatureId::Content(right)) => left.cmp(right),
            (left, right) => left.kind_rank().cmp(&right.kind_rank()),
        }
    }
}

impl PartialOrd for FeatureId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for FeatureId {}
