//! Errors of malformed requests to the platform's front. Clients read the messages.

use thiserror::Error;

/// Fault of a malformed request; its response has the status 400.
#[derive(Debug, Error)]
pub enum RequestError {
    /// A header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// The request's identifier is empty, too long, or has characters other than printable ASCII.
    #[error("X-Trace-Id is no id")]
    RequestId,
    /// There is no such class.
    #[error("X-Qos names no class")]
    UnknownClass,
    /// The time-out is not a number of seconds from 0 on.
    #[error("X-Expires-In is no time")]
    Timeout,
    /// The body is not JSON of the protocol.
    #[error("body: {0}")]
    Body(#[from] serde_json::Error),
    /// The share of a part is not a number from 0 on.
    #[error("a fraction is no share")]
    Share,
    /// There is no such shard.
    #[error("tablet {0} is none")]
    UnknownShard(u32),
    /// A shard is named twice.
    #[error("tablet {0} is named twice")]
    DuplicateShard(u32),
    /// No shard is named.
    #[error("no tablets")]
    NoShards,
    /// The shares of the parts don't add up to 1.
    #[error("the fractions do not add up to 1")]
    ShareSum,
}
