//! Errors of malformed requests to the platform front. Their messages are sent to clients.

use thiserror::Error;

/// The reason why a request is malformed. The response has the status 400 and the message as body.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// The request id is empty, is too long, or contains other characters than printable ASCII.
    #[error("X-Trace-Id is no id")]
    InvalidRequestId,
    /// There is no class with this name.
    #[error("X-Qos names no class")]
    UnknownClass,
    /// The timeout is not a finite, non-negative number of seconds.
    #[error("X-Expires-In is no time")]
    InvalidTimeout,
    /// The body is not JSON, or its structure is not that of a query.
    #[error("body: {0}")]
    MalformedBody(#[from] serde_json::Error),
    /// The weight of a part is not a finite, non-negative number.
    #[error("a fraction is no share")]
    InvalidWeight,
    /// There is no shard with this number.
    #[error("tablet {0} is none")]
    UnknownShard(u32),
    /// Two parts have the same shard.
    #[error("tablet {0} is named twice")]
    DuplicateShard(u32),
    /// The query has no parts.
    #[error("no tablets")]
    NoParts,
    /// The weights of the parts don't add up to 1.
    #[error("the fractions do not add up to 1")]
    WeightSum,
}
