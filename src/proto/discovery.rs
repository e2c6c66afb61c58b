//! Discovery's watch: an answer that stays open and holds one JSON object a line.

use super::http::{HttpError, ResponseReader};
use crate::core::{Node, Roster};
use crate::interface::{ListKind, MemberState};
use crate::time::{started_at, Micros};
use serde::Deserialize;

/// Most bytes of one line: a whole list of a fleet far larger than any served.
const MOST_LINE: usize = 1024 * 1024;

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
pub struct News {
    /// The version.
    pub rev: u64,
    /// What it says.
    pub roster: Roster,
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
pub fn read_listing(text: &[u8], cached: bool, now: Micros, unix_now_ms: u64) -> Result<News, String> {
    let listing: Listing = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let node = |t: Target| {
        Ok(Node {
            name: t.uid.into(),
            address: t.endpoint.into(),
            zone: t.az.bytes().next().map_or(0, |b| u16::from(b.saturating_sub(b'a'))),
            cell: t.pod_group,
            shards: None,
            state: match t.state.as_str() {
                "in_service" => MemberState::Ready,
                "terminating" => MemberState::Draining,
                "terminated" => MemberState::Gone,
                other => return Err(format!("unknown state {other:?}")),
            },
            started: started_at(t.boot_ms, unix_now_ms, now),
        })
    };
    let kind = match (cached, listing.all) {
        (true, _) => ListKind::Cached,
        (_, true) => ListKind::Full,
        _ => ListKind::Delta,
    };
    let nodes = listing.targets.into_iter().map(node).collect::<Result<_, String>>()?;
    Ok(News { rev: listing.rev, roster: Roster { kind, nodes } })
}

/// One watch.
#[derive(Debug)]
pub struct Watch {
    /// The answer as it comes.
    pub reader: ResponseReader,
}

impl Default for Watch {
    fn default() -> Self {
        Watch { reader: ResponseReader::new(MOST_LINE) }
    }
}

impl Watch {
    /// The request that starts it.
    pub fn request(host: &str, since: u64) -> String {
        format!("GET /discovery/hosts?follow=1&since={since} HTTP/1.1\r\nHost: {host}\r\n\r\n")
    }

    /// Takes in what was read: the lists that are whole, and whether the watch has ended.
    pub fn advance(&mut self, now: Micros, unix_now_ms: u64) -> Result<(Vec<News>, bool), WatchError> {
        let ended = self.reader.advance().map_err(WatchError::Http)?;
        if let Some(status) = self.reader.head().map(|h| h.status).filter(|s| *s != 200) {
            return Err(WatchError::Status(status));
        }
        let mut news = Vec::new();
        let body = &mut self.reader.body;
        let whole = body.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
        for line in body[..whole].split(|b| *b == b'\n').map(<[u8]>::trim_ascii).filter(|l| !l.is_empty()) {
            news.push(read_listing(line, false, now, unix_now_ms).map_err(WatchError::Line)?);
        }
        body.drain(..whole);
        Ok((news, ended))
    }
}
