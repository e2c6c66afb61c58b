//! Parsing of the parameters of `/items` (OGC API - Features, Parts 1 to 3).

use super::super::cql2::{self, Filter};
use super::super::crs::Crs;
use super::bbox::bbox_to_crs84;
use super::filter::{prepare_filter, queryable_condition};
use super::sorting::parse_sortby;
use super::{values, ParameterRules, Params, QueryParameter, RequestError};

/// Parameters whose meaning depends on other parameters. They are collected first and parsed
/// together afterwards, since a query string may contain them in any order.
#[derive(Default)]
struct DependentParameters<'a> {
    bbox: Option<&'a str>,
    bbox_crs: Option<Crs>,
    filter: Option<&'a str>,
    filter_language: Option<&'a str>,
    filter_crs: Option<Crs>,
    /// Conditions from parameters that are named after queryables.
    conditions: Vec<Filter>,
}

/// Parses the parameters of `/items`, decoded from a query string.
///
/// # Errors
///
/// Fails if a parameter is unknown, malformed or given twice.
pub fn parse_items_query(
    parameters: &[QueryParameter],
    rules: &ParameterRules<'_>,
) -> Result<Params, RequestError> {
    let mut params = Params::unconditional(rules.limits);
    let mut dependent = DependentParameters::default();
    for (position, QueryParameter { name, value }) in parameters.iter().enumerate() {
        let mut earlier = parameters[..position].iter();
        if earlier.any(|parameter| parameter.name == *name) {
            return Err(RequestError::DuplicateParameter(name.clone()));
        }
        match name.as_str() {
            "limit" => params.limit = values::parse_limit(value, rules.limits.max_limit)?,
            "bbox" => dependent.bbox = Some(value),
            "bbox-crs" => dependent.bbox_crs = Some(values::parse_crs(name, value)?),
            "filter-crs" => dependent.filter_crs = Some(values::parse_crs(name, value)?),
            "crs" => params.crs = values::parse_crs(name, value)?,
            "datetime" => params.datetime = Some(values::check_datetime(value)?),
            "filter" => dependent.filter = Some(value),
            "filter-lang" => dependent.filter_language = Some(value),
            "sortby" => params.sortby = parse_sortby(value, rules.queryables)?,
            "properties" => params.properties = Some(values::parse_properties(value)?),
            "cursor" => params.cursor = Some(value.clone()),
            "f" => {}
            other => {
                dependent
                    .conditions
                    .push(queryable_condition(other, value, rules.queryables)?)
            }
        }
    }
    params.bbox = dependent.parse_bbox()?;
    params.filter = dependent.parse_filter(rules)?;
    Ok(params)
}

impl DependentParameters<'_> {
    fn parse_bbox(&self) -> Result<Option<Vec<f64>>, RequestError> {
        let Some(text) = self.bbox else {
            return Ok(None);
        };
        let numbers = text
            .split(',')
            .map(|number| number.trim().parse::<f64>().ok());
        let numbers = numbers
            .collect::<Option<_>>()
            .ok_or(RequestError::BboxNotNumeric)?;
        bbox_to_crs84(numbers, self.bbox_crs.unwrap_or(Crs::Crs84)).map(Some)
    }

    /// Returns the conjunction of the filter and the conditions on queryables.
    fn parse_filter(self, rules: &ParameterRules<'_>) -> Result<Option<Filter>, RequestError> {
        let mut filter = match (self.filter, self.filter_language) {
            (None, None) => None,
            (None, Some(_)) => return Err(RequestError::FilterLanguageWithoutFilter),
            (Some(text), None | Some("cql2-text")) => Some(cql2::parse_text(text)?),
            (Some(text), Some("cql2-json")) => Some(cql2::parse_json(text)?),
            (Some(_), Some(other)) => {
                return Err(RequestError::UnsupportedFilterLanguage(format!(
                    "{other:?}"
                )))
            }
        };
        if let Some(filter) = &mut filter {
            prepare_filter(
                filter,
                self.filter_crs.unwrap_or(Crs::Crs84),
                rules.queryables,
            )?;
        }
        Ok(Filter::conjunction(
            filter.into_iter().chain(self.conditions).collect(),
        ))
    }
}
