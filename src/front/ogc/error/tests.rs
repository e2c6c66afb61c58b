//! Tests of the statuses and messages that clients see.

use super::*;

#[track_caller]
fn assert_rendered(error: ApiError, status: u16, message: &str) {
    assert_eq!(error.status(), status, "{message}");
    assert_eq!(error.to_string(), message);
}

#[test]
fn malformed_requests_have_their_statuses_and_messages() {
    assert_rendered(ApiError::PathNotUtf8, 400, "the path is no UTF-8");
    assert_rendered(
        ApiError::UnknownParameter("x".to_owned()),
        400,
        "unknown parameter \"x\"",
    );
    assert_rendered(
        ApiError::UnsupportedCrs("x".to_owned()),
        400,
        "crs: \"x\" is not served",
    );
    assert_rendered(ApiError::UnknownClass, 400, "X-Qos names no class");
    assert_rendered(ApiError::InvalidTimeout, 400, "X-Expires-In is no time");
    assert_rendered(
        ApiError::TooManyFeaturesToSort,
        400,
        "too many features to put in order here, and their servers cannot: ask for \
            fewer by a filter or a box",
    );
}

#[test]
fn requests_that_cannot_be_served_have_their_statuses_and_messages() {
    assert_rendered(ApiError::NoSuchResource, 404, "nothing is here");
    assert_rendered(
        ApiError::NoSuchCollection("x".to_owned()),
        404,
        "there is no collection \"x\"",
    );
    assert_rendered(
        ApiError::NoSuchFeature,
        404,
        "there is no feature of that id",
    );
    assert_rendered(
        ApiError::OnlyGetAndHead,
        405,
        "only GET and HEAD are served here",
    );
    assert_rendered(ApiError::OnlyPost, 405, "only POST is served here");
    assert_rendered(
        ApiError::DuplicateRequestId,
        409,
        "another request of that name is open",
    );
    assert_rendered(
        ApiError::ShardRemoved,
        410,
        "cursor: the shard that it leads to is no more; begin anew without it",
    );
    assert_rendered(
        ApiError::ServerRemoved,
        410,
        "cursor: the server that its pages came from has left; begin anew without it",
    );
    assert_rendered(
        ApiError::UnsupportedMediaType,
        415,
        "Content-Type: application/json is needed",
    );
}

#[test]
fn errors_of_servers_have_their_statuses_and_messages() {
    assert_rendered(ApiError::NoAnswer, 500, "no answer");
    assert_rendered(
        ApiError::ServersFailed,
        502,
        "too many of the servers failed",
    );
    assert_rendered(
        ApiError::InvalidFeature,
        502,
        "a server gave what is no feature",
    );
    assert_rendered(
        ApiError::FeatureLookupIncomplete,
        502,
        "not found where it could be looked for; some servers failed",
    );
    assert_rendered(
        ApiError::Overloaded { retry_after: None },
        503,
        "too much is asked at present; ask again",
    );
    assert_rendered(
        ApiError::ServerDraining,
        503,
        "cursor: the server that its pages come from takes no requests at present; \
         ask again, or begin anew without it",
    );
    assert_rendered(ApiError::Timeout, 504, "the servers did not answer in time");
}

#[test]
fn errors_of_cursors_have_their_statuses_and_messages() {
    assert_rendered(
        CursorError::NotAuthentic.into(),
        400,
        "cursor: it was not made by this service, or was altered",
    );
    assert_rendered(
        CursorError::WrongQuery.into(),
        400,
        "cursor: it belongs to another query",
    );
    assert_rendered(
        CursorError::Expired.into(),
        410,
        "cursor: it is too old; begin anew without it",
    );
    assert_rendered(
        CursorError::LinkCycle.into(),
        502,
        "the server's pages go in a circle",
    );
}
