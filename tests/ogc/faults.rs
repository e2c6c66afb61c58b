//! Faulty feature servers: retries, timeouts and partial responses.

use crate::standin::feature_server::{
    healthy_response, inventory_row, query_parameter, FeatureServer, ServerResponse,
};
use crate::standin::process::Process;
use crate::support::{feature_ids, ITEMS};

#[test]
fn failed_and_truncated_pages_are_retried_elsewhere_without_duplicates() {
    let truncate_third = |target: &str| match (
        query_parameter(target, "offset"),
        healthy_response(target, 0..6, 2),
    ) {
        (Some(4), ServerResponse::Json(body)) => ServerResponse::Truncated(body),
        (_, response) => response,
    };
    let short_length = |target: &str| match healthy_response(target, 0..6, 2) {
        ServerResponse::Json(body) => ServerResponse::ShortLength(body),
        response => response,
    };
    for (test, bad) in [
        (
            "errors",
            FeatureServer::start(|_| ServerResponse::Status(500)),
        ),
        ("cut", FeatureServer::start(truncate_third)),
        ("short", FeatureServer::start(short_length)),
    ] {
        let healthy = FeatureServer::healthy(0..6, 2);
        let rows =
            inventory_row("bad", &bad, "devices") + &inventory_row("good", &healthy, "devices");
        let process = Process::start_feature_front(test, "", &rows);
        for _ in 0..4 {
            let response = process.get(ITEMS);
            assert_eq!(
                (response.status, response.ids()),
                (200, feature_ids(0..6)),
                "{test}"
            );
        }
        assert!(
            bad.count_requests(|_| true) > 0,
            "{test}: the faulty server received a request"
        );
    }
}

#[test]
fn parts_of_a_non_idempotent_class_are_not_retried() {
    let truncate = |target: &str| match healthy_response(target, 0..6, 2) {
        ServerResponse::Json(body) => ServerResponse::Truncated(body),
        other => other,
    };
    let a = FeatureServer::start(truncate);
    let b = FeatureServer::start(truncate);
    let rows = inventory_row("a", &a, "devices") + &inventory_row("b", &b, "devices");
    let process = Process::start_feature_front("once", "", &rows);
    assert_eq!(
        process.get_with_headers(ITEMS, "X-Qos: once\r\n").status,
        502
    );
    assert_eq!(a.count_requests(|_| true) + b.count_requests(|_| true), 1);
    assert_eq!(
        process.get_with_headers(ITEMS, "X-Qos: none\r\n").status,
        400
    );
}

#[test]
fn a_hanging_server_causes_a_timeout_or_a_partial_response() {
    let healthy = FeatureServer::healthy(0..3, 10);
    let hung = FeatureServer::start(|_| ServerResponse::Hang);
    let rows = inventory_row("a", &healthy, "devices/n") + &inventory_row("b", &hung, "devices/s");
    let process = Process::start_feature_front("hang", "", &rows);
    let timed_out = process.get_with_headers(ITEMS, "X-Qos: brief\r\n");
    assert_eq!(
        (timed_out.status, timed_out.json()["status"].as_u64()),
        (504, Some(504))
    );
    let partial = process.get_with_headers(ITEMS, "X-Qos: part\r\n");
    assert_eq!((partial.status, partial.ids()), (200, feature_ids(0..3)));
    assert_eq!(partial.headers["x-answer-whole"], "false");
    let json = partial.json();
    assert_eq!(
        (&json["partial"], &json["missing"][0]),
        (&true.into(), &"s".into())
    );
    assert!(
        json.get("numberMatched").is_none(),
        "an unknown number is omitted"
    );
    let one = process.get_with_headers("/collections/devices/items/d77", "X-Qos: part\r\n");
    assert_eq!(one.status, 502, "the hanging server may have the feature");
}

#[test]
fn a_shard_reported_as_missing_contributes_no_features() {
    // Both servers of shard s return its first page and fail at the next one: the shard is started
    // over at the second server and fails again.
    let first_page_only = |target: &str| match query_parameter(target, "offset") {
        Some(_) => ServerResponse::Status(500),
        None => healthy_response(target, 100..106, 2),
    };
    let healthy = FeatureServer::healthy(0..3, 10);
    let failing = [0, 1].map(|_| FeatureServer::start(first_page_only));
    let rows = inventory_row("a", &healthy, "devices/n")
        + &inventory_row("b", &failing[0], "devices/s")
        + &inventory_row("c", &failing[1], "devices/s");
    let process = Process::start_feature_front("missing", "", &rows);

    let partial = process.get_with_headers(ITEMS, "X-Qos: part\r\n");

    assert_eq!(partial.status, 200);
    assert_eq!(partial.json()["missing"], serde_json::json!(["s"]));
    assert_eq!(partial.ids(), feature_ids(0..3));
}
