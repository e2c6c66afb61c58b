//! Evaluation of a filter on a feature: true, false, or unknown (`None`) if a required value is
//! missing or of the wrong type.

mod pattern;
mod spatial;
mod time_span;
mod value;

pub(super) use time_span::{parse_instant, TimeSpan};

use super::geometry::parse_geojson;
use super::{ArrayRelation, ComparisonOperator, Filter, Value};
use geo::Geometry;
use serde_json::Value as Json;
use std::borrow::Cow;
use std::cmp::Ordering;
use value::EvaluatedValue;

/// A feature as parsed GeoJSON.
#[derive(Debug)]
pub struct Feature<'a>(pub &'a Json);

impl<'a> Feature<'a> {
    /// Returns the property of this name; if there is none, the feature's identifier for `id`, or
    /// its geometry for a usual name of the main geometry. Returns `None` for a missing or null
    /// value.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<&'a Json> {
        let found = self.0["properties"].get(name).or_else(|| match name {
            "id" => self.0.get("id"),
            name if is_main_geometry(name) => self.0.get("geometry"),
            _ => None,
        });
        found.filter(|value| !value.is_null())
    }
}

/// Returns whether a name is one of the usual names of the main geometry.
pub(super) fn is_main_geometry(name: &str) -> bool {
    matches!(name, "geometry" | "geom")
}

/// A filter that is evaluated on features.
#[derive(Debug, Clone)]
pub struct Matcher {
    filter: Filter,
}

impl Matcher {
    /// Creates a matcher for a filter.
    #[must_use]
    pub fn new(filter: Filter) -> Self {
        Matcher { filter }
    }

    /// Returns whether the filter is true for a feature. A feature for which it is unknown doesn't
    /// match.
    #[must_use]
    pub fn matches(&self, feature: &Json) -> bool {
        evaluate(&self.filter, &Feature(feature)) == Some(true)
    }

    /// Returns whether the filter is true for a feature as JSON text. Text that is not JSON doesn't
    /// match.
    #[must_use]
    pub fn matches_text(&self, feature: &[u8]) -> bool {
        serde_json::from_slice(feature).is_ok_and(|json: Json| self.matches(&json))
    }
}

/// Returns the truth of a filter for a feature, or `None` if it is unknown.
fn evaluate(filter: &Filter, feature: &Feature<'_>) -> Option<bool> {
    match filter {
        Filter::And(children) => {
            decide(children.iter().map(|child| evaluate(child, feature)), false)
        }
        Filter::Or(children) => decide(children.iter().map(|child| evaluate(child, feature)), true),
        Filter::Not(child) => evaluate(child, feature).map(|truth| !truth),
        Filter::Constant(truth) => Some(*truth),
        Filter::Compare(operator, left, right) => {
            let left = EvaluatedValue::evaluate(left, feature)?;
            let right = EvaluatedValue::evaluate(right, feature)?;
            Some(satisfies(*operator, left.compare(&right)?))
        }
        Filter::Like(text, pattern) => is_like(text, pattern, feature),
        Filter::Between(value, low, high) => is_between(value, low, high, feature),
        Filter::In(value, items) => is_in(value, items, feature),
        Filter::IsNull(Value::Property(name)) => Some(feature.value(name).is_none()),
        Filter::IsNull(value) => Some(EvaluatedValue::evaluate(value, feature).is_none()),
        Filter::BooleanProperty(value) => match EvaluatedValue::evaluate(value, feature)? {
            EvaluatedValue::Bool(truth) => Some(truth),
            _ => None,
        },
        Filter::Spatial(relation, left, right) => {
            let left = geometry(left, feature)?;
            let right = geometry(right, feature)?;
            Some(spatial::relates(*relation, &left, &right))
        }
        Filter::Temporal(relation, left, right) => {
            let left = time_span(left, feature)?;
            let right = time_span(right, feature)?;
            Some(time_span::relates(*relation, left, right))
        }
        Filter::Array(relation, left, right) => array_relates(*relation, left, right, feature),
    }
}

/// Returns whether a text matches a pattern, or `None` if it is unknown.
fn is_like(text: &Value, pattern: &Value, feature: &Feature<'_>) -> Option<bool> {
    let text = EvaluatedValue::evaluate(text, feature)?;
    let pattern = EvaluatedValue::evaluate(pattern, feature)?;
    match (text, pattern) {
        (EvaluatedValue::Text(text), EvaluatedValue::Text(pattern)) => {
            Some(pattern::matches(&text, &pattern))
        }
        _ => None,
    }
}

/// Returns whether a value lies between two others, both included, or `None` if it is unknown.
fn is_between(value: &Value, low: &Value, high: &Value, feature: &Feature<'_>) -> Option<bool> {
    let value = EvaluatedValue::evaluate(value, feature)?;
    let low = EvaluatedValue::evaluate(low, feature)?;
    let is_above = value.compare(&low)? != Ordering::Less;
    let high = EvaluatedValue::evaluate(high, feature)?;
    Some(is_above && value.compare(&high)? != Ordering::Greater)
}

/// Returns whether a value is equal to an item of a list, or `None` if it is unknown.
fn is_in(value: &Value, items: &[Value], feature: &Feature<'_>) -> Option<bool> {
    let value = EvaluatedValue::evaluate(value, feature)?;
    let is_equal = |item| {
        let item = EvaluatedValue::evaluate(item, feature)?;
        Some(value.compare(&item)? == Ordering::Equal)
    };
    decide(items.iter().map(is_equal), true)
}

/// Returns whether a relation holds between two arrays, or `None` if it is unknown.
fn array_relates(
    relation: ArrayRelation,
    left: &Value,
    right: &Value,
    feature: &Feature<'_>,
) -> Option<bool> {
    let left = EvaluatedValue::evaluate(left, feature)?;
    let right = EvaluatedValue::evaluate(right, feature)?;
    match (left, right) {
        (EvaluatedValue::Array(left), EvaluatedValue::Array(right)) => {
            Some(value::relates(relation, &left, &right))
        }
        _ => None,
    }
}

/// Returns the truth of a conjunction (`decisive` is false) or disjunction (`decisive` is true), or
/// `None` if it is unknown. One condition with the truth `decisive` determines the result, whatever
/// the others are; otherwise it is unknown if any condition is.
fn decide(conditions: impl Iterator<Item = Option<bool>>, decisive: bool) -> Option<bool> {
    let mut is_any_unknown = false;
    for condition in conditions {
        match condition {
            Some(truth) if truth == decisive => return Some(decisive),
            Some(_) => {}
            None => is_any_unknown = true,
        }
    }
    (!is_any_unknown).then_some(!decisive)
}

/// Returns whether a comparison is true for two values in this order.
fn satisfies(operator: ComparisonOperator, order: Ordering) -> bool {
    match operator {
        ComparisonOperator::Equal => order == Ordering::Equal,
        ComparisonOperator::NotEqual => order != Ordering::Equal,
        ComparisonOperator::Less => order == Ordering::Less,
        ComparisonOperator::LessEqual => order != Ordering::Greater,
        ComparisonOperator::Greater => order == Ordering::Greater,
        ComparisonOperator::GreaterEqual => order != Ordering::Less,
    }
}

/// Returns the geometry of an operand, or `None` if it is unknown.
fn geometry<'a>(value: &'a Value, feature: &Feature<'_>) -> Option<Cow<'a, Geometry<f64>>> {
    match value {
        Value::Geometry(geometry) => Some(Cow::Borrowed(geometry)),
        Value::Property(name) => parse_geojson(feature.value(name)?).ok().map(Cow::Owned),
        Value::Bbox(bbox) => Some(Cow::Owned(spatial::bbox_geometry(bbox))),
        _ => None,
    }
}

/// Returns the time span of an operand, or `None` if it is unknown or its end is before its start.
fn time_span(value: &Value, feature: &Feature<'_>) -> Option<TimeSpan> {
    match value {
        Value::Date(text) | Value::Timestamp(text) => parse_instant(text),
        Value::Property(name) => parse_instant(feature.value(name)?.as_str()?),
        Value::Interval(from, to) => {
            let from = match from {
                None => i128::MIN,
                Some(from) => time_span(from, feature)?.from,
            };
            let to = match to {
                None => i128::MAX,
                Some(to) => time_span(to, feature)?.to,
            };
            (from <= to).then_some(TimeSpan { from, to })
        }
        _ => None,
    }
}
