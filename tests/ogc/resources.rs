//! The resources other than the items, and the statuses of requests that are rejected.

use crate::standin::feature_server::{inventory_row, FeatureServer};
use crate::standin::process::Process;
use crate::support::ITEMS;

/// Targets at which there is no resource.
const UNKNOWN_TARGETS: [&str; 4] = [
    "/collections/none",
    "/collections/none/items",
    "/collections/devices/items/d9",
    "/elsewhere",
];

/// Targets with a parameter that is not valid.
const INVALID_TARGETS: [&str; 6] = [
    "/collections/devices/items?limit=0",
    "/collections/devices/items?bbox=1,2",
    "/collections/devices/items?color=red",
    "/collections/devices/items?filter=S_INTERSECTS(geometry,POINT(1))",
    "/collections/devices/items?cursor=none",
    "/conformance?color=red",
];

#[test]
fn core_resources_and_their_errors_are_served() {
    let server = FeatureServer::healthy(0..3, 10);
    let process = Process::start_feature_front("core", "", &inventory_row("a", &server, "devices"));
    assert_resources_are_served(&process);
    assert_polygon_is_requested_as_its_envelope(&process, &server);
    for target in UNKNOWN_TARGETS {
        assert_problem_document(&process, target, 404);
    }
    for target in INVALID_TARGETS {
        assert_problem_document(&process, target, 400);
    }
    let post = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    assert_eq!(process.send_request(post).status, 405);
    assert_eq!(process.send_request("no http at all\r\n\r\n").status, 400);
}

/// Asserts that the links of the landing page lead to resources, and that collections and features
/// are served.
fn assert_resources_are_served(process: &Process) {
    let landing = process.get("/");
    for rel in ["self", "service-desc", "conformance", "data"] {
        let target = landing
            .link(rel)
            .unwrap_or_else(|| panic!("there is no link with the relation {rel}"));
        assert_eq!(process.get(&target).status, 200, "{rel}");
    }
    assert_eq!(process.get("/up").status, 200);
    let collections = process.get("/collections").json();
    assert_eq!(collections["collections"][0]["id"], "devices");
    let collection = process.get("/collections/devices");
    assert_eq!(collection.link("items").as_deref(), Some(ITEMS));
    let feature = process.get("/collections/devices/items/d1");
    assert_eq!(feature.status, 200);
    assert_eq!(feature.json()["id"].as_str(), Some("d1"));
}

/// Asserts that a server that does not declare filters is sent the envelope of the polygon instead
/// of the filter.
fn assert_polygon_is_requested_as_its_envelope(process: &Process, server: &FeatureServer) {
    let polygon =
        "filter=S_INTERSECTS(geometry,POLYGON((0%200,9%200,9%209,0%200)))&filter-lang=cql2-text";
    assert_eq!(process.get(&format!("{ITEMS}?{polygon}")).status, 200);
    let with_filter = server.count_requests(|target| target.contains("filter="));
    assert_eq!(with_filter, 0);
    let with_envelope = server.count_requests(|target| target.contains("bbox=0%2C0%2C9%2C9"));
    assert_eq!(with_envelope, 1);
}

/// Asserts that the response for a target has this status in its head and in a problem document.
fn assert_problem_document(process: &Process, target: &str, status: u16) {
    let response = process.get(target);
    assert_eq!(response.status, status, "{target}");
    let media_type = &response.headers["content-type"];
    assert_eq!(media_type, "application/problem+json", "{target}");
    assert_eq!(response.json()["status"], status, "{target}");
}
