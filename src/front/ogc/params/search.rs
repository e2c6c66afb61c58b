//! Parsing of the body of a search (STAC API, Item Search, `POST /search`).

use super::super::cql2::{self, Filter, Queryables};
use super::super::crs::Crs;
use super::bbox::bbox_to_crs84;
use super::filter::prepare_filter;
use super::sorting::parse_sort_list;
use super::{values, LimitRules, Params, RequestError};
use serde_json::Value as Json;

/// A search in a collection.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// Collection that is searched.
    pub collection: String,
    /// Parameters of the query.
    pub params: Params,
}

/// Parses the body of a search as JSON.
///
/// # Errors
///
/// Fails if the body is not JSON.
pub fn parse_search_body(body: &[u8]) -> Result<Json, RequestError> {
    serde_json::from_slice(body).map_err(RequestError::MalformedBody)
}

/// Returns the only element of the member `collections` in the body of a search.
///
/// # Errors
///
/// Fails if the member is missing or is not a list of exactly one name.
pub fn search_collection(body: &Json) -> Result<String, RequestError> {
    let collections = body["collections"]
        .as_array()
        .ok_or(RequestError::CollectionsNotList)?;
    match collections.as_slice() {
        [Json::String(collection)] => Ok(collection.clone()),
        _ => Err(RequestError::InvalidCollectionCount),
    }
}

/// Parses the body of a search; `queryables_of` returns the queryables of a collection, or `None`
/// if there is no such collection.
///
/// # Errors
///
/// Fails if a member is unknown or malformed.
pub fn parse_search(
    body: &Json,
    queryables_of: impl Fn(&str) -> Option<Queryables>,
    limits: LimitRules,
) -> Result<Search, RequestError> {
    let members = body.as_object().ok_or(RequestError::BodyNotObject)?;
    let collection = search_collection(body)?;
    let queryables = queryables_of(&collection)
        .ok_or_else(|| RequestError::UnknownCollection(collection.clone()))?;
    let filter_crs = match members.get("filter-crs") {
        None => Crs::Crs84,
        Some(value) => values::parse_crs("filter-crs", member_text("filter-crs", value)?)?,
    };
    let mut params = Params::unconditional(limits);
    for (name, value) in members {
        match name.as_str() {
            "collections" | "filter-crs" => {}
            "limit" => params.limit = values::parse_limit(&value.to_string(), limits.max_limit)?,
            "bbox" => params.bbox = Some(parse_bbox(value)?),
            "datetime" => {
                params.datetime = Some(values::check_datetime(member_text(name, value)?)?)
            }
            "filter-lang" if value == "cql2-json" || value == "cql2-text" => {}
            "filter-lang" => {
                return Err(RequestError::UnsupportedFilterLanguage(value.to_string()))
            }
            "filter" => params.filter = Some(parse_filter(value, filter_crs, &queryables)?),
            "sortby" => params.sortby = parse_sort_list(value, &queryables)?,
            "crs" => params.crs = values::parse_crs(name, member_text(name, value)?)?,
            "token" => params.cursor = Some(member_text(name, value)?.to_owned()),
            other => return Err(RequestError::UnknownMember(other.to_owned())),
        }
    }
    Ok(Search { collection, params })
}

/// Returns the string value of member `name`.
fn member_text<'a>(name: &str, value: &'a Json) -> Result<&'a str, RequestError> {
    value
        .as_str()
        .ok_or_else(|| RequestError::MemberNotText(name.to_owned()))
}

fn parse_bbox(value: &Json) -> Result<Vec<f64>, RequestError> {
    let numbers = value
        .as_array()
        .and_then(|list| list.iter().map(Json::as_f64).collect::<Option<_>>());
    bbox_to_crs84(numbers.ok_or(RequestError::BboxNotNumeric)?, Crs::Crs84)
}

/// Parses a filter: a JSON string as CQL2 text, any other value as CQL2 JSON.
fn parse_filter(value: &Json, crs: Crs, queryables: &Queryables) -> Result<Filter, RequestError> {
    let mut filter = match value.as_str() {
        Some(text) => cql2::parse_text(text)?,
        None => cql2::from_json(value)?,
    };
    prepare_filter(&mut filter, crs, queryables)?;
    Ok(filter)
}
