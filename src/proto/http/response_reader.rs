//! The client side of a connection: a reader of one response.

use super::framing::Framing;
use super::headers::Headers;
use super::{HttpError, MAX_HEADERS, MAX_HEAD_BYTES};
use crate::proto::buffer::Buffer;

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// Whether the connection can carry another request after this response.
    pub reusable: bool,
}

/// A response of which at least the head was received.
#[derive(Debug)]
struct PartialResponse {
    head: ResponseHead,
    framing: Framing,
}

/// A reader of one response. The caller may take parts of the body before the rest is received.
#[derive(Debug)]
pub struct ResponseReader {
    /// The buffer for reads from the socket.
    pub input: Buffer,
    /// The received part of the body that the caller has not taken.
    pub body: Vec<u8>,
    /// The maximum length of `body`, in bytes.
    max_body: usize,
    /// The response; `None` until its head has been received.
    response: Option<PartialResponse>,
    /// Whether the response is complete.
    complete: bool,
}

impl ResponseReader {
    /// Creates a reader that holds at most `max_body` bytes of the body at a time.
    #[must_use]
    pub fn new(max_body: usize) -> Self {
        ResponseReader {
            input: Buffer::default(),
            body: Vec::new(),
            max_body,
            response: None,
            complete: false,
        }
    }

    /// Processes the input. Returns whether the response is complete.
    ///
    /// # Errors
    ///
    /// Fails if the response is not valid HTTP or exceeds a maximum length.
    pub fn advance(&mut self) -> Result<bool, HttpError> {
        if self.response.is_none() {
            self.response = self.read_head()?;
        }
        match &mut self.response {
            Some(response) if !self.complete => {
                self.complete =
                    response
                        .framing
                        .read(&mut self.input, &mut self.body, self.max_body)?;
            }
            _ => {}
        }
        Ok(self.complete)
    }

    /// Returns the head once it has been received.
    #[must_use]
    pub fn head(&self) -> Option<&ResponseHead> {
        self.response.as_ref().map(|response| &response.head)
    }

    /// Handles the end of the connection, which completes a body without a length. Returns whether
    /// the response is complete.
    pub fn on_end_of_stream(&mut self) -> bool {
        let framing = self.response.as_ref().map(|response| response.framing);
        self.complete |= framing == Some(Framing::CloseDelimited);
        self.complete
    }

    /// Parses the head. Skips interim responses (1xx).
    fn read_head(&mut self) -> Result<Option<PartialResponse>, HttpError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            let data = self.input.data();
            let length = match parsed.parse(data) {
                Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
                Ok(httparse::Status::Partial) if data.len() < MAX_HEAD_BYTES => return Ok(None),
                Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                    return Err(HttpError::HeadTooLarge)
                }
                Err(_) => return Err(HttpError::Malformed),
            };
            let status = parsed.code.unwrap_or(0);
            let headers = Headers::from_parsed(parsed.headers)?;
            let is_http_1_0 = parsed.version == Some(0);
            self.input.consume(length);
            if !(100..200).contains(&status) {
                return PartialResponse::new(status, headers, is_http_1_0).map(Some);
            }
        }
    }
}

impl PartialResponse {
    fn new(status: u16, headers: Headers, is_http_1_0: bool) -> Result<Self, HttpError> {
        let framing = match status {
            204 | 304 => Framing::ContentLength(0),
            _ => headers.framing()?.unwrap_or(Framing::CloseDelimited),
        };
        let reusable = !is_http_1_0
            && framing != Framing::CloseDelimited
            && !headers.has_token("connection", "close");
        Ok(PartialResponse {
            head: ResponseHead {
                status,
                headers,
                reusable,
            },
            framing,
        })
    }
}
