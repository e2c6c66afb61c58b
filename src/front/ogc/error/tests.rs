//! Tests of the statuses and messages of error responses.

use super::*;

#[track_caller]
fn assert_status_and_message(error: ApiError, status: u16, message: &str) {
    assert_eq!(error.status(), status, "{message}");
    assert_eq!(error.to_string(), message);
}

#[test]
fn malformed_requests_have_their_statuses_and_messages() {
    assert_status_and_message(ApiError::PathNotUtf8, 400, "the path is no UTF-8");
    assert_status_and_message(
        ApiError::UnknownParameter("x".to_owned()),
        400,
        "unknown parameter \"x\"",
    );
    assert_status_and_message(
        ApiError::UnsupportedCrs("x".to_owned()),
        400,
        "crs: \"x\" is not served",
    );
    assert_status_and_message(ApiError::UnknownClass, 400, "X-Qos names no class");
    assert_status_and_message(ApiError::InvalidTimeout, 400, "X-Expires-In is no time");
    assert_status_and_message(
        ApiError::TooManyFeaturesToSort,
        400,
        "too many features to put in order here, and their servers cannot: ask for \
            fewer by a filter or a box",
    );
}

#[test]
fn requests_that_cannot_be_served_have_their_statuses_and_messages() {
    assert_status_and_message(ApiError::NoSuchResource, 404, "nothing is here");
    assert_status_and_message(
        ApiError::NoSuchCollection("x".to_owned()),
        404,
        "there is no collection \"x\"",
    );
    assert_status_and_message(
        ApiError::NoSuchFeature,
        404,
        "there is no feature of that id",
    );
    assert_status_and_message(
        ApiError::OnlyGetAndHead,
        405,
        "only GET and HEAD are served here",
    );
    assert_status_and_message(ApiError::OnlyPost, 405, "only POST is served here");
    assert_status_and_message(
        ApiError::DuplicateRequestId,
        409,
        "another request of that name is open",
    );
    assert_status_and_message(
        ApiError::ShardRemoved,
        410,
        "cursor: the shard that it leads to is no more; begin anew without it",
    );
    assert_status_and_message(
        ApiError::ServerRemoved,
        410,
        "cursor: the server that its pages came from has left; begin anew without it",
    );
    assert_status_and_message(
        ApiError::UnsupportedMediaType,
        415,
        "Content-Type: application/json is needed",
    );
}

#[test]
fn server_errors_have_their_statuses_and_messages() {
    assert_status_and_message(ApiError::NoAnswer, 500, "no answer");
    assert_status_and_message(
        ApiError::ServersFailed,
        502,
        "too many of the servers failed",
    );
    assert_status_and_message(
        ApiError::RejectedAfterPages,
        502,
        "the servers turned pages away after others had run",
    );
    assert_status_and_message(
        ApiError::InvalidFeature,
        502,
        "a server gave what is no feature",
    );
    assert_status_and_message(
        ApiError::FeatureLookupIncomplete,
        502,
        "not found where it could be looked for; some servers failed",
    );
    assert_status_and_message(
        ApiError::Overloaded { retry_after: None },
        503,
        "too much is asked at present; ask again",
    );
    assert_status_and_message(
        ApiError::ServerDraining,
        503,
        "cursor: the server that its pages come from takes no requests at present; \
         ask again, or begin anew without it",
    );
    assert_status_and_message(ApiError::Timeout, 504, "the servers did not answer in time");
}

#[test]
fn cursor_errors_have_their_statuses_and_messages() {
    assert_status_and_message(
        CursorError::NotAuthentic.into(),
        400,
        "cursor: it was not made by this service, or was altered",
    );
    assert_status_and_message(
        CursorError::WrongQuery.into(),
        400,
        "cursor: it belongs to another query",
    );
    assert_status_and_message(
        CursorError::Expired.into(),
        410,
        "cursor: it is too old; begin anew without it",
    );
    assert_status_and_message(
        CursorError::LinkCycle.into(),
        502,
        "the server's pages go in a circle",
    );
}
