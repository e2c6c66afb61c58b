//! Errors of requests. Their messages are the `detail` of the problem documents that clients
//! receive.

use super::cursor::CursorError;
use super::params::RequestError;
use crate::coordinator::Answer;
use crate::time::Micros;

/// The reason for an error response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    #[error("the path is no UTF-8")]
    PathNotUtf8,
    #[error("unknown parameter {0:?}")]
    UnknownParameter(String),
    #[error(transparent)]
    Parameters(#[from] RequestError),
    #[error("crs: {0:?} is not served")]
    UnsupportedCrs(String),
    #[error("X-Qos names no class")]
    UnknownClass,
    #[error("X-Expires-In is no time")]
    InvalidTimeout,
    #[error(
        "too many features to put in order here, and their servers cannot: \
        ask for fewer by a filter or a box"
    )]
    TooManyFeaturesToSort,
    #[error("nothing is here")]
    NoSuchResource,
    #[error("there is no collection {0:?}")]
    NoSuchCollection(String),
    #[error("there is no feature of that id")]
    NoSuchFeature,
    #[error("only GET and HEAD are served here")]
    OnlyGetAndHead,
    #[error("only POST is served here")]
    OnlyPost,
    #[error("the body has too many values")]
    BodyTooComplex,
    #[error("Content-Type: application/json is needed")]
    UnsupportedMediaType,
    #[error(transparent)]
    Cursor(#[from] CursorError),
    #[error("cursor: the shard that it leads to is no more; begin anew without it")]
    ShardRemoved,
    #[error("cursor: the server that its pages came from has left; begin anew without it")]
    ServerRemoved,
    #[error(
        "cursor: the server that its pages come from takes no requests at present; \
        ask again, or begin anew without it"
    )]
    ServerDraining,
    #[error("cursor: its page cannot be requested as before; begin anew without it")]
    PageNotReproducible,
    #[error("another request of that name is open")]
    DuplicateRequestId,
    #[error("no answer")]
    NoAnswer,
    #[error("too many of the servers failed")]
    ServersFailed,
    /// Pages of a query that must not run twice have run, and the request for another was rejected.
    #[error("the servers turned pages away after others had run")]
    RejectedAfterPages,
    #[error("a server gave what is no feature")]
    InvalidFeature,
    /// No shard that answered has the feature, but a shard without an answer may have it.
    #[error("not found where it could be looked for; some servers failed")]
    FeatureLookupIncomplete,
    #[error("too much is asked at present; ask again")]
    Overloaded { retry_after: Option<Micros> },
    #[error("the servers did not answer in time")]
    Timeout,
}

impl ApiError {
    /// Returns the error that the coordinator's answer represents, or `None` if the answer has
    /// results.
    pub fn from_answer(answer: &Answer) -> Option<Self> {
        match answer {
            Answer::Served { .. } => None,
            Answer::Rejected { late: true, .. } | Answer::Failed { late: true } => {
                Some(ApiError::Timeout)
            }
            Answer::Rejected {
                retry_after,
                late: false,
            } => Some(ApiError::Overloaded {
                retry_after: *retry_after,
            }),
            Answer::UnknownClass => Some(ApiError::UnknownClass),
            Answer::DuplicateRequestId => Some(ApiError::DuplicateRequestId),
            Answer::Failed { late: false } => Some(ApiError::ServersFailed),
        }
    }

    /// Returns the minimum time after which the same request may succeed, or `None` if a retry is
    /// not expected to succeed.
    pub fn retry_after(&self) -> Option<Micros> {
        match self {
            ApiError::Overloaded { retry_after } => Some(retry_after.unwrap_or(Micros::ZERO)),
            ApiError::ServerDraining => Some(Micros::ZERO),
            _ => None,
        }
    }

    /// Returns the HTTP status of the response (RFC 9110).
    pub fn status(&self) -> u16 {
        match self {
            ApiError::Parameters(error) => error.status(),
            ApiError::PathNotUtf8
            | ApiError::UnknownParameter(_)
            | ApiError::UnsupportedCrs(_)
            | ApiError::UnknownClass
            | ApiError::InvalidTimeout
            | ApiError::TooManyFeaturesToSort => 400,
            ApiError::NoSuchResource | ApiError::NoSuchCollection(_) | ApiError::NoSuchFeature => {
                404
            }
            ApiError::OnlyGetAndHead | ApiError::OnlyPost => 405,
            ApiError::DuplicateRequestId => 409,
            ApiError::ShardRemoved | ApiError::ServerRemoved | ApiError::PageNotReproducible => 410,
            ApiError::BodyTooComplex => 413,
            ApiError::UnsupportedMediaType => 415,
            ApiError::NoAnswer => 500,
            ApiError::ServersFailed
            | ApiError::RejectedAfterPages
            | ApiError::InvalidFeature
            | ApiError::FeatureLookupIncomplete => 502,
            ApiError::Overloaded { .. } | ApiError::ServerDraining => 503,
            ApiError::Timeout => 504,
            ApiError::Cursor(error) => match error {
                CursorError::NotAuthentic | CursorError::WrongQuery => 400,
                CursorError::Expired => 410,
                CursorError::LinkCycle => 502,
            },
        }
    }
}

#[cfg(test)]
mod tests;
