//! The protocol of the discovery watch: an HTTP response that stays open and carries endpoint lists,
//! each of which is a JSON object. `net::watch` owns the connection and reconnects.

use super::http::{HttpError, ResponseReader};
use crate::coordinator::{EndpointUpdate, ServerEndpoint};
use crate::interface::{EndpointListKind, EndpointState};
use crate::time::{monotonic_start, Micros};
use serde::Deserialize;

/// The maximum length of an endpoint list, in bytes. The complete list of a large fleet is far
/// shorter.
const MAX_LIST_BYTES: usize = 1024 * 1024;
/// The HTTP status with which discovery accepts a watch.
const STATUS_OK: u16 = 200;

/// An endpoint list in the format of discovery.
#[derive(Deserialize)]
#[serde(expecting = "an endpoint list")]
struct ListMessage {
    #[serde(rename = "rev")]
    revision: u64,
    #[serde(default, rename = "all")]
    complete: bool,
    #[serde(default, rename = "targets")]
    endpoints: Vec<EndpointMessage>,
}

/// One endpoint of a [`ListMessage`].
#[derive(Deserialize)]
#[serde(expecting = "an endpoint")]
struct EndpointMessage {
    #[serde(rename = "uid")]
    name: String,
    #[serde(rename = "endpoint")]
    address: String,
    #[serde(default, rename = "az")]
    zone: String,
    #[serde(default, rename = "pod_group")]
    cell: u16,
    state: String,
    #[serde(default, rename = "boot_ms")]
    started_unix_ms: u64,
}

/// An endpoint list with its revision.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListUpdate {
    /// The revision of the list.
    pub revision: u64,
    /// The endpoints in the list.
    pub update: EndpointUpdate,
}

/// The reason why a text is not an endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON, or its structure is not that of an endpoint list.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// An endpoint has an unknown state.
    #[error("unknown endpoint state {0:?}")]
    UnknownState(String),
    /// A keep-alive message arrived before the list was complete.
    #[error("endpoint list is truncated")]
    Truncated,
}

/// The reason why a watch cannot be continued.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is not valid HTTP, or an endpoint list exceeds the maximum length.
    #[error("invalid HTTP response: {0:?}")]
    Http(HttpError),
    /// Discovery responded with a status other than 200.
    #[error("unexpected HTTP status {0}")]
    Status(u16),
    /// The body of the response contains something that is not an endpoint list.
    #[error("invalid endpoint list: {:?}", .0.to_string())]
    List(#[from] EndpointListError),
}

/// The time at which a list is parsed.
#[derive(Debug, Clone, Copy)]
struct ReadTime {
    /// The time on the monotonic clock.
    now: Micros,
    /// The time on the wall clock, in milliseconds since the Unix epoch.
    unix_now_ms: u64,
}

/// Parses a cached endpoint list. `now` and `unix_now_ms` (in milliseconds) are the current time on
/// the monotonic and on the wall clock.
///
/// # Errors
/// Fails if the text is not one complete list, or if an endpoint has an unknown state.
pub fn parse_cached_endpoint_list(
    text: &[u8],
    now: Micros,
    unix_now_ms: u64,
) -> Result<EndpointListUpdate, EndpointListError> {
    let list = serde_json::from_slice(text)?;
    to_update(
        list,
        EndpointListKind::Cached,
        ReadTime { now, unix_now_ms },
    )
}

fn to_update(
    list: ListMessage,
    kind: EndpointListKind,
    read_at: ReadTime,
) -> Result<EndpointListUpdate, EndpointListError> {
    let revision = list.revision;
    let endpoints = list
        .endpoints
        .into_iter()
        .map(|e| to_server_endpoint(e, read_at))
        .collect::<Result<_, _>>()?;
    let update = EndpointUpdate {
        kind,
        version: Some(revision),
        endpoints,
    };
    Ok(EndpointListUpdate { revision, update })
}

fn to_server_endpoint(
    endpoint: EndpointMessage,
    read_at: ReadTime,
) -> Result<ServerEndpoint, EndpointListError> {
    Ok(ServerEndpoint {
        name: endpoint.name.into(),
        address: endpoint.address.into(),
        zone: zone_number(&endpoint.zone),
        cell: endpoint.cell,
        shards: None,
        state: match endpoint.state.as_str() {
            "in_service" => EndpointState::Ready,
            "terminating" => EndpointState::Draining,
            "terminated" => EndpointState::Removed,
            _ => return Err(EndpointListError::UnknownState(endpoint.state)),
        },
        started_at: monotonic_start(endpoint.started_unix_ms, read_at.unix_now_ms, read_at.now),
    })
}

/// Returns the number of a zone: the distance of the first letter of its name from `a`, or 0 for an
/// empty name.
fn zone_number(zone: &str) -> u16 {
    zone.bytes()
        .next()
        .map_or(0, |letter| u16::from(letter.saturating_sub(b'a')))
}

/// The complete lists at the beginning of a text.
#[derive(Default)]
struct ParsedLists {
    updates: Vec<EndpointListUpdate>,
    /// The length of the lists in the text, in bytes.
    consumed: usize,
}

impl ParsedLists {
    fn push(&mut self, list: ListMessage, read_at: ReadTime) -> Result<(), EndpointListError> {
        let kind = if list.complete {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        self.updates.push(to_update(list, kind, read_at)?);
        Ok(())
    }
}

/// Parses the complete lists at the beginning of the received text. A list may occupy one line, or
/// several if it is indented. It is complete at the end of its JSON object, even if the line has not
/// ended, since the connection may be reset before the line ends.
///
/// An empty line is a keep-alive message and never part of a list. An incomplete list that is followed
/// by an empty line was truncated, which is an error: otherwise the watch would wait for the end of
/// the list for as long as the connection is open.
fn parse_lists(text: &[u8], read_at: ReadTime) -> Result<ParsedLists, EndpointListError> {
    let lines_end = text
        .iter()
        .rposition(|b| *b == b'\n')
        .map_or(0, |at| at + 1);
    let mut parsed = parse_complete_lines(&text[..lines_end], read_at)?;
    let incomplete_list = text[parsed.consumed..lines_end].trim_ascii_start();
    let consumed_before = parsed.consumed;
    parse_incomplete_line(text, &mut parsed, read_at)?;
    if parsed.consumed == consumed_before && has_empty_line(incomplete_list) {
        return Err(EndpointListError::Truncated);
    }
    Ok(parsed)
}

/// Parses lists from complete lines, up to the first incomplete list.
fn parse_complete_lines(lines: &[u8], read_at: ReadTime) -> Result<ParsedLists, EndpointListError> {
    let mut objects = serde_json::Deserializer::from_slice(lines).into_iter::<ListMessage>();
    let mut parsed = ParsedLists::default();
    loop {
        match objects.next() {
            None => {
                parsed.consumed = lines.len();
                return Ok(parsed);
            }
            Some(Ok(list)) => parsed.push(list, read_at)?,
            Some(Err(e)) if e.is_eof() => return Ok(parsed),
            Some(Err(e)) => return Err(e.into()),
        }
        parsed.consumed = objects.byte_offset();
    }
}

/// Parses lists from the rest of the text, whose last line is incomplete. Ignores errors, since a
/// list that is split within a number may look malformed. What remains is parsed again when its line
/// is complete.
fn parse_incomplete_line(
    text: &[u8],
    parsed: &mut ParsedLists,
    read_at: ReadTime,
) -> Result<(), EndpointListError> {
    let start = parsed.consumed;
    let mut objects =
        serde_json::Deserializer::from_slice(&text[start..]).into_iter::<ListMessage>();
    while let Some(Ok(list)) = objects.next() {
        parsed.push(list, read_at)?;
        parsed.consumed = start + objects.byte_offset();
    }
    Ok(())
}

/// Returns whether one of the complete lines in `lines` is empty.
fn has_empty_line(lines: &[u8]) -> bool {
    lines
        .split(|b| *b == b'\n')
        .rev()
        .skip(1)
        .any(|line| line.trim_ascii().is_empty())
}

/// The result of advancing a watch.
#[derive(Debug)]
pub struct WatchProgress {
    /// The lists that were completed, in order.
    pub updates: Vec<EndpointListUpdate>,
    /// Whether the response has ended.
    pub ended: bool,
}

/// The HTTP response to a watch request.
#[derive(Debug)]
pub struct WatchResponse {
    /// The reader of the response.
    pub reader: ResponseReader,
}

impl Default for WatchResponse {
    fn default() -> Self {
        WatchResponse {
            reader: ResponseReader::new(MAX_LIST_BYTES),
        }
    }
}

impl WatchResponse {
    /// Returns the HTTP request that opens a watch for the changes after revision `since`.
    #[must_use]
    pub fn request(host: &str, since: u64) -> String {
        format!("GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n")
    }

    /// Processes the input in the reader's buffer. `now` and `unix_now_ms` (in milliseconds) are the
    /// current time on the monotonic and on the wall clock.
    ///
    /// # Errors
    /// Fails if the response is not valid HTTP, has a status other than 200, or contains anything
    /// but endpoint lists.
    pub fn advance(&mut self, now: Micros, unix_now_ms: u64) -> Result<WatchProgress, WatchError> {
        let ended = self.reader.advance().map_err(WatchError::Http)?;
        if let Some(head) = self.reader.head().filter(|head| head.status != STATUS_OK) {
            return Err(WatchError::Status(head.status));
        }
        let parsed = parse_lists(&self.reader.body, ReadTime { now, unix_now_ms })?;
        self.reader.body.drain(..parsed.consumed);
        Ok(WatchProgress {
            updates: parsed.updates,
            ended,
        })
    }
}

#[cfg(test)]
mod tests;
