//! Errors of received HTTP messages, and the status codes that report them.

use thiserror::Error;

/// The reason why a received message is rejected. Responses and logs contain the variant's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The message is not valid HTTP, or has contradictory header fields.
    #[error("Malformed")]
    Malformed,
    /// The header section is longer than [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES), or has too many
    /// fields.
    #[error("HeadTooLarge")]
    HeadTooLarge,
    /// The body is longer than the receiver accepts.
    #[error("BodyTooLarge")]
    BodyTooLarge,
    /// The transfer coding is not `chunked`.
    #[error("UnknownCoding")]
    UnknownCoding,
    /// The connection ended before the message was complete.
    #[error("Truncated")]
    Truncated,
    /// The message was not received completely in time.
    #[error("TooSlow")]
    TooSlow,
}

impl HttpError {
    /// Returns the status code of the response to a request with this error.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed | HttpError::Truncated => 400,
            HttpError::TooSlow => 408,
            HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::UnknownCoding => 501,
        }
    }
}
