//! The front for feature queries against stand-in feature servers: pages, faults, draining,
//! rejections.

mod standin;

use standin::feature_server::{
    healthy_reply, inventory_row, inventory_row_in_state, query_parameter, FeatureServer, Reply,
};
use standin::management::management_call;
use standin::process::Process;
use std::sync::mpsc::channel;
use std::sync::Mutex;

const ITEMS: &str = "/collections/devices/items";

fn expected(ids: std::ops::Range<usize>) -> Vec<String> {
    ids.map(|n| format!("d{n}")).collect()
}

#[test]
fn pages_of_all_shards_are_merged_and_a_limited_response_continues() {
    let north = FeatureServer::healthy(0..7, 3);
    let south = FeatureServer::healthy(100..105, 2);
    let rows = inventory_row("a", &north, "devices/n") + &inventory_row("b", &south, "devices/s");
    let edge = Process::start_edge("pages", "", &rows);
    let complete = edge.get(ITEMS);
    let all: Vec<String> = expected(0..7)
        .into_iter()
        .chain(expected(100..105))
        .collect();
    assert_eq!((complete.status, complete.ids()), (200, all.clone()));
    assert_eq!(complete.json()["numberMatched"], 12);
    assert_eq!(complete.headers["x-answer-whole"], "true");
    assert_eq!(
        north.count_requests(|t| t.starts_with("/collections/n/items")),
        3,
        "each page once"
    );
    let mut returned = Vec::new();
    let mut next = Some(format!("{ITEMS}?limit=4&bbox=0,0,9,9"));
    while let Some(target) = next {
        let page = edge.get(&target);
        assert!(page.ids().len() <= 4);
        returned.extend(page.ids());
        next = page.link("next");
    }
    assert_eq!(
        returned, all,
        "no duplicates and no gaps over the next links"
    );
    assert!(
        north.count_requests(|t| t.contains("bbox=0%2C0%2C9%2C9")) > 0,
        "the box is passed on to the servers"
    );
}

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

#[test]
fn failed_and_truncated_pages_are_retried_elsewhere_without_duplicates() {
    let cut = |target: &str| match (
        query_parameter(target, "offset"),
        healthy_reply(target, 0..6, 2),
    ) {
        (Some(4), Reply::Json(body)) => Reply::Truncated(body),
        (_, reply) => reply,
    };
    for (test, bad) in [
        ("errors", FeatureServer::start(|_| Reply::Status(500))),
        ("cut", FeatureServer::start(cut)),
    ] {
        let healthy = FeatureServer::healthy(0..6, 2);
        let rows =
            inventory_row("bad", &bad, "devices") + &inventory_row("good", &healthy, "devices");
        let edge = Process::start_edge(test, "", &rows);
        for _ in 0..4 {
            let response = edge.get(ITEMS);
            assert_eq!(
                (response.status, response.ids()),
                (200, expected(0..6)),
                "{test}"
            );
        }
        assert!(
            bad.count_requests(|_| true) > 0,
            "{test}: the faulty server was asked"
        );
    }
}

#[test]
fn all_pages_are_fetched_from_a_server_that_closes_after_each() {
    // Each page is fetched on a new connection, since the server has closed the one before.
    let server = FeatureServer::start(|target| match healthy_reply(target, 0..6, 2) {
        Reply::Json(body) => Reply::CloseDelimited(body),
        other => other,
    });
    let edge = Process::start_edge("close", "", &inventory_row("a", &server, "devices"));
    let response = edge.get(ITEMS);
    assert_eq!((response.status, response.ids()), (200, expected(0..6)));
    assert_eq!(server.count_requests(|_| true), 3);
}

#[test]
fn parts_of_a_non_idempotent_class_are_not_retried() {
    let cut = |target: &str| match healthy_reply(target, 0..6, 2) {
        Reply::Json(body) => Reply::Truncated(body),
        other => other,
    };
    let a = FeatureServer::start(cut);
    let b = FeatureServer::start(cut);
    let rows = inventory_row("a", &a, "devices") + &inventory_row("b", &b, "devices");
    let edge = Process::start_edge("once", "", &rows);
    assert_eq!(edge.get_with_headers(ITEMS, "X-Qos: once\r\n").status, 502);
    assert_eq!(a.count_requests(|_| true) + b.count_requests(|_| true), 1);
    assert_eq!(edge.get_with_headers(ITEMS, "X-Qos: none\r\n").status, 400);
}

#[test]
fn a_hanging_server_causes_a_timeout_or_a_partial_response() {
    let healthy = FeatureServer::healthy(0..3, 10);
    let hung = FeatureServer::start(|_| Reply::Hang);
    let rows = inventory_row("a", &healthy, "devices/n") + &inventory_row("b", &hung, "devices/s");
    let edge = Process::start_edge("hang", "", &rows);
    let timed_out = edge.get_with_headers(ITEMS, "X-Qos: brief\r\n");
    assert_eq!(
        (timed_out.status, timed_out.json()["status"].as_u64()),
        (504, Some(504))
    );
    let partial = edge.get_with_headers(ITEMS, "X-Qos: part\r\n");
    assert_eq!((partial.status, partial.ids()), (200, expected(0..3)));
    assert_eq!(partial.headers["x-answer-whole"], "false");
    let json = partial.json();
    assert_eq!(
        (&json["partial"], &json["missing"][0]),
        (&true.into(), &"s".into())
    );
    assert!(
        json.get("numberMatched").is_none(),
        "an unknown number is left out"
    );
    let one = edge.get_with_headers("/collections/devices/items/d77", "X-Qos: part\r\n");
    assert_eq!(one.status, 502, "the hanging server may have it");
}

#[test]
fn next_links_are_followed_only_on_at_the_same_server() {
    let elsewhere = FeatureServer::healthy(0..2, 1);
    let other = elsewhere.address;
    let lead = move |href: String| {
        Reply::Json(format!(
            r#"{{"features":[{{"id":"d0"}}],"links":[{{"rel":"next","href":"{href}"}}]}}"#
        ))
    };
    let away = FeatureServer::start(move |_| {
        lead(format!("http://{other}/collections/away/items?offset=1"))
    });
    let round = FeatureServer::start(move |t| lead(t.to_owned()));
    let mut page = 0;
    let endless = FeatureServer::start(move |_| {
        page += 1;
        lead(format!("/collections/endless/items?offset={page}"))
    });
    let large = FeatureServer::start(|_| {
        Reply::Json(format!(
            r#"{{"features":[],"x":"{}"}}"#,
            "x".repeat(100_000)
        ))
    });
    let rows = inventory_row("a", &away, "away")
        + &inventory_row("b", &round, "round")
        + &inventory_row("c", &endless, "endless")
        + &inventory_row("d", &large, "large");
    let edge = Process::start_edge(
        "links",
        "attempts = 1\nmost_pages = 7\nmost_bytes = 50000",
        &rows,
    );
    for name in ["away", "round", "large"] {
        assert!(
            edge.get(&format!("/collections/{name}/items")).status >= 500,
            "{name}"
        );
    }
    assert_eq!(elsewhere.count_requests(|_| true), 0);
    assert_eq!(
        (
            round.count_requests(|_| true),
            large.count_requests(|_| true)
        ),
        (1, 1)
    );
    // Endless links without a new feature: the one feature is returned once, after at most two
    // attempts of two pages.
    let response = edge.get("/collections/endless/items");
    assert_eq!((response.status, response.ids()), (200, expected(0..1)));
    assert!(
        endless.count_requests(|_| true) <= 4,
        "{}",
        endless.count_requests(|_| true)
    );
}

#[test]
fn a_draining_server_gets_no_further_pages_and_a_failed_reload_changes_nothing() {
    let (opener, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let draining = FeatureServer::start(move |target| {
        if query_parameter(target, "offset").is_none() {
            gate.lock().expect("gate").recv().expect("opened");
        }
        healthy_reply(target, 0..6, 2)
    });
    let healthy = FeatureServer::healthy(0..6, 2);
    let hung = FeatureServer::start(|_| Reply::Hang);
    let clock = inventory_row("h", &hung, "hung");
    let edge = Process::start_edge(
        "drain",
        "",
        &(inventory_row("a", &draining, "devices") + &clock),
    );
    std::thread::scope(|scope| {
        let client = scope.spawn(|| edge.get(ITEMS));
        while draining.count_requests(|_| true) == 0 {
            std::thread::yield_now();
        }
        edge.write_inventory("a,nowhere,devices,\n");
        edge.signal("HUP");
        assert!(edge
            .wait_for_log("inventory reload rejected")
            .contains("i.csv:2: address: "));
        edge.write_inventory(
            &(inventory_row_in_state("a", &draining, "devices", "draining")
                + &inventory_row("b", &healthy, "devices")
                + &clock),
        );
        edge.signal("HUP");
        edge.wait_for_log("inventory reloaded");
        // This query times out after 400 ms: by then the grace period of draining is over.
        assert_eq!(
            edge.get_with_headers("/collections/hung/items", "X-Qos: brief\r\n")
                .status,
            504
        );
        opener.send(()).expect("the server waits");
        let response = client.join().expect("a response");
        assert_eq!((response.status, response.ids()), (200, expected(0..6)));
    });
    assert_eq!(
        draining.count_requests(|_| true),
        1,
        "no page was requested after the grace period"
    );
    assert_eq!(edge.get(ITEMS).status, 200);
    assert_eq!(draining.count_requests(|_| true), 1);
}

#[test]
fn queries_beyond_max_in_flight_are_rejected_with_retry_after() {
    let hung = FeatureServer::start(|_| Reply::Hang);
    let edge = Process::start_edge(
        "burst",
        "most_held = 4\nretry_after_ms = 1500",
        &inventory_row("a", &hung, "devices"),
    );
    let statuses = std::thread::scope(|scope| {
        let send = || edge.get_with_headers(ITEMS, "X-Qos: brief\r\n");
        let clients: Vec<_> = (0..12).map(|_| scope.spawn(send)).collect();
        clients
            .into_iter()
            .map(|a| a.join().expect("a response"))
            .collect::<Vec<_>>()
    });
    let rejected: Vec<_> = statuses.iter().filter(|a| a.status == 503).collect();
    assert!(
        !rejected.is_empty() && statuses.iter().all(|a| matches!(a.status, 503 | 504)),
        "{statuses:?}"
    );
    assert!(
        rejected
            .iter()
            .all(|a| matches!(a.headers["retry-after"].as_str(), "1" | "2")),
        "{rejected:?}"
    );
}

#[test]
fn after_sigterm_pending_queries_are_answered_before_the_exit() {
    let (opener, gate) = channel::<()>();
    let gate = Mutex::new(gate);
    let server = FeatureServer::start(move |target| {
        gate.lock().expect("gate").recv().expect("opened");
        healthy_reply(target, 0..2, 2)
    });
    let mut edge = Process::start_edge("end", "", &inventory_row("a", &server, "devices"));
    std::thread::scope(|scope| {
        let client =
            scope.spawn(|| edge.send_request(&format!("GET {ITEMS} HTTP/1.1\r\nHost: x\r\n\r\n")));
        while server.count_requests(|_| true) == 0 {
            std::thread::yield_now();
        }
        edge.signal("TERM");
        edge.wait_for_log("graceful shutdown started");
        opener.send(()).expect("the server waits");
        // The connection is persistent: it ends with the program.
        assert_eq!(client.join().expect("a response").status, 200);
    });
    assert!(edge.wait_for_exit());
}

#[test]
fn feature_queries_are_counted_by_class() {
    let server = FeatureServer::healthy(0..3, 2);
    let edge = Process::start_edge(
        "figures",
        "mgmt = \"127.0.0.1:0\"",
        &inventory_row("a", &server, "devices"),
    );
    let dump = |call: &str| management_call(edge.management_address(), call);
    while dump("HEALTH\n") != "YES\n" {}
    assert_eq!(edge.get(ITEMS).status, 200);
    assert_eq!(edge.get_with_headers(ITEMS, "X-Qos: once\r\n").status, 200);
    let text = dump("DUMP\n");
    // A page is an attempt, and an answer of two pages one answer.
    for figure in [
        "exact.ok=1",
        "exact.tries=2",
        "once.ok=1",
        "once.tries=2",
        "part.ok=0",
    ] {
        assert!(
            text.contains(&format!("\nnode.responses.{figure}\n")),
            "{figure} in {text}"
        );
    }
    assert!(
        text.contains("\nnode.pool_size=1\n") && text.contains("\nnode.active=0\n"),
        "{text}"
    );
}
