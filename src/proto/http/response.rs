//! Outgoing responses and the encoding of their heads.

use crate::proto::body::Body;
use std::fmt::Write as _;

/// The initial capacity of an encoded head, in bytes.
const HEAD_CAPACITY: usize = 160;

/// A header field of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHeader {
    /// The field name.
    pub name: &'static str,
    /// The field value.
    pub value: String,
}

/// A response to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The media type of the body; empty if there is no `Content-Type`.
    pub content_type: &'static str,
    /// The additional header fields, in the order in which they are written.
    pub headers: Vec<ResponseHeader>,
    /// The body.
    pub body: Body,
}

impl Response {
    /// Creates a response with a body and no additional header fields.
    #[must_use]
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Body>) -> Self {
        Response {
            status,
            content_type,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Appends a header field.
    pub fn add_header(&mut self, name: &'static str, value: impl Into<String>) {
        self.headers.push(ResponseHeader {
            name,
            value: value.into(),
        });
    }

    /// Returns the value of the first additional header field that was added under this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|header| header.name == name)
            .map(|header| header.value.as_str())
    }

    /// Encodes the head. If `close` is set, it announces that the connection closes after the
    /// response.
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
        for header in &self.headers {
            let _ = write!(head, "{}: {}\r\n", header.name, header.value);
        }
        if close {
            head.push_str("Connection: close\r\n");
        }
        if self.status != 304 {
            // RFC 9110, section 8.6: the Content-Length of a 304 response is the length of the body
            // that a 200 response would have.
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str("\r\n");
        head
    }
}

/// Returns the reason phrase of a status code (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
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
