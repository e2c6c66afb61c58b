//! Pages of feature servers: merged over shards, continued over `next` links, and bounded.

use crate::standin::feature_server::{healthy_reply, inventory_row, FeatureServer, Reply};
use crate::standin::process::Process;
use crate::support::{expected, ITEMS};

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
