//! Clients that follow the `next` links to the end get each feature once, and the number of requests
//! to servers stays close to the number of pages.

mod standin;

use standin::feature_server::{inventory_row, query_parameter, FeatureServer, ServerResponse};
use standin::process::Process;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;

const ITEMS: &str = "/collections/devices/items";

/// Returns a page by `limit` and `offset`; `order` returns the feature at each position.
fn page(
    target: &str,
    ids: &std::ops::Range<usize>,
    order: &dyn Fn(usize) -> usize,
) -> ServerResponse {
    let size = query_parameter(target, "limit").unwrap_or(10).min(500);
    let from = query_parameter(target, "offset").unwrap_or(0);
    let to = (from + size).min(ids.len());
    let feature = |n: usize| format!(r#"{{"type":"Feature","id":"d{}"}}"#, ids.start + order(n));
    let features: Vec<String> = (from..to).map(feature).collect();
    let path = target.split('?').next().unwrap_or_default();
    let next = format!(r#"{{"rel":"next","href":"{path}?limit={size}&offset={to}"}}"#);
    let links = if to < ids.len() { next } else { String::new() };
    ServerResponse::Json(format!(
        r#"{{"type":"FeatureCollection","numberMatched":{},"features":[{}],"links":[{links}]}}"#,
        ids.len(),
        features.join(",")
    ))
}

/// Starts a server with its features in this order, which responds with errors while `down` is set.
fn start_replica(
    down: &Arc<AtomicBool>,
    ids: std::ops::Range<usize>,
    order: impl Fn(usize) -> usize + Send + 'static,
) -> FeatureServer {
    let down = down.clone();
    FeatureServer::start(move |target| match down.load(Relaxed) {
        true => ServerResponse::Status(500),
        false => page(target, &ids, &order),
    })
}

/// Starts a server with these features in ascending order.
fn start_server(ids: std::ops::Range<usize>) -> FeatureServer {
    FeatureServer::start(move |target| page(target, &ids, &|n| n))
}

/// Follows the `next` links and returns all identifiers and the number of responses. Calls
/// `before_request` with the number of responses so far.
fn follow_next_links(
    process: &Process,
    first: &str,
    mut before_request: impl FnMut(usize),
) -> (Vec<String>, usize) {
    let mut ids = Vec::new();
    let mut next = Some(first.to_owned());
    let mut responses = 0;
    while let Some(target) = next {
        before_request(responses);
        let response = process.get(&target);
        if response.status == 503 {
            assert!(response.headers.contains_key("retry-after"));
            next = Some(target);
            responses += 1;
            continue;
        }
        assert_eq!(
            (response.status, response.headers["x-answer-whole"].as_str()),
            (200, "true"),
            "{response:?}"
        );
        ids.extend(response.ids());
        next = response.link("next");
        responses += 1;
    }
    (ids, responses)
}

/// Asserts that the identifiers are those of `all` features, each exactly once.
fn assert_each_once(mut ids: Vec<String>, all: usize) {
    let returned = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(
        (returned, ids.len()),
        (all, all),
        "each feature is returned exactly once"
    );
}

#[test]
fn the_number_of_requests_follows_the_features_returned() {
    let north = start_server(0..20_000);
    let south = start_server(20_000..40_000);
    let rows = inventory_row("a", &north, "devices/n") + &inventory_row("b", &south, "devices/s");
    let process = Process::start_feature_front("cost", "", &rows);
    let requests = || north.count_requests(|_| true) + south.count_requests(|_| true);
    let first_page = process.get(&format!("{ITEMS}?limit=2"));
    assert_eq!(
        (
            first_page.ids().len(),
            first_page.json()["numberMatched"].as_u64(),
            requests()
        ),
        (2, Some(40_000), 2)
    );
    for (limit, pages) in [(500, 80), (5_000, 80)] {
        let before = requests();
        let (ids, responses) =
            follow_next_links(&process, &format!("{ITEMS}?limit={limit}"), |_| {});
        assert_each_once(ids, 40_000);
        let requests = requests() - before;
        assert!(
            requests * 10 <= pages * 12,
            "limit {limit}: {requests} requests for {pages} pages"
        );
        assert!(
            responses * 10 <= 40_000 / limit * 12 + 10,
            "limit {limit}: {responses} responses"
        );
    }
}

#[test]
fn each_feature_is_returned_once_despite_differing_replicas_outages_and_a_reload() {
    // Two replicas in opposite orders, each down for a while in turn: neither can continue the
    // pages of the other.
    let down: [Arc<AtomicBool>; 2] = Default::default();
    let a = start_replica(&down[0], 0..2_000, |next| next);
    let b = start_replica(&down[1], 0..2_000, |next| 1_999 - next);
    let other = start_server(5_000..6_000);
    let rows = inventory_row("a", &a, "devices/n")
        + &inventory_row("b", &b, "devices/n")
        + &inventory_row("c", &other, "devices/s");
    let process = Process::start_feature_front("differ", "retry_after_ms = 50", &rows);
    let (ids, _) = follow_next_links(&process, &format!("{ITEMS}?limit=100"), |response| {
        // Each is down before one response, and both are up again at the next.
        down[0].store(response == 3, Relaxed);
        down[1].store(response == 7, Relaxed);
        if response == 5 {
            let unreachable =
                inventory_row("d", &b, "more").replace(&b.address.to_string(), "127.0.0.1:9");
            process.reload_inventory(&(rows.clone() + &unreachable));
        }
    });
    assert_each_once(ids, 3_000);
    let requests =
        a.count_requests(|_| true) + b.count_requests(|_| true) + other.count_requests(|_| true);
    assert!(
        requests <= 36 + 8,
        "30 pages, and the requests to servers that were down: {requests}"
    );
}

/// Asserts that the response is a problem document of this status whose detail contains `words`.
fn assert_problem(process: &Process, target: &str, status: u16, words: &str) {
    let response = process.get(target);
    let problem = response.json();
    let detail = problem["detail"].as_str().unwrap_or_default();
    assert_eq!(response.status, status, "{target}: {detail}");
    assert!(detail.contains(words), "{target}: {detail}");
}

#[test]
fn forged_expired_and_foreign_cursors_are_rejected() {
    let north = start_server(0..50);
    let south = start_server(100..150);
    let rows = inventory_row("a", &north, "devices/n") + &inventory_row("b", &south, "devices/s");
    let process = Process::start_feature_front("cursors", "", &rows);
    let next = process
        .get(&format!("{ITEMS}?limit=10&bbox=0,0,9,9"))
        .link("next")
        .expect("the response has a next link");
    assert_eq!(process.get(&next).status, 200);
    let foreign = next.replace("bbox=0%2C0%2C9%2C9", "bbox=0%2C0%2C9%2C8");
    assert_problem(&process, &foreign, 400, "another query");
    let forged = format!("{ITEMS}?cursor=AAAA");
    assert_problem(&process, &forged, 400, "not made by this service");
    let longer = next.replace("limit=10", "limit=20");
    assert_eq!(process.get(&longer).status, 200, "the limit may change");
    // The server that can continue the pages has been removed.
    let replaced = inventory_row("e", &start_server(0..50), "devices/n")
        + &inventory_row("b", &south, "devices/s");
    process.reload_inventory(&replaced);
    assert_problem(&process, &next, 410, "begin anew");
}

#[test]
fn servers_of_the_same_order_continue_the_pages_of_each_other() {
    let down: [Arc<AtomicBool>; 2] = Default::default();
    let [a, b] = [0, 1].map(|n| start_replica(&down[n], 0..1_000, |next| next));
    let rows = inventory_row("a", &a, "devices/n") + &inventory_row("b", &b, "devices/n");
    let settings = "[[collection]]\nid = \"devices\"\nsame_order = true\n";
    let process = Process::start_feature_front("order", settings, &rows);
    let (ids, responses) = follow_next_links(&process, &format!("{ITEMS}?limit=100"), |response| {
        down[0].store((2..5).contains(&response), Relaxed);
        down[1].store((6..9).contains(&response), Relaxed);
    });
    assert_each_once(ids, 1_000);
    assert_eq!(responses, 10, "no response failed");
}

/// A filter that all features match and that the front evaluates, so that it requests large pages
/// and cuts them.
const FRONT_FILTER: &str = "filter=id%20LIKE%20'd%25'";

/// Starts two servers that have these features in opposite orders.
fn start_opposite_replicas(ids: std::ops::Range<usize>) -> [FeatureServer; 2] {
    let last = ids.len() - 1;
    let up: Arc<AtomicBool> = Arc::default();
    let ascending = start_replica(&up, ids.clone(), |next| next);
    let descending = start_replica(&up, ids, move |next| last - next);
    [ascending, descending]
}

/// Guards against features that are in no response, since a response that ended within the first
/// page of a shard was continued at a replica that has another order.
#[test]
fn a_response_that_ends_within_a_first_page_is_continued_at_its_server() {
    let north = start_opposite_replicas(0..37);
    let south = start_opposite_replicas(100..137);
    let rows = inventory_row("a", &north[0], "devices/n")
        + &inventory_row("b", &north[1], "devices/n")
        + &inventory_row("c", &south[0], "devices/s")
        + &inventory_row("d", &south[1], "devices/s");
    let process = Process::start_feature_front("within", "", &rows);
    for query in ["limit=54", "limit=45", &format!("limit=4&{FRONT_FILTER}")] {
        for _ in 0..8 {
            let (ids, _) = follow_next_links(&process, &format!("{ITEMS}?{query}"), |_| {});
            assert_each_once(ids, 74);
        }
    }
}

/// Guards against features that are in no response, since the server in whose first page a response
/// ended was replaced by one with another order.
#[test]
fn a_response_that_ends_within_a_first_page_needs_its_server() {
    let [first, second] = start_opposite_replicas(0..30);
    let row =
        |state: &str| inventory_row("a", &first, "devices").replace(",\n", &format!(",{state}\n"));
    let process = Process::start_feature_front("replaced", "", &row("in_service"));
    let first_target = format!("{ITEMS}?limit=4&{FRONT_FILTER}");
    let next = process
        .get(&first_target)
        .link("next")
        .expect("there are more features");

    process.reload_inventory(&(row("draining") + &inventory_row("b", &second, "devices")));
    let draining = process.get(&next);
    assert_eq!(draining.status, 503);
    assert!(draining.headers.contains_key("retry-after"));
    process.reload_inventory(&inventory_row("b", &second, "devices"));
    assert_problem(&process, &next, 410, "begin anew");
    process.reload_inventory(&row("in_service"));
    assert_eq!(process.get(&next).ids(), ["d4", "d5", "d6", "d7"]);
}

/// Guards against a rejected link although another server can continue the page.
#[test]
fn servers_of_the_same_order_continue_a_first_page_of_each_other() {
    let up: Arc<AtomicBool> = Arc::default();
    let [a, b] = [0, 1].map(|_| start_replica(&up, 0..30, |next| next));
    let settings = "[[collection]]\nid = \"devices\"\nsame_order = true\n";
    let process =
        Process::start_feature_front("same-first", settings, &inventory_row("a", &a, "devices"));
    let first = process.get(&format!("{ITEMS}?limit=4&{FRONT_FILTER}"));
    process.reload_inventory(&inventory_row("b", &b, "devices"));
    let next = first.link("next").expect("there are more features");
    assert_eq!(process.get(&next).ids(), ["d4", "d5", "d6", "d7"]);
}
