//! What can be wrong with an HTTP message.

use thiserror::Error;

/// What is wrong with a message that was received. The name of the variant is the text that clients and logs show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HttpError {
    /// It is not HTTP, or it contradicts itself.
    #[error("Malformed")]
    Malformed,
    /// The head is longer than [`MAX_HEAD`](super::MAX_HEAD), or has too many headers.
    #[error("HeadTooLarge")]
    HeadTooLarge,
    /// The body is longer than the receiver allows.
    #[error("BodyTooLarge")]
    BodyTooLarge,
    /// The transfer coding is not `chunked`.
    #[error("UnknownCoding")]
    UnknownCoding,
    /// The connection ended in the middle of the message.
    #[error("Truncated")]
    Truncated,
    /// The message was not complete in time.
    #[error("TooSlow")]
    TooSlow,
}

impl HttpError {
    /// The status of the response to a request with this error.
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
