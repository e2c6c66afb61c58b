//! HTTP requests and responses as plain data; the connection transfers them.

use super::headers::{Header, Headers};
use serde_json::Value as Json;
use std::net::SocketAddr;

/// HTTP request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query of the request.
    pub target: &'a str,
    /// Headers except `Host` and `Content-Length`, which the client sets.
    pub headers: &'a [Header<'a>],
    /// Body; if it is empty, the request has neither a body nor a `Content-Length`.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// Creates a request without a body.
    #[must_use]
    pub const fn new(method: &'a str, target: &'a str, headers: &'a [Header<'a>]) -> Self {
        Request {
            method,
            target,
            headers,
            body: &[],
        }
    }

    /// Serializes the request for a server.
    pub(super) fn to_bytes(self, host: SocketAddr) -> Vec<u8> {
        let Request {
            method,
            target,
            headers,
            body,
        } = self;
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

/// HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// Body, decompressed.
    pub body: Vec<u8>,
    /// Length of the body as transferred, in bytes.
    pub encoded_length: usize,
}

impl Response {
    /// Parses the body as JSON; returns null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Json {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the value of a header by its lower-case name; empty if the header is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).unwrap_or("")
    }

    /// Returns the ids of the features in the body, in order.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        let json = self.json();
        json["features"]
            .as_array()
            .map(|list| list.iter().map(feature_id).collect())
            .unwrap_or_default()
    }

    /// Returns the target (path and query) of the first link with this relation.
    #[must_use]
    pub fn link(&self, relation: &str) -> Option<String> {
        let json = self.json();
        let links = json["links"].as_array()?;
        let href = links.iter().find(|link| link["rel"] == relation)?["href"].as_str()?;
        Some(target_of(href))
    }
}

/// Returns the id of a feature as text.
#[must_use]
pub fn feature_id(feature: &Json) -> String {
    match &feature["id"] {
        Json::String(id) => id.clone(),
        id => id.to_string(),
    }
}

/// Returns the path and query of a URL; a path without a scheme is returned unchanged.
#[must_use]
pub fn target_of(href: &str) -> String {
    match href.split_once("://") {
        Some((_, rest)) => rest
            .find('/')
            .map_or("/".to_owned(), |start| rest[start..].to_owned()),
        None => href.to_owned(),
    }
}
