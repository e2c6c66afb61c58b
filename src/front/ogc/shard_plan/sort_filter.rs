//! The filter by which servers leave out features that earlier responses to a sorted query returned.
//!
//! The filter may let through features that were returned, since the merge leaves them out, but must
//! let through all others. It therefore compares only columns in whose order the servers agree, and
//! the last of them inclusively.

use super::ID_PROPERTY;
use crate::front::ogc::cql2::{flatten, ComparisonOperator, Filter, Junction, Value};
use crate::front::ogc::paging::{ColumnKind, SortKey};
use serde_json::Value as Json;

/// The largest integer up to which all integers are exact at servers, which may store numbers with
/// single precision.
const MAX_EXACT_INTEGER: f64 = (1 << 24) as f64;
/// The relative difference between a number at a server and in the JSON text of a feature, at most.
const MAX_RELATIVE_ERROR: f64 = 1e-6;

/// A column of the sort order and its value at the position after which the response starts.
struct ColumnValue<'a> {
    property: &'a str,
    descending: bool,
    value: &'a Json,
}

/// Returns a filter for the features from a position on in the order of a query. `agreed` has the
/// leading columns in whose order the servers agree, and `values` the values of all columns at the
/// position. Returns `None` if no such filter is possible.
pub(super) fn filter_from(
    keys: &[SortKey],
    agreed: &[ColumnKind],
    values: &[Json],
) -> Option<Filter> {
    let keys = keys
        .iter()
        .map(|key| (key.property.as_str(), key.descending));
    let columns = keys.chain([(ID_PROPERTY, false)]).zip(values);
    let columns: Vec<_> = columns
        .zip(agreed)
        .take_while(|((_, value), kind)| ColumnKind::of(value) == Some(**kind))
        .map(|(((property, descending), value), _)| ColumnValue {
            property,
            descending,
            value,
        })
        .collect();
    columns_from(&columns)
}

/// Returns a filter for the features from a position on in the order of these columns, or `None` if
/// there is no column or the first one has no value that can be compared.
fn columns_from(columns: &[ColumnValue<'_>]) -> Option<Filter> {
    let (column, following) = columns.split_first()?;
    let mut alternatives = match (column.exact_literal(), columns_from(following)) {
        (Some(value), Some(following)) => {
            let equal = column.compare(ComparisonOperator::Equal, value.clone());
            vec![
                column.compare(column.strictly_after(), value),
                Filter::conjunction(vec![equal, following])?,
            ]
        }
        _ => vec![column.compare(column.at_or_after(), column.bound()?)],
    };
    if column.property != ID_PROPERTY {
        alternatives.push(Filter::IsNull(column.to_property()));
    }
    Some(match alternatives.len() {
        1 => alternatives.swap_remove(0),
        _ => Filter::Or(flatten(alternatives, Junction::Or)),
    })
}

impl ColumnValue<'_> {
    fn to_property(&self) -> Value {
        Value::Property(self.property.to_owned())
    }

    fn compare(&self, operator: ComparisonOperator, value: Value) -> Filter {
        Filter::Compare(operator, self.to_property(), value)
    }

    fn strictly_after(&self) -> ComparisonOperator {
        if self.descending {
            ComparisonOperator::Less
        } else {
            ComparisonOperator::Greater
        }
    }

    fn at_or_after(&self) -> ComparisonOperator {
        if self.descending {
            ComparisonOperator::LessEqual
        } else {
            ComparisonOperator::GreaterEqual
        }
    }

    /// Returns the value as a literal that is equal to the value at the servers, or `None` if there
    /// is none.
    fn exact_literal(&self) -> Option<Value> {
        match self.value {
            Json::String(text) => Some(Value::Text(text.clone())),
            Json::Number(number) => {
                let number = number.as_f64()?;
                let is_exact = number.fract() == 0.0 && number.abs() <= MAX_EXACT_INTEGER;
                is_exact.then_some(Value::Number(number))
            }
            _ => None,
        }
    }

    /// Returns a literal that does not come after the value at the servers, or `None` if the value
    /// is neither a text nor a number.
    fn bound(&self) -> Option<Value> {
        if let Some(exact) = self.exact_literal() {
            return Some(exact);
        }
        let number = self.value.as_f64()?;
        let margin = number.abs() * MAX_RELATIVE_ERROR;
        Some(Value::Number(if self.descending {
            number + margin
        } else {
            number - margin
        }))
    }
}
