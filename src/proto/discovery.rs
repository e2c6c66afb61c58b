//! Discovery's watch: an answer that stays open and holds one JSON object a line.

use super::http::{HttpError, ResponseReader};
use crate::coordinator::{EndpointUpdate, Node};
use crate::interface::{EndpointListKind, EndpointState};
use crate::time::{started_at, Micros};
use serde::Deserialize;

/// Most bytes of one line: a whole list of a fleet far larger than any served.
const MAX_LINE: usize = 1024 * 1024;

#[derive(Deserialize)]
struct Listing {
    rev: u64,
    #[serde(default)]
    all: bool,
    #[serde(default)]
    targets: Vec<Target>,
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    pod_group: u16,
    state: String,
    #[serde(default)]
    boot_ms: u64,
}

/// A list with its version.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointListUpdate {
    /// The version.
    pub revision: u64,
    /// What it says.
    pub update: EndpointUpdate,
}

/// What is wrong with a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchError {
    /// Not HTTP.
    Http(HttpError),
    /// Another status than 200.
    Status(u16),
    /// A line that is no list.
    Line(String),
}

/// Reads one list. `now` and `unix_now_ms` are one moment on the two clocks.
pub fn parse_endpoint_list(
    text: &[u8],
    cached: bool,
    now: Micros,
    unix_now_ms: u64,
) -> Result<EndpointListUpdate, String> {
    read(serde_json::from_slice(text).map_err(|e| e.to_string())?, cached, now, unix_now_ms)
}

fn read(listing: Listing, cached: bool, now: Micros, unix_now_ms: u64) -> Result<EndpointListUpdate, String> {
    let node = |t: Target| {
        Ok(Node {
            name: t.uid.into(),
            address: t.endpoint.into(),
            zone: t.az.bytes().next().map_or(0, |b| u16::from(b.saturating_sub(b'a'))),
            cell: t.pod_group,
            shards: None,
            state: match t.state.as_str() {
                "in_service" => EndpointState::Ready,
                "terminating" => EndpointState::Draining,
                "terminated" => EndpointState::Removed,
                other => return Err(format!("unknown state {other:?}")),
            },
            started: started_at(t.boot_ms, unix_now_ms, now),
        })
    };
    let kind = match (cached, listing.all) {
        (true, _) => EndpointListKind::Cached,
        (_, true) => EndpointListKind::Full,
        _ => EndpointListKind::Delta,
    };
    let nodes = listing.targets.into_iter().map(node).collect::<Result<_, String>>()?;
    let roster = EndpointUpdate { kind, version: Some(listing.rev), nodes };
    Ok(EndpointListUpdate { revision: listing.rev, update: roster })
}

/// The lists that are whole at the front of what came, and how many bytes they took. A list stands on one line, or is
/// indented over several: its end is where its object ends, whether or not the line's end has come yet, for a watch may be
/// reset in between. None has an empty line in it, for that is what discovery says
/// while nothing changes: a list that was cut off would else be waited for as long as the watch lives.
fn lists(text: &[u8], now: Micros, unix_now_ms: u64) -> Result<(Vec<EndpointListUpdate>, usize), String> {
    let whole = text.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
    let mut objects = serde_json::Deserializer::from_slice(&text[..whole]).into_iter::<Listing>();
    let (mut news, mut used) = (Vec::new(), 0);
    let begun = loop {
        match objects.next() {
            None => {
                used = whole;
                break &[][..];
            }
            Some(Ok(listing)) => news.push(read(listing, false, now, unix_now_ms)?),
            Some(Err(e)) if e.is_eof() => break text[used..whole].trim_ascii_start(),
            Some(Err(e)) => return Err(e.to_string()),
        }
        used = objects.byte_offset();
    };
    // Of a line that has not ended nothing but whole lists can be told: cut within a number it looks malformed.
    let mut objects = serde_json::Deserializer::from_slice(&text[used..]).into_iter::<Listing>();
    let mut further = 0;
    while let Some(Ok(listing)) = objects.next() {
        news.push(read(listing, false, now, unix_now_ms)?);
        further = objects.byte_offset();
    }
    if further > 0 {
        return Ok((news, used + further));
    }
    if begun.split(|b| *b == b'\n').rev().skip(1).any(|line| line.trim_ascii().is_empty()) {
        return Err("a list without its end".to_owned());
    }
    Ok((news, used))
}

/// One watch.
#[derive(Debug)]
pub struct Watch {
    /// The answer as it comes.
    pub reader: ResponseReader,
}

impl Default for Watch {
    fn default() -> Self {
        Watch { reader: ResponseReader::new(MAX_LINE) }
    }
}

impl Watch {
    /// The request that starts it.
    pub fn request(host: &str, since: u64) -> String {
        format!("GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n")
    }

    /// Takes in what was read: the lists that are whole, and whether the watch has ended.
    pub fn advance(
        &mut self,
        now: Micros,
        unix_now_ms: u64,
    ) -> Result<(Vec<EndpointListUpdate>, bool), WatchError> {
        let ended = self.reader.advance().map_err(WatchError::Http)?;
        if let Some(status) = self.reader.head().map(|h| h.status).filter(|s| *s != 200) {
            return Err(WatchError::Status(status));
        }
        let (news, used) = lists(&self.reader.body, now, unix_now_ms).map_err(WatchError::Line)?;
        self.reader.body.drain(..used);
        Ok((news, ended))
    }
}

#[cfg(test)]
mod tests;
