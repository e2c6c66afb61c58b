//! Checks of parsed filters, and conditions from parameters that are named after queryables.

use super::super::cql2::{validate, ComparisonOperator, Filter, QueryableType, Queryables, Value};
use super::super::crs::{filter_to_crs84, Crs, Transform};
use super::super::filter_bounds::is_on_globe;
use super::RequestError;

/// Checks a filter against the queryables, transforms its geometries to CRS84, and checks their
/// longitudes and latitudes.
pub(super) fn prepare_filter(
    filter: &mut Filter,
    crs: Crs,
    queryables: &Queryables,
) -> Result<(), RequestError> {
    validate(filter, queryables)?;
    if crs != Crs::Crs84 {
        let transform =
            Transform::for_crs(crs).ok_or(RequestError::UnavailableCrs("filter-crs"))?;
        filter_to_crs84(filter, &transform).ok_or(RequestError::FilterOutsideCrs)?;
    }
    if is_on_globe(filter) {
        Ok(())
    } else {
        Err(RequestError::FilterOutOfRange)
    }
}

/// Returns the condition that a queryable equals a value (OGC API - Features, Part 1, 7.15.5).
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
    let type_error = || RequestError::WrongValueType {
        name: name.to_owned(),
        value: text.to_owned(),
    };
    let value = value.ok_or_else(type_error)?;
    Ok(Filter::Compare(
        ComparisonOperator::Equal,
        Value::Property(name.to_owned()),
        value,
    ))
}
