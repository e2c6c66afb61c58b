//! Pages of feature servers: merged over shards, continued over `next` links, and bounded.

use crate::standin::feature_server::{
    healthy_response, inventory_row, inventory_row_in_state, FeatureServer, ServerResponse,
};
use crate::standin::process::Process;
use crate::support::{feature_ids, ITEMS};

#[test]
fn pages_of_all_shards_are_merged_and_a_limited_response_continues() {
    let north = FeatureServer::healthy(0..7, 3);
    let south = FeatureServer::healthy(100..105, 2);
    let rows = inventory_row("a", &north, "devices/n") + &inventory_row("b", &south, "devices/s");
    let process = Process::start_feature_front("pages", "", &rows);
    let complete = process.get(ITEMS);
    let all: Vec<String> = feature_ids(0..7)
        .into_iter()
        .chain(feature_ids(100..105))
        .collect();
    assert_eq!((complete.status, complete.ids()), (200, all.clone()));
    assert_eq!(complete.json()["numberMatched"], 12);
    assert_eq!(complete.headers["x-answer-whole"], "true");
    assert_eq!(
        north.count_requests(|t| t.starts_with("/collections/n/items")),
        3,
        "each page is requested once"
    );
    let mut returned = Vec::new();
    let mut next = Some(format!("{ITEMS}?limit=4&bbox=0,0,9,9"));
    while let Some(target) = next {
        let page = process.get(&target);
        assert!(page.ids().len() <= 4);
        returned.extend(page.ids());
        next = page.link("next");
    }
    assert_eq!(
        returned, all,
        "the responses of the next links have no duplicates and no gaps"
    );
    assert!(
        north.count_requests(|t| t.contains("bbox=0%2C0%2C9%2C9")) > 0,
        "the bounding box is passed on to the servers"
    );
}

#[test]
fn all_pages_are_fetched_from_a_server_that_closes_after_each() {
    // Each page is fetched on a new connection, since the server has closed the one before.
    let server = FeatureServer::start(|target| match healthy_response(target, 0..6, 2) {
        ServerResponse::Json(body) => ServerResponse::CloseDelimited(body),
        other => other,
    });
    let process =
        Process::start_feature_front("close", "", &inventory_row("a", &server, "devices"));
    let response = process.get(ITEMS);
    assert_eq!((response.status, response.ids()), (200, feature_ids(0..6)));
    assert_eq!(server.count_requests(|_| true), 3);
}

/// Starts a server whose pages all have the feature d0 and a `next` link; `next_link` returns the
/// target of the link for the target of a request.
fn start_with_next_link(
    mut next_link: impl FnMut(&str) -> String + Send + 'static,
) -> FeatureServer {
    FeatureServer::start(move |target| {
        let href = next_link(target);
        ServerResponse::Json(format!(
            r#"{{"features":[{{"id":"d0"}}],"links":[{{"rel":"next","href":"{href}"}}]}}"#
        ))
    })
}

/// Starts a server whose `next` links go on without end.
fn start_endless() -> FeatureServer {
    let mut page = 0;
    start_with_next_link(move |_| {
        page += 1;
        format!("/collections/endless/items?offset={page}")
    })
}

/// Starts a server whose page has more than 100,000 bytes.
fn start_with_large_page() -> FeatureServer {
    let padding = "x".repeat(100_000);
    FeatureServer::start(move |_| {
        ServerResponse::Json(format!(r#"{{"features":[],"x":"{padding}"}}"#))
    })
}

#[test]
fn next_links_are_followed_only_forward_and_at_the_same_server() {
    let elsewhere = FeatureServer::healthy(0..2, 1);
    let away_link = format!(
        "http://{}/collections/away/items?offset=1",
        elsewhere.address
    );
    let away = start_with_next_link(move |_| away_link.clone());
    let circular = start_with_next_link(str::to_owned);
    let endless = start_endless();
    let large = start_with_large_page();
    let rows = inventory_row("a", &away, "away")
        + &inventory_row("b", &circular, "circular")
        + &inventory_row("c", &endless, "endless")
        + &inventory_row("d", &large, "large");
    let settings = "attempts = 1\nmost_pages = 7\nmost_bytes = 50000";
    let process = Process::start_feature_front("links", settings, &rows);

    for name in ["away", "circular", "large"] {
        let status = process.get(&format!("/collections/{name}/items")).status;
        assert!(status >= 500, "{name}");
    }
    assert_eq!(elsewhere.count_requests(|_| true), 0);
    assert_eq!(circular.count_requests(|_| true), 1);
    assert_eq!(large.count_requests(|_| true), 1);

    // Endless links without a new feature: the one feature is returned once, after at most two
    // attempts of two pages.
    let response = process.get("/collections/endless/items");
    assert_eq!((response.status, response.ids()), (200, feature_ids(0..1)));
    let requests = endless.count_requests(|_| true);
    assert!(requests <= 4, "{requests}");
}

/// Guards against a client that has to restart at the first page although the server of its next
/// page is still listed.
#[test]
fn a_next_link_to_a_draining_server_can_be_retried_until_the_server_is_removed() {
    let server = FeatureServer::healthy(0..6, 2);
    let other = FeatureServer::healthy(0..6, 2);
    let other_row = inventory_row("b", &other, "devices");
    let rows_with = |state| inventory_row_in_state("a", &server, "devices", state) + &other_row;
    let process =
        Process::start_feature_front("drained-link", "", &inventory_row("a", &server, "devices"));
    let first = process.get(&format!("{ITEMS}?limit=2"));
    let next = first.link("next").expect("the response has a next link");

    process.reload_inventory(&rows_with("draining"));
    let draining = process.get(&next);
    assert_eq!(
        (
            draining.status,
            draining.headers.contains_key("retry-after")
        ),
        (503, true)
    );
    process.reload_inventory(&rows_with("in_service"));
    let served = process.get(&next);
    assert_eq!((served.status, served.ids()), (200, feature_ids(2..4)));
    process.reload_inventory(&other_row);
    assert_eq!(process.get(&next).status, 410);
}

/// Guards against a page that is requested from a server that no longer has its shard.
#[test]
fn a_next_link_of_servers_with_the_same_order_goes_to_a_server_of_its_shard() {
    let servers = [0, 1].map(|_| FeatureServer::healthy(0..6, 2));
    let rows = |first: &str| {
        inventory_row("a", &servers[0], first) + &inventory_row("b", &servers[1], "devices/n")
    };
    let settings = "[[collection]]\nid = \"devices\"\nsame_order = true\n";
    let process = Process::start_feature_front("moved-link", settings, &rows("devices/n"));
    let mut next = None;
    while servers[0].count_requests(|_| true) == 0 {
        next = process.get(&format!("{ITEMS}?limit=2")).link("next");
    }
    let next = next.expect("the response has a next link");
    process.reload_inventory(&rows("devices/m"));
    let requests = servers[0].count_requests(|_| true);
    for _ in 0..4 {
        let served = process.get(&next);
        assert_eq!((served.status, served.ids()), (200, feature_ids(2..4)));
    }
    assert_eq!(servers[0].count_requests(|_| true), requests);
}
