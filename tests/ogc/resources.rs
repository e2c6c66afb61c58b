//! The resources beside the items, and the statuses of requests that are rejected.

use crate::standin::feature_server::{inventory_row, FeatureServer};
use crate::standin::process::Process;
use crate::support::ITEMS;

#[test]
fn core_resources_and_their_errors_are_served() {
    let server = FeatureServer::healthy(0..3, 10);
    let edge = Process::start_edge("core", "", &inventory_row("a", &server, "devices"));
    let landing = edge.get("/");
    for rel in ["self", "service-desc", "conformance", "data"] {
        let target = landing.link(rel).unwrap_or_else(|| panic!("no {rel}"));
        assert_eq!(edge.get(&target).status, 200, "{rel}");
    }
    assert_eq!(edge.get("/up").status, 200);
    assert_eq!(
        edge.get("/collections").json()["collections"][0]["id"],
        "devices"
    );
    assert_eq!(
        edge.get("/collections/devices").link("items").as_deref(),
        Some(ITEMS)
    );
    let one = edge.get("/collections/devices/items/d1");
    assert_eq!((one.status, one.json()["id"].as_str()), (200, Some("d1")));
    let area =
        "filter=S_INTERSECTS(geometry,POLYGON((0%200,9%200,9%209,0%200)))&filter-lang=cql2-text";
    assert_eq!(edge.get(&format!("{ITEMS}?{area}")).status, 200);
    // A server that does not declare filters is asked for the envelope of the polygon only.
    assert_eq!(server.count_requests(|t| t.contains("filter=")), 0);
    assert_eq!(
        server.count_requests(|t| t.contains("bbox=0%2C0%2C9%2C9")),
        1
    );
    let bad = [
        (404, "/collections/none".to_owned()),
        (404, "/collections/none/items".to_owned()),
        (404, "/collections/devices/items/d9".to_owned()),
        (404, "/elsewhere".to_owned()),
        (400, format!("{ITEMS}?limit=0")),
        (400, format!("{ITEMS}?bbox=1,2")),
        (400, format!("{ITEMS}?color=red")),
        (
            400,
            format!("{ITEMS}?filter=S_INTERSECTS(geometry,POINT(1))"),
        ),
        (400, format!("{ITEMS}?cursor=none")),
        (400, "/conformance?color=red".to_owned()),
    ];
    for (status, target) in bad {
        let response = edge.get(&target);
        assert_eq!(response.status, status, "{target}");
        assert_eq!(
            response.headers["content-type"], "application/problem+json",
            "{target}"
        );
        assert_eq!(response.json()["status"], status, "{target}");
    }
    assert_eq!(
        edge.send_request("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .status,
        405
    );
    assert_eq!(edge.send_request("no http at all\r\n\r\n").status, 400);
}
