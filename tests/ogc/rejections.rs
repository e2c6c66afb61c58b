//! Responses with status 503, after which a client asks again.

use crate::standin::client::Response;
use crate::standin::feature_server::{
    healthy_response, inventory_row, query_parameter, FeatureServer, ServerResponse,
};
use crate::standin::process::Process;
use crate::support::ITEMS;

/// The status of a server that starts no further requests.
const TOO_MANY_REQUESTS: u16 = 429;
/// The orders and filters of queries that need all pages before they have a feature to return: the
/// servers cannot sort, and no feature matches.
const QUERIES_OF_ALL_PAGES: [&str; 2] = ["sortby=volts", "filter=volts%3E1"];

/// Returns the response to a query of this class whose server serves the first `served_pages` pages
/// and turns the others away, and the number of the server's requests for the first page.
fn response_after_pages(served_pages: usize, query: &str, class: &str) -> (Response, usize) {
    const PAGE_SIZE: usize = 2;
    let server =
        FeatureServer::start(
            move |target| match query_parameter(target, "offset").unwrap_or(0) {
                offset if target.contains("/items") && offset >= served_pages * PAGE_SIZE => {
                    ServerResponse::Status(TOO_MANY_REQUESTS)
                }
                _ => healthy_response(target, 0..6, PAGE_SIZE),
            },
        );
    let name = format!("{class}{served_pages}{}", query.len());
    let process = Process::start_feature_front(&name, "", &inventory_row("a", &server, "devices"));
    let headers = format!("X-Qos: {class}\r\n");
    let response = process.get_with_headers(&format!("{ITEMS}?{query}"), &headers);
    let first_pages =
        server.count_requests(|target| target.contains("/items") && !target.contains("offset="));
    (response, first_pages)
}

#[test]
fn a_non_idempotent_query_fails_if_a_page_ran_before_the_others_were_rejected() {
    // Guards against a 503 for a query whose pages ran: its client asks again, and they run twice.
    for query in QUERIES_OF_ALL_PAGES {
        for served_pages in [1, 2] {
            let (response, first_pages) = response_after_pages(served_pages, query, "once");
            assert_eq!(response.status, 502, "{query} after {served_pages} pages");
            assert!(!response.headers.contains_key("retry-after"), "{query}");
            assert_eq!(first_pages, 1, "{query}: the first page ran once");
        }
    }
}

#[test]
fn a_query_is_rejected_if_no_page_ran_or_its_pages_may_run_again() {
    for query in QUERIES_OF_ALL_PAGES {
        for (served_pages, class) in [(0, "once"), (1, "exact")] {
            let (response, _) = response_after_pages(served_pages, query, class);
            assert_eq!(response.status, 503, "{query}, {class}");
            assert!(response.headers.contains_key("retry-after"), "{query}");
        }
    }
}
