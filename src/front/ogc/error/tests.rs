//! Tests of the statuses and messages that clients see.

use super::*;

#[test]
fn errors_have_their_statuses_and_messages() {
    let expected = [
        (ApiError::PathNotUtf8, 400, "the path is no UTF-8"),
        (ApiError::UnknownParameter("x".to_owned()), 400, "unknown parameter \"x\""),
        (ApiError::UnsupportedCrs("x".to_owned()), 400, "crs: \"x\" is not served"),
        (ApiError::UnknownClass, 400, "X-Qos names no class"),
        (ApiError::InvalidTimeout, 400, "X-Expires-In is no time"),
        (
            ApiError::TooManyFeaturesToSort,
            400,
            "too many features to put in order here, and their servers cannot: ask for fewer by a filter or a box",
        ),
        (ApiError::NoSuchResource, 404, "nothing is here"),
        (ApiError::NoSuchCollection("x".to_owned()), 404, "there is no collection \"x\""),
        (ApiError::NoSuchFeature, 404, "there is no feature of that id"),
        (ApiError::OnlyGetAndHead, 405, "only GET and HEAD are served here"),
        (ApiError::OnlyPost, 405, "only POST is served here"),
        (ApiError::DuplicateRequestId, 409, "another request of that name is open"),
        (ApiError::ShardRemoved, 410, "cursor: the shard that it leads to is no more; begin anew without it"),
        (
            ApiError::ServerRemoved,
            410,
            "cursor: the server that its pages came from has left; begin anew without it",
        ),
        (ApiError::UnsupportedMediaType, 415, "Content-Type: application/json is needed"),
        (ApiError::NoAnswer, 500, "no answer"),
        (ApiError::ServersFailed, 502, "too many of the servers failed"),
        (ApiError::InvalidFeature, 502, "a server gave what is no feature"),
        (
            ApiError::FeatureLookupIncomplete,
            502,
            "not found where it could be looked for; some servers failed",
        ),
        (ApiError::Overloaded { retry_after: None }, 503, "too much is asked at present; ask again"),
        (ApiError::Timeout, 504, "the servers did not answer in time"),
        (CursorError::NotAuthentic.into(), 400, "cursor: it was not made by this service, or was altered"),
        (CursorError::WrongQuery.into(), 400, "cursor: it belongs to another query"),
        (CursorError::Expired.into(), 410, "cursor: it is too old; begin anew without it"),
        (CursorError::LinkCycle.into(), 502, "the server's pages go in a circle"),
    ];
    for (error, status, message) in expected {
        assert_eq!(
            (error.status(), error.to_string().as_str()),
            (status, message)
        );
    }
}
