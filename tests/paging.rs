//! Following `next` to the end: each feature once, and no more requests to servers than pages there are.

mod standin;

use standin::feature_server::{inventory_row, query_parameter, FeatureServer, Reply};
use standin::process::Process;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

const ITEMS: &str = "/collections/devices/items";

/// A page by `limit` and `offset`, as most servers do; `order` is where each server has a feature.
fn page(target: &str, ids: &std::ops::Range<usize>, order: &dyn Fn(usize) -> usize) -> Reply {
    let size = query_parameter(target, "limit").unwrap_or(10).min(500);
    let from = query_parameter(target, "offset").unwrap_or(0);
    let to = (from + size).min(ids.len());
    let feature = |n: usize| format!(r#"{{"type":"Feature","id":"d{}"}}"#, ids.start + order(n));
    let list: Vec<String> = (from..to).map(feature).collect();
    let path = target.split('?').next().unwrap_or_default();
    let next = format!(r#"{{"rel":"next","href":"{path}?limit={size}&offset={to}"}}"#);
    let links = if to < ids.len() { next } else { String::new() };
    Reply::Json(format!(
        r#"{{"type":"FeatureCollection","numberMatched":{},"features":[{}],"links":[{links}]}}"#,
        ids.len(),
        list.join(",")
    ))
}

/// One of two replicas, which answers with errors while it is away.
fn replica(
    away: &Arc<AtomicBool>,
    ids: std::ops::Range<usize>,
    order: impl Fn(usize) -> usize + Send + 'static,
) -> FeatureServer {
    let away = away.clone();
    FeatureServer::start(move |target| match away.load(Relaxed) {
        true => Reply::Status(500),
        false => page(target, &ids, &order),
    })
}

fn server(ids: std::ops::Range<usize>) -> FeatureServer {
    FeatureServer::start(move |target| page(target, &ids, &|n| n))
}

/// All ids over the next links; `between` is called before each answer with its number.
fn follow(edge: &Process, first: &str, mut between: impl FnMut(usize)) -> (Vec<String>, usize) {
    let (mut ids, mut at, mut answers) = (Vec::new(), Some(first.to_owned()), 0);
    while let Some(target) = at {
        between(answers);
        let answer = edge.get(&target);
        if answer.status == 503 {
            assert!(answer.headers.contains_key("retry-after"));
            at = Some(target);
            answers += 1;
            continue;
        }
        assert_eq!((answer.status, answer.headers["x-answer-whole"].as_str()), (200, "true"), "{answer:?}");
        ids.extend(answer.ids());
        at = answer.link("next");
        answers += 1;
    }
    (ids, answers)
}

fn each_once(mut ids: Vec<String>, all: usize) {
    let came = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!((came, ids.len()), (all, all), "each feature exactly once");
}

#[test]
fn an_answer_costs_what_it_returns() {
    let (north, south) = (server(0..20_000), server(20_000..40_000));
    let rows = inventory_row("a", &north, "devices/n", "") + &inventory_row("b", &south, "devices/s", "");
    let edge = Process::start_edge("cost", "", &rows);
    let asked = || north.count_requests(|_| true) + south.count_requests(|_| true);
    let two = edge.get(&format!("{ITEMS}?limit=2"));
    assert_eq!((two.ids().len(), two.json()["numberMatched"].as_u64(), asked()), (2, Some(40_000), 2));
    for (limit, pages) in [(500, 80), (5_000, 80)] {
        let before = asked();
        let (ids, answers) = follow(&edge, &format!("{ITEMS}?limit={limit}"), |_| {});
        each_once(ids, 40_000);
        let requests = asked() - before;
        assert!(requests * 10 <= pages * 12, "limit {limit}: {requests} requests for {pages} pages");
        assert!(answers * 10 <= 40_000 / limit * 12 + 10, "limit {limit}: {answers} answers");
    }
}

#[test]
fn each_feature_comes_once_though_replicas_differ_a_server_leaves_and_the_inventory_is_read_anew() {
    // Two replicas in opposite orders, each gone for a while in turn: what one began the other cannot go on with.
    let away: [Arc<AtomicBool>; 2] = Default::default();
    let (a, b) = (replica(&away[0], 0..2_000, |at| at), replica(&away[1], 0..2_000, |at| 1_999 - at));
    let other = server(5_000..6_000);
    let rows = inventory_row("a", &a, "devices/n", "")
        + &inventory_row("b", &b, "devices/n", "")
        + &inventory_row("c", &other, "devices/s", "");
    let edge = Process::start_edge("differ", "retry_after_ms = 50", &rows);
    let (ids, _) = follow(&edge, &format!("{ITEMS}?limit=100"), |n| {
        // Each is away before one answer, and both are back at the next.
        away[0].store(n == 3, Relaxed);
        away[1].store(n == 7, Relaxed);
        if n == 5 {
            edge.write_inventory(
                &(rows.clone()
                    + &inventory_row("d", &b, "more", "").replace(&b.address.to_string(), "127.0.0.1:9")),
            );
            edge.signal("HUP");
            edge.wait_for_log("loaded anew");
        }
    });
    each_once(ids, 3_000);
    let asked = a.count_requests(|_| true) + b.count_requests(|_| true) + other.count_requests(|_| true);
    assert!(asked <= 36 + 8, "30 pages, and what a server that was away was asked: {asked}");
}

#[test]
fn a_cursor_that_is_forged_stale_or_of_another_query_is_told_as_such() {
    let (north, south) = (server(0..50), server(100..150));
    let rows = inventory_row("a", &north, "devices/n", "") + &inventory_row("b", &south, "devices/s", "");
    let edge = Process::start_edge("cursors", "", &rows);
    let next = edge.get(&format!("{ITEMS}?limit=10&bbox=0,0,9,9")).link("next").expect("a next link");
    assert_eq!(edge.get(&next).status, 200);
    let told = |target: &str, status: u16, words: &str| {
        let answer = edge.get(target);
        let detail = answer.json()["detail"].as_str().unwrap_or_default().to_owned();
        assert_eq!((answer.status, detail.contains(words)), (status, true), "{target}: {detail}");
    };
    told(&next.replace("bbox=0%2C0%2C9%2C9", "bbox=0%2C0%2C9%2C8"), 400, "another query");
    told(&format!("{ITEMS}?cursor=AAAA"), 400, "not made by this service");
    assert_eq!(edge.get(&next.replace("limit=10", "limit=20")).status, 200, "the limit may change");
    // The server that knows how its pages go on has left for good.
    edge.write_inventory(
        &(inventory_row("e", &server(0..50), "devices/n", "") + &inventory_row("b", &south, "devices/s", "")),
    );
    edge.signal("HUP");
    edge.wait_for_log("loaded anew");
    told(&next, 410, "begin anew");
}

#[test]
fn where_all_servers_have_one_order_another_goes_on() {
    let away: [Arc<AtomicBool>; 2] = Default::default();
    let [a, b] = [0, 1].map(|n| replica(&away[n], 0..1_000, |at| at));
    let rows = inventory_row("a", &a, "devices/n", "") + &inventory_row("b", &b, "devices/n", "");
    let settings = "[[collection]]\nid = \"devices\"\nsame_order = true\n";
    let edge = Process::start_edge("order", settings, &rows);
    let (ids, answers) = follow(&edge, &format!("{ITEMS}?limit=100"), |n| {
        away[0].store((2..5).contains(&n), Relaxed);
        away[1].store((6..9).contains(&n), Relaxed);
    });
    each_once(ids, 1_000);
    assert_eq!(answers, 10, "no answer failed");
}
