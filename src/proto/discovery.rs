//! Discovery's watch: an HTTP response that stays open and carries endpoint lists as JSON objects, one a line.

use super::http::{HttpError, ResponseReader};
use crate::coordinator::{EndpointUpdate, NodeEndpoint};
use crate::interface::{EndpointListKind, EndpointState};
use crate::time::{monotonic_start, Micros};
use serde::Deserialize;

/// The most bytes of one line: a complete list of a fleet far larger than any served.
const MAX_LINE: usize = 1024 * 1024;
/// The status of a watch that was accepted.
const STATUS_OK: u16 = 200;

/// An endpoint list as discovery writes it.
#[derive(Deserialize)]
#[serde(expecting = "struct Listing")]
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
#[serde(expecting = "struct Target")]
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
    /// The revision.
    pub revision: u64,
    /// The endpoints that it names.
    pub update: EndpointUpdate,
}

/// Why a text is no endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// Not JSON, or not of the list's form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// An endpoint is in a state that is not known here.
    #[error("unknown state {0:?}")]
    UnknownState(String),
    /// The next message came before the list was complete.
    #[error("a list without its end")]
    Truncated,
}

/// Why a watch cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is not HTTP.
    #[error("Http({0:?})")]
    Http(HttpError),
    /// Discovery answered with another status than 200.
    #[error("Status({0})")]
    Status(u16),
    /// A line is no endpoint list.
    #[error("Line({:?})", .0.to_string())]
    List(#[from] EndpointListError),
}

/// The moment at which a list is read, on the monotonic and on the wall clock.
#[derive(Debug, Clone, Copy)]
struct ReadTime {
    now: Micros,
    unix_now_ms: u64,
}

/// Reads an endpoint list that was cached by an earlier process. `now` and `unix_now_ms` are the same moment on the
/// monotonic and on the wall clock.
///
/// # Errors
/// If the text is not one complete list, or names an unknown state.
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
        .map(|e| to_node(e, read_at))
        .collect::<Result<_, _>>()?;
    let update = EndpointUpdate {
        kind,
        version: Some(revision),
        endpoints,
    };
    Ok(EndpointListUpdate { revision, update })
}

fn to_node(
    endpoint: EndpointMessage,
    read_at: ReadTime,
) -> Result<NodeEndpoint, EndpointListError> {
    Ok(NodeEndpoint {
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

/// Zones are named by letters, from `a` on.
fn zone_number(zone: &str) -> u16 {
    zone.bytes()
        .next()
        .map_or(0, |letter| u16::from(letter.saturating_sub(b'a')))
}

/// The complete lists at the front of a text.
#[derive(Default)]
struct ParsedLists {
    updates: Vec<EndpointListUpdate>,
    /// How many bytes of the text they take.
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

/// Reads the complete lists at the front of what was received. A list stands on one line or is indented over several: it is
/// complete where its object ends, whether or not the line has ended, since a watch may be reset in between. No list
/// contains an empty line, which is what discovery sends while nothing changes: a list that was cut off would otherwise be
/// waited for as long as the watch lives.
fn parse_lists(text: &[u8], read_at: ReadTime) -> Result<ParsedLists, EndpointListError> {
    let lines_end = text
        .iter()
        .rposition(|b| *b == b'\n')
        .map_or(0, |at| at + 1);
    let mut parsed = parse_ended_lines(&text[..lines_end], read_at)?;
    let unfinished = text[parsed.consumed..lines_end].trim_ascii_start();
    let consumed_before = parsed.consumed;
    parse_open_line(text, &mut parsed, read_at)?;
    if parsed.consumed == consumed_before && has_empty_line(unfinished) {
        return Err(EndpointListError::Truncated);
    }
    Ok(parsed)
}

/// Reads lists from lines that have all ended, up to one that is incomplete.
fn parse_ended_lines(lines: &[u8], read_at: ReadTime) -> Result<ParsedLists, EndpointListError> {
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

/// Reads lists from what follows, up to a line that has not ended. Only complete lists are recognized there: one that is
/// split within a number looks malformed, so errors are ignored.
fn parse_open_line(
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

/// Whether a line that has ended is empty; the first one begins with a list.
fn has_empty_line(lines: &[u8]) -> bool {
    lines
        .split(|b| *b == b'\n')
        .rev()
        .skip(1)
        .any(|line| line.trim_ascii().is_empty())
}

/// What a watch has brought since it was last advanced.
#[derive(Debug)]
pub struct WatchProgress {
    /// The lists that are complete, in order.
    pub updates: Vec<EndpointListUpdate>,
    /// Whether the response has ended.
    pub ended: bool,
}

/// The response to one watch.
#[derive(Debug)]
pub struct WatchResponse {
    /// Reads the response as it arrives.
    pub reader: ResponseReader,
}

impl Default for WatchResponse {
    fn default() -> Self {
        WatchResponse {
            reader: ResponseReader::new(MAX_LINE),
        }
    }
}

impl WatchResponse {
    /// The request that opens a watch on what came after the revision `since`.
    #[must_use]
    pub fn request(host: &str, since: u64) -> String {
        format!("GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n")
    }

    /// Processes what was read. `now` and `unix_now_ms` are the same moment on the monotonic and on the wall clock.
    ///
    /// # Errors
    /// If the response is not HTTP, has another status than 200, or contains something else than endpoint lists.
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
