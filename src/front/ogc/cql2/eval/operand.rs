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
pub(super) enum Operand<'a> {
    Text(Cow<'a, str>),
    Number(f64),
    Bool(bool),
    Time(TimeSpan),
    Array(Vec<Operand<'a>>),
    /// A value that can't be compared.
    Other,
}

impl<'a> Operand<'a> {
    /// Evaluates an operand; `None` is unknown.
    pub(super) fn evaluate(value: &'a Value, feature: &Feature<'a>) -> Option<Self> {
        match value {
            Value::Property(name) => feature.value(name).map(Operand::from_json),
            Value::Text(text) => Some(Operand::Text(text.as_str().into())),
            Value::Number(number) => Some(Operand::Number(*number)),
            Value::Bool(truth) => Some(Operand::Bool(*truth)),
            Value::Date(text) | Value::Timestamp(text) => parse_instant(text).map(Operand::Time),
            Value::Array(items) => {
                let items = items.iter().map(|item| Operand::evaluate(item, feature));
                items.collect::<Option<_>>().map(Operand::Array)
            }
            Value::Arithmetic(operator, left, right) => {
                let left = Operand::evaluate(left, feature)?;
                let right = Operand::evaluate(right, feature)?;
                calculate(*operator, &left, &right).map(Operand::Number)
            }
            Value::Casei(text) => match Operand::evaluate(text, feature)? {
                Operand::Text(text) => Some(Operand::Text(text.to_lowercase().into())),
                _ => None,
            },
            Value::Accenti(text) => match Operand::evaluate(text, feature)? {
                Operand::Text(text) => Some(Operand::Text(without_accents(&text).into())),
                _ => None,
            },
            Value::Interval(..) | Value::Geometry(_) | Value::Bbox(_) => None,
        }
    }

    /// Converts a value of a feature.
    fn from_json(value: &'a Json) -> Self {
        match value {
            Json::String(text) => Operand::Text(text.as_str().into()),
            Json::Number(number) => number.as_f64().map_or(Operand::Other, Operand::Number),
            Json::Bool(truth) => Operand::Bool(*truth),
            Json::Array(items) => Operand::Array(items.iter().map(Operand::from_json).collect()),
            Json::Null | Json::Object(_) => Operand::Other,
        }
    }

    /// Compares two values; `None` if they can't be compared. Times of features are texts.
    pub(super) fn compare(&self, other: &Operand<'_>) -> Option<Ordering> {
        match (self, other) {
            (Operand::Number(a), Operand::Number(b)) => a.partial_cmp(b),
            (Operand::Bool(a), Operand::Bool(b)) => Some(a.cmp(b)),
            (Operand::Time(a), Operand::Time(b)) => Some(a.from.cmp(&b.from)),
            (Operand::Time(a), Operand::Text(b)) => Some(a.from.cmp(&parse_instant(b)?.from)),
            (Operand::Text(a), Operand::Time(b)) => Some(parse_instant(a)?.from.cmp(&b.from)),
            (Operand::Text(a), Operand::Text(b)) => Some(a.cmp(b)),
            _ => None,
        }
    }

    /// Returns whether two values are equal; arrays are equal as sets.
    fn equals(&self, other: &Operand<'_>) -> bool {
        match (self, other) {
            (Operand::Array(a), Operand::Array(b)) => relates(ArrayRelation::Equals, a, b),
            (a, b) => a.compare(b) == Some(Ordering::Equal),
        }
    }
}

/// Returns whether a relation holds between two arrays as sets, regardless of order and duplicates.
pub(super) fn relates(relation: ArrayRelation, a: &[Operand<'_>], b: &[Operand<'_>]) -> bool {
    match relation {
        ArrayRelation::Equals => is_subset(a, b) && is_subset(b, a),
        ArrayRelation::Contains => is_subset(b, a),
        ArrayRelation::ContainedBy => is_subset(a, b),
        ArrayRelation::Overlaps => a.iter().any(|item| has(b, item)),
    }
}

/// Returns whether every item of `a` equals one of `b`.
fn is_subset(a: &[Operand<'_>], b: &[Operand<'_>]) -> bool {
    a.iter().all(|item| has(b, item))
}

fn has(items: &[Operand<'_>], item: &Operand<'_>) -> bool {
    items.iter().any(|other| item.equals(other))
}

/// Applies an operator to two numbers. Returns `None` if an operand is not a number, or the result
/// is not finite.
fn calculate(operator: ArithmeticOperator, left: &Operand<'_>, right: &Operand<'_>) -> Option<f64> {
    let (Operand::Number(left), Operand::Number(right)) = (left, right) else {
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

/// Returns a text without the accents of its letters (Unicode combining marks).
fn without_accents(text: &str) -> String {
    text.nfd()
        .filter(|character| !is_combining_mark(*character))
        .nfc()
        .collect()
}
