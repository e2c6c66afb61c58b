//! The front for feature queries against stand-in feature servers: pages, faults, drains, refusals.

mod standin;

use standin::feature_server::{healthy_reply, inventory_row, query_parameter, FeatureServer, Reply};
use standin::management::management_call;
use standin::process::Process;
use std::sync::mpsc::channel;
use std::sync::Mutex;

const ITEMS: &str = "/collections/devices/items";

fn expected(ids: std::ops::Range<usize>) -> Vec<String> {
    ids.map(|n| format!("d{n}")).collect()
}

#[test]
fn pages_of_all_shards_are_joined_and_a_cut_answer_goes_on() {
    let (north, south) = (FeatureServer::healthy(0..7, 3), FeatureServer::healthy(100..105, 2));
    let rows = inventory_row("a", &north, "devices/n", "") + &inventory_row("b", &south, "devices/s", "");
    let edge = Process::start_edge("pages", "", &rows);
    let whole = edge.get(ITEMS);
    let all: Vec<String> = expected(0..7).into_iter().chain(expected(100..105)).collect();
    assert_eq!((whole.status, whole.ids()), (200, all.clone()));
    assert_eq!(whole.json()["numberMatched"], 12);
    assert_eq!(whole.headers["x-answer-whole"], "true");
    assert_eq!(north.count_requests(|t| t.starts_with("/collections/n/items")), 3, "every page, each once");
    let (mut got, mut at) = (Vec::new(), Some(format!("{ITEMS}?limit=4&bbox=0,0,9,9")));
    while let Some(target) = at {
        let page = edge.get(&target);
        assert!(page.ids().len() <= 4);
        got.extend(page.ids());
        at = page.link("next");
    }
    assert_eq!(got, all, "nothing doubled, nothing missing over the next links");
    assert!(north.count_requests(|t| t.contains("bbox=0%2C0%2C9%2C9")) > 0, "the box goes on to the servers");
}

#[test]
fn the_core_pages_and_their_errors() {
    let server = FeatureServer::healthy(0..3, 10);
    let edge = Process::start_edge("core", "", &inventory_row("a", &server, "devices", ""));
    let landing = edge.get("/");
    for rel in ["self", "service-desc", "conformance", "data"] {
        let target = landing.link(rel).unwrap_or_else(|| panic!("no {rel}"));
        assert_eq!(edge.get(&target).status, 200, "{rel}");
    }
    assert_eq!(edge.get("/up").status, 200);
    assert_eq!(edge.get("/collections").json()["collections"][0]["id"], "devices");
    assert_eq!(edge.get("/collections/devices").link("items").as_deref(), Some(ITEMS));
    let one = edge.get("/collections/devices/items/d1");
    assert_eq!((one.status, one.json()["id"].as_str()), (200, Some("d1")));
    let area = "filter=S_INTERSECTS(geometry,POLYGON((0%200,9%200,9%209,0%200)))&filter-lang=cql2-text";
    assert_eq!(edge.get(&format!("{ITEMS}?{area}")).status, 200);
    // A server that does not say it can filter is asked for the box that all of it lies in, and no more.
    assert_eq!(server.count_requests(|t| t.contains("filter=")), 0);
    assert_eq!(server.count_requests(|t| t.contains("bbox=0%2C0%2C9%2C9")), 1);
    let bad = [
        (404, "/collections/none".to_owned()),
        (404, "/collections/none/items".to_owned()),
        (404, "/collections/devices/items/d9".to_owned()),
        (404, "/elsewhere".to_owned()),
        (400, format!("{ITEMS}?limit=0")),
        (400, format!("{ITEMS}?bbox=1,2")),
        (400, format!("{ITEMS}?color=red")),
        (400, format!("{ITEMS}?filter=S_INTERSECTS(geometry,POINT(1))")),
        (400, format!("{ITEMS}?cursor=none")),
        (400, "/conformance?color=red".to_owned()),
    ];
    for (status, target) in bad {
        let answer = edge.get(&target);
        assert_eq!(answer.status, status, "{target}");
        assert_eq!(answer.headers["content-type"], "application/problem+json", "{target}");
        assert_eq!(answer.json()["status"], status, "{target}");
    }
    assert_eq!(edge.send_request("POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").status, 405);
    assert_eq!(edge.send_request("no http at all\r\n\r\n").status, 400);
}

#[test]
fn fast_errors_and_a_page_cut_off_go_to_the_other_server_and_double_nothing() {
    let cut = |target: &str| match (query_parameter(target, "offset"), healthy_reply(target, 0..6, 2)) {
        (Some(4), Reply::Json(body)) => Reply::Truncated(body),
        (_, reply) => reply,
    };
    for (test, bad) in
        [("errors", FeatureServer::start(|_| Reply::Status(500))), ("cut", FeatureServer::start(cut))]
    {
        let sound = FeatureServer::healthy(0..6, 2);
        let rows = inventory_row("bad", &bad, "devices", "") + &inventory_row("good", &sound, "devices", "");
        let edge = Process::start_edge(test, "", &rows);
        for _ in 0..4 {
            let answer = edge.get(ITEMS);
            assert_eq!((answer.status, answer.ids()), (200, expected(0..6)), "{test}");
        }
        assert!(bad.count_requests(|_| true) > 0, "{test}: its turn came");
    }
}

#[test]
fn a_server_that_closes_after_every_page_is_walked_to_the_end() {
    // Such a walk failed at its first next link.
    let server = FeatureServer::start(|target| match healthy_reply(target, 0..6, 2) {
        Reply::Json(body) => Reply::CloseDelimited(body),
        other => other,
    });
    let edge = Process::start_edge("close", "", &inventory_row("a", &server, "devices", ""));
    let answer = edge.get(ITEMS);
    assert_eq!((answer.status, answer.ids()), (200, expected(0..6)));
    assert_eq!(server.count_requests(|_| true), 3);
}

#[test]
fn a_part_that_may_have_run_is_not_asked_again_where_its_class_forbids_it() {
    let cut = |target: &str| match healthy_reply(target, 0..6, 2) {
        Reply::Json(body) => Reply::Truncated(body),
        other => other,
    };
    let (a, b) = (FeatureServer::start(cut), FeatureServer::start(cut));
    let rows = inventory_row("a", &a, "devices", "") + &inventory_row("b", &b, "devices", "");
    let edge = Process::start_edge("once", "", &rows);
    assert_eq!(edge.get_with_headers(ITEMS, "X-Qos: once\r\n").status, 502);
    assert_eq!(a.count_requests(|_| true) + b.count_requests(|_| true), 1);
    assert_eq!(edge.get_with_headers(ITEMS, "X-Qos: none\r\n").status, 400);
}

#[test]
fn a_server_that_hangs_runs_out_of_time_or_leaves_an_answer_in_part() {
    let (sound, hung) = (FeatureServer::healthy(0..3, 10), FeatureServer::start(|_| Reply::Hang));
    let rows = inventory_row("a", &sound, "devices/n", "") + &inventory_row("b", &hung, "devices/s", "");
    let edge = Process::start_edge("hang", "", &rows);
    let late = edge.get_with_headers(ITEMS, "X-Qos: brief\r\n");
    assert_eq!((late.status, late.json()["status"].as_u64()), (504, Some(504)));
    let part = edge.get_with_headers(ITEMS, "X-Qos: part\r\n");
    assert_eq!((part.status, part.ids()), (200, expected(0..3)));
    assert_eq!(part.headers["x-answer-whole"], "false");
    let json = part.json();
    assert_eq!((&json["partial"], &json["missing"][0]), (&true.into(), &"s".into()));
    assert!(json.get("numberMatched").is_none(), "what is not known is not told");
    let one = edge.get_with_headers("/collections/devices/items/d77", "X-Qos: part\r\n");
    assert_eq!(one.status, 502, "the server that hangs may hold it");
}

#[test]
fn next_links_lead_nowhere_but_on_at_the_same_server() {
    let elsewhere = FeatureServer::healthy(0..2, 1);
    let other = elsewhere.address;
    let lead = move |href: String| {
        Reply::Json(format!(r#"{{"features":[{{"id":"d0"}}],"links":[{{"rel":"next","href":"{href}"}}]}}"#))
    };
    let away = FeatureServer::start(move |_| lead(format!("http://{other}/collections/away/items?offset=1")));
    let round = FeatureServer::start(move |t| lead(t.to_owned()));
    let mut page = 0;
    let endless = FeatureServer::start(move |_| {
        page += 1;
        lead(format!("/collections/endless/items?offset={page}"))
    });
    let large =
        FeatureServer::start(|_| Reply::Json(format!(r#"{{"features":[],"x":"{}"}}"#, "x".repeat(100_000))));
    let rows = inventory_row("a", &away, "away", "")
        + &inventory_row("b", &round, "round", "")
        + &inventory_row("c", &endless, "endless", "")
        + &inventory_row("d", &large, "large", "");
    let edge = Process::start_edge("links", "attempts = 1\nmost_pages = 7\nmost_bytes = 50000", &rows);
    for name in ["away", "round", "large"] {
        assert!(edge.get(&format!("/collections/{name}/items")).status >= 500, "{name}");
    }
    assert_eq!(elsewhere.count_requests(|_| true), 0);
    assert_eq!((round.count_requests(|_| true), large.count_requests(|_| true)), (1, 1));
    // New links for ever, and never a new feature: what there is, once, after no more than two tries of two pages.
    let answer = edge.get("/collections/endless/items");
    assert_eq!((answer.status, answer.ids()), (200, expected(0..1)));
    assert!(endless.count_requests(|_| true) <= 4, "{}", endless.count_requests(|_| true));
}

#[test]
fn a_drain_ends_a_walk_between_pages_and_a_bad_reload_changes_nothing() {
    let (gate, held) = channel::<()>();
    let held = Mutex::new(held);
    let draining = FeatureServer::start(move |target| {
        if query_parameter(target, "offset").is_none() {
            held.lock().expect("gate").recv().expect("opened");
        }
        healthy_reply(target, 0..6, 2)
    });
    let (sound, hung) = (FeatureServer::healthy(0..6, 2), FeatureServer::start(|_| Reply::Hang));
    let clock = inventory_row("h", &hung, "hung", "");
    let edge = Process::start_edge("drain", "", &(inventory_row("a", &draining, "devices", "") + &clock));
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| edge.get(ITEMS));
        while draining.count_requests(|_| true) == 0 {
            std::thread::yield_now();
        }
        edge.write_inventory("a,nowhere,devices,\n");
        edge.signal("HUP");
        assert!(edge.wait_for_log("stays as it was").contains("i.csv:2: address: "));
        edge.write_inventory(
            &(inventory_row("a", &draining, "devices", "draining")
                + &inventory_row("b", &sound, "devices", "")
                + &clock),
        );
        edge.signal("HUP");
        edge.wait_for_log("loaded anew");
        // This one runs out of time 400 ms on: by then the drain's grace is over.
        assert_eq!(edge.get_with_headers("/collections/hung/items", "X-Qos: brief\r\n").status, 504);
        gate.send(()).expect("it waits");
        let answer = asked.join().expect("asked");
        assert_eq!((answer.status, answer.ids()), (200, expected(0..6)));
    });
    assert_eq!(draining.count_requests(|_| true), 1, "no page was asked of it after the grace");
    assert_eq!(edge.get(ITEMS).status, 200);
    assert_eq!(draining.count_requests(|_| true), 1);
}

#[test]
fn a_burst_beyond_what_is_held_is_refused_with_retry_after() {
    let hung = FeatureServer::start(|_| Reply::Hang);
    let edge = Process::start_edge(
        "burst",
        "most_held = 4\nretry_after_ms = 1500",
        &inventory_row("a", &hung, "devices", ""),
    );
    let statuses = std::thread::scope(|scope| {
        let ask = || edge.get_with_headers(ITEMS, "X-Qos: brief\r\n");
        let asked: Vec<_> = (0..12).map(|_| scope.spawn(ask)).collect();
        asked.into_iter().map(|a| a.join().expect("asked")).collect::<Vec<_>>()
    });
    let refused: Vec<_> = statuses.iter().filter(|a| a.status == 503).collect();
    assert!(!refused.is_empty() && statuses.iter().all(|a| matches!(a.status, 503 | 504)), "{statuses:?}");
    assert!(refused.iter().all(|a| matches!(a.headers["retry-after"].as_str(), "1" | "2")), "{refused:?}");
}

#[test]
fn told_to_end_it_answers_what_it_holds_and_leaves() {
    let (gate, held) = channel::<()>();
    let held = Mutex::new(held);
    let server = FeatureServer::start(move |target| {
        held.lock().expect("gate").recv().expect("opened");
        healthy_reply(target, 0..2, 2)
    });
    let mut edge = Process::start_edge("end", "", &inventory_row("a", &server, "devices", ""));
    std::thread::scope(|scope| {
        let asked = scope.spawn(|| edge.send_request(&format!("GET {ITEMS} HTTP/1.1\r\nHost: x\r\n\r\n")));
        while server.count_requests(|_| true) == 0 {
            std::thread::yield_now();
        }
        edge.signal("TERM");
        edge.wait_for_log("told to end");
        gate.send(()).expect("it waits");
        // Its connection is kept: it ends with the program.
        assert_eq!(asked.join().expect("asked").status, 200);
    });
    assert!(edge.wait_for_exit());
}

#[test]
fn feature_queries_count_in_the_figures_by_their_class() {
    let server = FeatureServer::healthy(0..3, 2);
    let edge =
        Process::start_edge("figures", "mgmt = \"127.0.0.1:0\"", &inventory_row("a", &server, "devices", ""));
    let dump = |call: &str| management_call(edge.management_address(), call);
    while dump("HEALTH\n") != "YES\n" {}
    assert_eq!(edge.get(ITEMS).status, 200);
    assert_eq!(edge.get_with_headers(ITEMS, "X-Qos: once\r\n").status, 200);
    let text = dump("DUMP\n");
    // A page is an attempt, and an answer of two pages one answer.
    for figure in ["exact.ok=1", "exact.tries=2", "once.ok=1", "once.tries=2", "part.ok=0"] {
        assert!(text.contains(&format!("\nnode.responses.{figure}\n")), "{figure} in {text}");
    }
    assert!(text.contains("\nnode.pool_size=1\n") && text.contains("\nnode.active=0\n"), "{text}");
}
