//! Parsing of single parameter values.

use super::super::crs::Crs;
use super::RequestError;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// Most properties in a selection.
const MAX_PROPERTIES: usize = 200;
/// Length of a date such as `2026-12-01`, in characters.
const DATE_LENGTH: usize = 10;

/// Parses a limit. A greater one than `max_limit` is reduced to it, since the answer then has a
/// `next` link.
pub(super) fn limit(value: &str, max_limit: usize) -> Result<usize, RequestError> {
    let limit = value.parse::<usize>().ok().filter(|limit| *limit > 0);
    Ok(limit.ok_or(RequestError::Limit)?.min(max_limit))
}

/// Parses the identifier of a coordinate reference system in parameter `name`.
pub(super) fn crs(name: &str, value: &str) -> Result<Crs, RequestError> {
    let unsupported = || RequestError::UnsupportedCrs {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    Crs::parse(value).ok_or_else(unsupported)
}

/// Parses names of properties separated by commas.
pub(super) fn properties(value: &str) -> Result<Vec<String>, RequestError> {
    let names: Vec<String> = value
        .split(',')
        .map(|name| name.trim().to_owned())
        .collect();
    if names.iter().any(String::is_empty) || names.len() > MAX_PROPERTIES {
        return Err(RequestError::Properties);
    }
    Ok(names)
}

/// Checks a time or an interval (OGC API - Features, Part 1, 7.15.4) and returns it as it was
/// written.
pub(super) fn datetime(value: &str) -> Result<String, RequestError> {
    match value.split_once('/') {
        None => {
            instant(value)?;
        }
        Some((from, to)) => match (interval_end(from)?, interval_end(to)?) {
            (None, None) => return Err(RequestError::IntervalOpen),
            (Some(from), Some(to)) if from > to => return Err(RequestError::IntervalOrder),
            _ => {}
        },
    }
    Ok(value.to_owned())
}

/// Parses an end of an interval; `None` is open.
fn interval_end(text: &str) -> Result<Option<OffsetDateTime>, RequestError> {
    match text {
        "" | ".." => Ok(None),
        text => instant(text).map(Some),
    }
}

/// Parses an RFC 3339 time; a date counts as its midnight.
fn instant(text: &str) -> Result<OffsetDateTime, RequestError> {
    let full = if text.len() == DATE_LENGTH {
        format!("{text}T00:00:00Z")
    } else {
        text.to_owned()
    };
    OffsetDateTime::parse(&full, &Rfc3339).map_err(|_| RequestError::Datetime(text.to_owned()))
}
