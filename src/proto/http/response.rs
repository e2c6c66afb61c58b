//! Responses to be written.

use crate::proto::body::Body;
use std::fmt::Write as _;

/// Room for a usual head, in bytes.
const HEAD_CAPACITY: usize = 160;

/// A header of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHeader {
    /// The name.
    pub name: &'static str,
    /// The value.
    pub value: String,
}

/// A response to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The media type of the body; empty for none.
    pub content_type: &'static str,
    /// The headers other than those of the body and the connection.
    pub headers: Vec<ResponseHeader>,
    /// The body.
    pub body: Body,
}

impl Response {
    /// A response with a body and no further headers.
    #[must_use]
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Body>) -> Self {
        Response {
            status,
            content_type,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Appends a header.
    pub fn add_header(&mut self, name: &'static str, value: impl Into<String>) {
        self.headers.push(ResponseHeader {
            name,
            value: value.into(),
        });
    }

    /// Returns the value of the first of these headers with this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name);
        header.map(|header| header.value.as_str())
    }

    /// The head as it is written; `close` announces that the connection closes after the response.
    pub(super) fn encode_head(&self, close: bool) -> String {
        let mut head = String::with_capacity(HEAD_CAPACITY);
        let _ = write!(
            head,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        if !self.content_type.is_empty() {
            let _ = write!(head, "Content-Type: {}\r\n", self.content_type);
        }
        for ResponseHeader { name, value } in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if close {
            head.push_str("Connection: close\r\n");
        }
        let _ = write!(head, "Content-Length: {}\r\n\r\n", self.body.len());
        head
    }
}

/// The reason phrase of a status (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        410 => "Gone",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}
