//! Received requests, and the parser of their header sections.

use super::framing::Framing;
use super::headers::Headers;
use super::{HttpError, MAX_HEADERS, MAX_HEAD_BYTES};

/// A request that was received completely.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method, such as `GET`.
    pub method: String,
    /// The request target: the path and the query string.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// The body without its transfer coding.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the memory held, in bytes.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.method.capacity()
            + self.target.capacity()
            + self.headers.memory()
            + self.body.capacity()
    }
}

/// The request line and header section of a request.
pub(super) struct RequestHead {
    /// The request with an empty body.
    pub(super) request: HttpRequest,
    /// The framing of the body that follows.
    pub(super) framing: Framing,
    /// The length of the head, in bytes.
    pub(super) length: usize,
    /// Whether the client asks to close the connection after the response.
    pub(super) close_requested: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

impl RequestHead {
    /// Parses a head. Returns `None` if it is incomplete. Fails if it is malformed, exceeds a limit,
    /// or announces a body of more than `max_body` bytes.
    pub(super) fn parse(data: &[u8], max_body: usize) -> Result<Option<Self>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let length = match parsed.parse(data) {
            Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
            Ok(httparse::Status::Partial) if data.len() < MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
            Err(_) => return Err(HttpError::Malformed),
        };
        let headers = Headers::from_parsed(parsed.headers)?;
        let framing = headers.framing()?.unwrap_or(Framing::ContentLength(0));
        if matches!(framing, Framing::ContentLength(length) if length > max_body as u64) {
            return Err(HttpError::BodyTooLarge);
        }
        let is_http_1_0 = parsed.version == Some(0);
        // RFC 9112, section 3.2: a request has exactly one Host field, which HTTP/1.0 may omit.
        let hosts = headers.count("host");
        if hosts > 1 || (hosts == 0 && !is_http_1_0) {
            return Err(HttpError::Malformed);
        }
        let close_requested = headers.has_token("connection", "close")
            || (is_http_1_0 && !headers.has_token("connection", "keep-alive"));
        let expects_continue = !is_http_1_0 && headers.has_token("expect", "100-continue");
        let request = HttpRequest {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            headers,
            body: Vec::new(),
        };
        Ok(Some(RequestHead {
            request,
            framing,
            length,
            close_requested,
            expects_continue,
        }))
    }
}
