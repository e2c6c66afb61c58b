//! A stand-in feature server (OGC API - Features, Part 1): pages of a collection by `limit` and
//! `offset`, on connections that stay open. It declares neither filters nor sorting.

use crate::record::{lock, Record};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The most features of one page.
const MAX_PAGE: usize = 100;

/// What a server holds and how it works.
pub struct FeatureServerRules {
    /// Its name in the record.
    pub name: String,
    /// The names of its collections.
    pub collections: Vec<String>,
    /// The number of features of each collection.
    pub features: usize,
    /// A property of all its features.
    pub tag: String,
    /// The work of one page.
    pub work: Duration,
    /// The times from and to which its queue is full, so that it turns every request away.
    pub queue_full: Vec<(Duration, Duration)>,
}

/// A request that a server received.
#[derive(Clone)]
pub struct Received {
    /// The time of its first byte.
    pub at: Duration,
    /// Its path and query.
    pub target: String,
    /// The status of the response.
    pub status: u16,
}

/// A running server.
#[derive(Clone)]
pub struct FeatureServer {
    /// Its port.
    pub port: u16,
    rules: Arc<FeatureServerRules>,
    record: Arc<Record>,
    received: Arc<Mutex<Vec<Received>>>,
}

impl FeatureServer {
    /// Starts a server on a free port.
    pub fn start(rules: FeatureServerRules, record: &Arc<Record>) -> io::Result<FeatureServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = FeatureServer {
            port: listener.local_addr()?.port(),
            rules: Arc::new(rules),
            record: record.clone(),
            received: Arc::default(),
        };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Returns what the server has received and answered so far.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.received).clone()
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        let mut first_byte_at = None;
        loop {
            if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                bytes.drain(..end + 4);
                let at = first_byte_at.take().unwrap_or_else(|| self.record.now());
                let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
                self.answer(&mut stream, at, target)?;
                continue;
            }
            let mut chunk = [0; 4096];
            let length = stream.read(&mut chunk)?;
            if length == 0 {
                return Ok(());
            }
            first_byte_at.get_or_insert_with(|| self.record.now());
            bytes.extend_from_slice(&chunk[..length]);
        }
    }

    fn answer(&self, stream: &mut TcpStream, at: Duration, target: String) -> io::Result<()> {
        let (status, body) = self.response(&target);
        if status == 200 {
            std::thread::sleep(self.rules.work);
        }
        let length = body.len();
        let response = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/geo+json\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(response.as_bytes())?;
        let name = &self.rules.name;
        self.record
            .note(format!("server {name}: {status} to {target}"));
        lock(&self.received).push(Received { at, target, status });
        Ok(())
    }

    fn response(&self, target: &str) -> (u16, String) {
        let now = self.record.now();
        let is_within = |(from, to): &(Duration, Duration)| *from <= now && now < *to;
        if self.rules.queue_full.iter().any(is_within) {
            return (429, "{}".to_owned());
        }
        if target == "/conformance" {
            let core = "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core";
            return (200, format!("{{\"conformsTo\":[\"{core}\"]}}"));
        }
        let path = target.split('?').next().unwrap_or_default();
        let collection = path
            .strip_prefix("/collections/")
            .and_then(|rest| rest.strip_suffix("/items"));
        match collection {
            Some(name) if self.rules.collections.iter().any(|held| held == name) => {
                (200, self.page(name, path, target))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, collection: &str, path: &str, target: &str) -> String {
        let number = |name| parameter(target, name).and_then(|text| text.parse().ok());
        let limit = number("limit").unwrap_or(10).clamp(1, MAX_PAGE);
        let start = number("offset").unwrap_or(0).min(self.rules.features);
        let end = (start + limit).min(self.rules.features);
        let tag = &self.rules.tag;
        let feature = |index: usize| {
            let position = index as f64 / 10_000.0;
            format!(
                "{{\"type\":\"Feature\",\"id\":\"{collection}-{index:05}\",\
                 \"geometry\":{{\"type\":\"Point\",\"coordinates\":[{},{}]}},\
                 \"properties\":{{\"volts\":{},\"tag\":\"{tag}\"}}}}",
                -120.0 + position,
                38.0 + position,
                220 + index * 7 % 20
            )
        };
        let features: Vec<String> = (start..end).map(feature).collect();
        let mut links = String::new();
        if end < self.rules.features {
            let bbox = parameter(target, "bbox").map(|bbox| format!("&bbox={bbox}"));
            let bbox = bbox.unwrap_or_default();
            links = format!(
                "{{\"rel\":\"next\",\"href\":\"{path}?limit={limit}&offset={end}{bbox}\"}}"
            );
        }
        format!(
            "{{\"type\":\"FeatureCollection\",\"links\":[{links}],\"features\":[{}]}}",
            features.join(",")
        )
    }
}

/// Returns the text of a parameter of a request's target.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query.split('&').find_map(|pair| {
        let (found, value) = pair.split_once('=')?;
        (found == name).then_some(value)
    })
}
