//! Values of a filter's operands for a feature, and their comparison.

use super::time_span::{parse_instant, TimeSpan};
use super::Feature;
use crate::front::ogc::cql2::{ArithmeticOperator, ArrayRelation, Value};
use serde_json::Value as Json;
use std::borrow::Cow;
use std::cmp::Ordering;
use unicode_normalization::{char::is_combining_mark, UnicodeNormalization};

/// The value of an operand for a feature.
#[derive(Debug, Clone)]
pub(super) enum EvaluatedValue<'a> {
    Text(Cow<'a, str>),
    Number(f64),
    Bool(bool),
    Time(TimeSpan),
    Array(Vec<EvaluatedValue<'a>>),
    /// A value that cannot be compared.
    Other,
}

impl<'a> EvaluatedValue<'a> {
    /// Evaluates an operand for a feature. Returns `None` if the value is unknown.
    pub(super) fn evaluate(value: &'a Value, feature: &Feature<'a>) -> Option<Self> {
        match value {
            Value::Property(name) => feature.value(name).map(EvaluatedValue::from_json),
            Value::Text(text) => Some(EvaluatedValue::Text(text.as_str().into())),
            Value::Number(number) => Some(EvaluatedValue::Number(*number)),
            Value::Bool(truth) => Some(EvaluatedValue::Bool(*truth)),
            Value::Date(text) | Value::Timestamp(text) => {
                parse_instant(text).map(EvaluatedValue::Time)
            }
            Value::Array(items) => {
                let items = items
                    .iter()
                    .map(|item| EvaluatedValue::evaluate(item, feature));
                items.collect::<Option<_>>().map(EvaluatedValue::Array)
            }
            Value::Arithmetic(operator, left, right) => {
                let left = EvaluatedValue::evaluate(left, feature)?;
                let right = EvaluatedValue::evaluate(right, feature)?;
                calculate(*operator, &left, &right).map(EvaluatedValue::Number)
            }
            Value::Casei(text) => match EvaluatedValue::evaluate(text, feature)? {
                EvaluatedValue::Text(text) => {
                    Some(EvaluatedValue::Text(text.to_lowercase().into()))
                }
                _ => None,
            },
            Value::Accenti(text) => match EvaluatedValue::evaluate(text, feature)? {
                EvaluatedValue::Text(text) => {
                    Some(EvaluatedValue::Text(without_accents(&text).into()))
                }
                _ => None,
            },
            Value::Interval(..) | Value::Geometry(_) | Value::Bbox(_) => None,
        }
    }

    /// Converts the value of a feature's property.
    fn from_json(value: &'a Json) -> Self {
        match value {
            Json::String(text) => EvaluatedValue::Text(text.as_str().into()),
            Json::Number(number) => number
                .as_f64()
                .map_or(EvaluatedValue::Other, EvaluatedValue::Number),
            Json::Bool(truth) => EvaluatedValue::Bool(*truth),
            Json::Array(items) => {
                EvaluatedValue::Array(items.iter().map(EvaluatedValue::from_json).collect())
            }
            Json::Null | Json::Object(_) => EvaluatedValue::Other,
        }
    }

    /// Compares two values by order. Returns `None` if they cannot be compared. A text can be
    /// compared with a time, since the times of features are texts.
    pub(super) fn compare(&self, other: &EvaluatedValue<'_>) -> Option<Ordering> {
        match (self, other) {
            (EvaluatedValue::Number(a), EvaluatedValue::Number(b)) => a.partial_cmp(b),
            (EvaluatedValue::Bool(a), EvaluatedValue::Bool(b)) => Some(a.cmp(b)),
            (EvaluatedValue::Time(a), EvaluatedValue::Time(b)) => Some(a.from.cmp(&b.from)),
            (EvaluatedValue::Time(a), EvaluatedValue::Text(b)) => {
                Some(a.from.cmp(&parse_instant(b)?.from))
            }
            (EvaluatedValue::Text(a), EvaluatedValue::Time(b)) => {
                Some(parse_instant(a)?.from.cmp(&b.from))
            }
            (EvaluatedValue::Text(a), EvaluatedValue::Text(b)) => Some(a.cmp(b)),
            _ => None,
        }
    }

    /// Returns whether two values are equal. Arrays are compared as sets.
    fn equals(&self, other: &EvaluatedValue<'_>) -> bool {
        match (self, other) {
            (EvaluatedValue::Array(a), EvaluatedValue::Array(b)) => {
                relates(ArrayRelation::Equals, a, b)
            }
            (a, b) => a.compare(b) == Some(Ordering::Equal),
        }
    }
}

/// Returns whether a relation holds between two arrays as sets, regardless of order and duplicates.
pub(super) fn relates(
    relation: ArrayRelation,
    a: &[EvaluatedValue<'_>],
    b: &[EvaluatedValue<'_>],
) -> bool {
    match relation {
        ArrayRelation::Equals => is_subset(a, b) && is_subset(b, a),
        ArrayRelation::Contains => is_subset(b, a),
        ArrayRelation::ContainedBy => is_subset(a, b),
        ArrayRelation::Overlaps => a.iter().any(|item| contains(b, item)),
    }
}

/// Returns whether every item of `a` equals an item of `b`.
fn is_subset(a: &[EvaluatedValue<'_>], b: &[EvaluatedValue<'_>]) -> bool {
    a.iter().all(|item| contains(b, item))
}

/// Returns whether an item equals one of `items`.
fn contains(items: &[EvaluatedValue<'_>], item: &EvaluatedValue<'_>) -> bool {
    items.iter().any(|other| item.equals(other))
}

/// Applies an operator to two numbers. Returns `None` if an operand is not a number, or the result
/// is not finite.
fn calculate(
    operator: ArithmeticOperator,
    left: &EvaluatedValue<'_>,
    right: &EvaluatedValue<'_>,
) -> Option<f64> {
    let (EvaluatedValue::Number(left), EvaluatedValue::Number(right)) = (left, right) else {
        return None;
    };
    let result = match operator {
        ArithmeticOperator::Add => left + right,
        ArithmeticOperator::Subtract => left - right,
        ArithmeticOperator::Multiply => left * right,
        ArithmeticOperator::Divide => left / right,
        ArithmeticOperator::Modulo => left % right,
        ArithmeticOperator::Div => (left / right).trunc(),
        ArithmeticOperator::Power => left.powf(*right),
    };
    result.is_finite().then_some(result)
}

/// Returns a text without accents: without combining marks, after canonical decomposition.
fn without_accents(text: &str) -> String {
    text.nfd()
        .filter(|character| !is_combining_mark(*character))
        .nfc()
        .collect()
}
