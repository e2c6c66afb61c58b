//! Preparation of parsed filters, and queryables as parameters.

use super::super::cql2::{validate, ComparisonOperator, Filter, QueryableType, Queryables, Value};
use super::super::crs::{filter_to_crs84, Crs, Transform};
use super::super::filter_bounds::is_on_globe;
use super::RequestError;

/// Checks a filter against the queryables and transforms its geometries to CRS84.
pub(super) fn prepare_filter(
    filter: &mut Filter,
    crs: Crs,
    queryables: &Queryables,
) -> Result<(), RequestError> {
    validate(filter, queryables)?;
    if crs != Crs::Crs84 {
        let transform = Transform::for_crs(crs).ok_or(RequestError::UnusableCrs("filter-crs"))?;
        filter_to_crs84(filter, &transform).ok_or(RequestError::FilterUndefined)?;
    }
    if is_on_globe(filter) {
        Ok(())
    } else {
        Err(RequestError::FilterOffGlobe)
    }
}

/// Returns the condition that a queryable has a value (OGC API - Features, Part 1, 7.15.5).
pub(super) fn queryable_condition(
    name: &str,
    text: &str,
    queryables: &Queryables,
) -> Result<Filter, RequestError> {
    let queryable = queryables.named.get(name);
    let queryable = queryable.ok_or_else(|| RequestError::UnknownParameter(name.to_owned()))?;
    let value = match queryable {
        QueryableType::Number => text
            .parse()
            .ok()
            .filter(|number: &f64| number.is_finite())
            .map(Value::Number),
        QueryableType::Bool => text.parse().ok().map(Value::Bool),
        QueryableType::Text | QueryableType::Time | QueryableType::Any => {
            Some(Value::Text(text.to_owned()))
        }
        QueryableType::Geometry | QueryableType::Array => None,
    };
    let wrong_type = || RequestError::ValueType {
        name: name.to_owned(),
        value: text.to_owned(),
    };
    let value = value.ok_or_else(wrong_type)?;
    Ok(Filter::Compare(
        ComparisonOperator::Equal,
        Value::Property(name.to_owned()),
        value,
    ))
}
