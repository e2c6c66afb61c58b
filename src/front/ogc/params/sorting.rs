//! Parsing of sort keys.

use super::super::cql2::{QueryableType, Queryables};
use super::super::paging::SortKey;
use super::RequestError;
use serde_json::Value as Json;

/// Maximum number of sort keys in a query.
const MAX_SORT_KEYS: usize = 8;

/// Parses the sort keys of the parameter `sortby`: names separated by commas, each with a minus
/// sign for descending order or an optional plus sign for ascending order.
pub(super) fn parse_sortby(
    value: &str,
    queryables: &Queryables,
) -> Result<Vec<SortKey>, RequestError> {
    check_sort_keys(value.split(',').map(parse_key).collect(), queryables)
}

/// Parses a name with an optional sign.
fn parse_key(text: &str) -> SortKey {
    let text = text.trim();
    let (property, descending) = match text.strip_prefix('-') {
        Some(property) => (property, true),
        // Decoding turned an unescaped plus sign of the query string into a space.
        None => (text.strip_prefix('+').unwrap_or(text).trim(), false),
    };
    SortKey {
        property: property.to_owned(),
        descending,
    }
}

/// Parses the sort keys in the body of a search: objects with `field` and `direction`.
pub(super) fn parse_sort_list(
    value: &Json,
    queryables: &Queryables,
) -> Result<Vec<SortKey>, RequestError> {
    let keys = value
        .as_array()
        .and_then(|list| list.iter().map(parse_json_key).collect::<Option<_>>());
    check_sort_keys(keys.ok_or(RequestError::MalformedSortKeys)?, queryables)
}

/// Parses an object with `field` and `direction`, or returns `None` if it is malformed.
fn parse_json_key(key: &Json) -> Option<SortKey> {
    let descending = match key["direction"].as_str() {
        None | Some("asc") => false,
        Some("desc") => true,
        Some(_) => return None,
    };
    let property = key["field"]
        .as_str()?
        .trim_start_matches("properties.")
        .to_owned();
    Some(SortKey {
        property,
        descending,
    })
}

/// Returns the keys if their number is within the limits and each is a sortable property that
/// occurs once.
fn check_sort_keys(
    keys: Vec<SortKey>,
    queryables: &Queryables,
) -> Result<Vec<SortKey>, RequestError> {
    if keys.is_empty() || keys.len() > MAX_SORT_KEYS {
        return Err(RequestError::InvalidSortKeyCount { max: MAX_SORT_KEYS });
    }
    for (position, key) in keys.iter().enumerate() {
        if !is_sortable(&key.property, queryables) {
            return Err(RequestError::UnknownSortable(key.property.clone()));
        }
        if keys[..position]
            .iter()
            .any(|earlier| earlier.property == key.property)
        {
            return Err(RequestError::DuplicateSortKey(key.property.clone()));
        }
    }
    Ok(keys)
}

/// Returns whether features can be sorted by a property: by `id` and by any queryable except
/// geometries and arrays.
fn is_sortable(property: &str, queryables: &Queryables) -> bool {
    let declared = queryables.named.get(property);
    let is_unordered = matches!(
        declared,
        Some(QueryableType::Geometry | QueryableType::Array)
    );
    let is_known = queryables.open || declared.is_some() || property == "id";
    !property.is_empty() && !is_unordered && is_known
}
