//! Discovery's watch: an answer that stays open and holds one JSON object a line.

use super::http::{HttpError, ResponseReader};
use crate::coordinator::{EndpointUpdate, NodeEndpoint};
use crate::interface::{EndpointListKind, EndpointState};
use crate::time::{monotonic_start, Micros};
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
pub struct News {
    /// The version.
    pub rev: u64,
    /// What it says.
    pub roster: EndpointUpdate,
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
    read(serde_json::from_slice(text).map_err(|e| e.to_string())?, cached, now, unix_now_ms)
}

fn read(listing: Listing, cached: bool, now: Micros, unix_now_ms: u64) -> Result<News, String> {
    let node = |t: Target| {
        Ok(NodeEndpoint {
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
            started_at: monotonic_start(t.boot_ms, unix_now_ms, now),
        })
    };
    let kind = match (cached, listing.all) {
        (true, _) => EndpointListKind::Cached,
        (_, true) => EndpointListKind::Full,
        _ => EndpointListKind::Delta,
    };
    let nodes = listing.targets.into_iter().map(node).collect::<Result<_, String>>()?;
    let roster = EndpointUpdate { kind, version: Some(listing.rev), endpoints: nodes };
    Ok(News { rev: listing.rev, roster })
}

/// The lists that are whole at the front of what came, and how many bytes they took. A list stands on one line, or is
/// indented over several: its end is where its object ends, whether or not the line's end has come yet, for a watch may be
/// reset in between. None has an empty line in it, for that is what discovery says
/// while nothing changes: a list that was cut off would else be waited for as long as the watch lives.
fn lists(text: &[u8], now: Micros, unix_now_ms: u64) -> Result<(Vec<News>, usize), String> {
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
    pub fn advance(&mut self, now: Micros, unix_now_ms: u64) -> Result<(Vec<News>, bool), WatchError> {
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
mod tests {
    use super::*;

    const LIST: &str = r#"{"rev":43,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"terminating","capacity_hint":1.25e-1}]}"#;

    /// What comes of these pieces of a watch's answer: the versions that were told, in order.
    fn told(pieces: &[&str]) -> Result<Vec<u64>, WatchError> {
        let mut watch = Watch::default();
        let mut versions = Vec::new();
        for piece in std::iter::once(&"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").chain(pieces) {
            let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
            watch.reader.input.extend(if piece.starts_with("HTTP") {
                piece.as_bytes()
            } else {
                chunk.as_bytes()
            });
            versions.extend(watch.advance(Micros::ZERO, 0)?.0.iter().map(|n| n.rev));
        }
        Ok(versions)
    }

    #[test]
    fn a_list_is_read_on_one_line_or_indented_however_it_is_cut() {
        // An indented list was no list by its first line: the watch was closed and opened for ever, and no drain was heard.
        let value: serde_json::Value = serde_json::from_str(LIST).expect("a list");
        let indented = serde_json::to_string_pretty(&value).expect("a list");
        for form in [
            format!("{LIST}\n"),
            format!("{indented}\n"),
            format!("\r\n  {}\r\n\n", indented.replace('\n', "\r\n")),
            // Reset before the line's end: what it said was not heard before the next watch.
            LIST.to_owned(),
        ] {
            assert_eq!(told(&[&form, "\n", &form]), Ok(vec![43, 43]), "{form}");
            assert_eq!(told(&[&format!("{form}{form}")]), Ok(vec![43, 43]), "{form}");
            let cut: Vec<String> = form.chars().map(String::from).collect();
            let cut: Vec<&str> = cut.iter().map(String::as_str).collect();
            assert_eq!(told(&cut), Ok(vec![43]), "{form}");
        }
    }

    #[test]
    fn a_list_that_is_cut_off_ends_the_watch_at_the_next_word_and_not_never() {
        let whole = format!("{LIST}\n");
        for cut in 1..LIST.len() {
            let begun = format!("{}\n", &LIST[..cut]);
            assert!(
                matches!(told(&[&whole, &begun, "\n"]), Err(WatchError::Line(_))),
                "then nothing new: {begun}"
            );
            assert!(
                matches!(told(&[&begun, &whole, "\n"]), Err(WatchError::Line(_))),
                "then a list: {begun}"
            );
        }
    }
}
