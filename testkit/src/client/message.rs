//! Requests and responses.

use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A header of a request.
#[derive(Debug, Clone, Copy)]
pub struct Header<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its value.
    pub value: &'a str,
}

impl<'a> Header<'a> {
    /// A header of this name and value.
    #[must_use]
    pub const fn new(name: &'a str, value: &'a str) -> Self {
        Header { name, value }
    }
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// Headers beside `Host` and `Content-Length`.
    pub headers: &'a [Header<'a>],
    /// Its body; none if it is empty.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// A request without a body.
    #[must_use]
    pub const fn new(method: &'a str, target: &'a str, headers: &'a [Header<'a>]) -> Self {
        Request { method, target, headers, body: &[] }
    }

    /// The bytes that are sent.
    pub(super) fn to_bytes(self, host: SocketAddr) -> Vec<u8> {
        let Request { method, target, headers, body } = self;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
        for Header { name, value } in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), body].concat()
    }
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its headers, by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Its body, decompressed.
    pub body: Vec<u8>,
    /// Bytes of the body as it was transferred.
    pub encoded_length: usize,
}

impl Response {
    /// Its body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> Json {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Its body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header's value; empty if there is none of this name, which is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The ids of its features, in order.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        let json = self.json();
        json["features"].as_array().map(|list| list.iter().map(feature_id).collect()).unwrap_or_default()
    }

    /// The target (path and query) of its link with this relation.
    #[must_use]
    pub fn link(&self, relation: &str) -> Option<String> {
        let json = self.json();
        let links = json["links"].as_array()?;
        let href = links.iter().find(|link| link["rel"] == relation)?["href"].as_str()?;
        Some(target_of(href))
    }
}

/// A feature's id as text.
#[must_use]
pub fn feature_id(feature: &Json) -> String {
    match &feature["id"] {
        Json::String(id) => id.clone(),
        id => id.to_string(),
    }
}

/// The path and query of a URL; a path is returned as it is.
#[must_use]
pub fn target_of(href: &str) -> String {
    match href.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/".to_owned(), |at| rest[at..].to_owned()),
        None => href.to_owned(),
    }
}
