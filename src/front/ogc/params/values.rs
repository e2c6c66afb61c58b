//! Parsing of parameter values that do not depend on other parameters.

use super::super::crs::Crs;
use super::RequestError;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Maximum number of names in the parameter `properties`.
const MAX_PROPERTIES: usize = 200;
/// Length of a date such as `2026-12-01`, in characters.
const DATE_LENGTH: usize = 10;

/// Parses a limit. A limit above `max_limit` is reduced to it instead of rejected: the response
/// then has a `next` link to the remaining features.
pub(super) fn parse_limit(value: &str, max_limit: usize) -> Result<usize, RequestError> {
    let limit = value.parse::<usize>().ok().filter(|limit| *limit > 0);
    Ok(limit.ok_or(RequestError::InvalidLimit)?.min(max_limit))
}

/// Parses the identifier of a coordinate reference system in parameter `name`.
pub(super) fn parse_crs(name: &str, value: &str) -> Result<Crs, RequestError> {
    let unsupported = || RequestError::UnsupportedCrs {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    Crs::parse(value).ok_or_else(unsupported)
}

/// Parses the names of properties, which are separated by commas.
pub(super) fn parse_properties(value: &str) -> Result<Vec<String>, RequestError> {
    let names: Vec<String> = value
        .split(',')
        .map(|name| name.trim().to_owned())
        .collect();
    if names.iter().any(String::is_empty) || names.len() > MAX_PROPERTIES {
        return Err(RequestError::InvalidProperties);
    }
    Ok(names)
}

/// Checks a time or an interval (OGC API - Features, Part 1, 7.15.4) and returns it unchanged.
pub(super) fn check_datetime(value: &str) -> Result<String, RequestError> {
    match value.split_once('/') {
        None => {
            parse_instant(value)?;
        }
        Some((from, to)) => match (parse_interval_end(from)?, parse_interval_end(to)?) {
            (None, None) => return Err(RequestError::UnboundedInterval),
            (Some(from), Some(to)) if from > to => return Err(RequestError::ReversedInterval),
            _ => {}
        },
    }
    Ok(value.to_owned())
}

/// Parses the start or the end of an interval; `None` means that it is unbounded.
fn parse_interval_end(text: &str) -> Result<Option<OffsetDateTime>, RequestError> {
    match text {
        "" | ".." => Ok(None),
        text => parse_instant(text).map(Some),
    }
}

/// Parses an RFC 3339 time; a date stands for midnight UTC at its start.
fn parse_instant(text: &str) -> Result<OffsetDateTime, RequestError> {
    let timestamp = if text.len() == DATE_LENGTH {
        format!("{text}T00:00:00Z")
    } else {
        text.to_owned()
    };
    OffsetDateTime::parse(&timestamp, &Rfc3339)
        .map_err(|_| RequestError::InvalidDatetime(text.to_owned()))
}
