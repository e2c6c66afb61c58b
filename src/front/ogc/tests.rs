//! Tests of the front without sockets: arbitrary requests get a problem document or start a query,
//! and cursors of earlier releases are accepted.

mod cursors;
mod rejections;

use super::config::EdgeConfig;
use super::cql2;
use super::cursor::CursorKey;
use super::page_request::PageRequest;
use super::*;
use crate::coordinator::Answer;
use crate::proto::http::ServerConnection;
use crate::sync::lock;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn front() -> OgcFront {
    let edge =
        EdgeConfig::load(std::path::Path::new("deploy/edge.toml")).expect("the edge file is valid");
    let catalog = SharedCatalog::default();
    let servers = edge.load_inventory().expect("the inventory is valid");
    lock(&catalog).load(&servers, Micros::ZERO);
    OgcFront::new(FrontDependencies {
        edge,
        catalog,
        cursor_key: CursorKey::new(b"a key"),
        metrics: Arc::default(),
        server_capacity: Arc::default(),
    })
}

/// Returns the response to the bytes of a request. All requests to servers fail. Returns `None` if
/// the query proceeds to its first round after capability discovery failed.
fn response_to(front: &OgcFront, bytes: &[u8]) -> Option<Response> {
    let mut server = ServerConnection::default();
    server.set_max_body(front.max_body());
    server.input().extend(bytes);
    server.on_end_of_stream();
    match server.next_request()? {
        Err(e) => Some(front.malformed_response(e)),
        Ok(request) => match front.handle(request, Token(1), Micros::ZERO, true) {
            Reaction::Respond(response) => Some(response),
            Reaction::Submit(_, render) => match render(Answer::Failed { late: false }) {
                Reaction::Respond(response) => Some(response),
                // Capability discovery has failed, so this is the first round of the query.
                Reaction::Submit(..) => None,
            },
        },
    }
}

fn check_response(response: &Response) -> Result<(), TestCaseError> {
    let is_problem = response.content_type == "application/problem+json";
    let json: Option<serde_json::Value> = serde_json::from_slice(&response.body.to_vec()).ok();
    prop_assert!((200..600).contains(&response.status));
    if response.status >= 400 {
        let status = json.as_ref().and_then(|j| j["status"].as_u64());
        prop_assert!(
            is_problem && status == Some(u64::from(response.status)),
            "{response:?}"
        );
    }
    // Only a query whose servers fail gets a server error; malformed input never does.
    prop_assert!(
        response.status < 500 || response.status == 502 || response.status == 501,
        "{response:?}"
    );
    Ok(())
}

fn parameter_value() -> impl Strategy<Value = String> {
    let words = [
        "1",
        "0",
        "-1",
        "1e999",
        "NaN",
        "a,b",
        "1,2,3,4",
        "1,2,3,4,5,6",
        "170,-5,-170,5",
        "..",
        "../..",
        "2026-01-01T00:00:00Z",
        "2026-13-01",
        "http://www.opengis.net/def/crs/EPSG/0/4326",
        "EPSG:32633",
        "volts>1",
        "S_INTERSECTS(geometry,POINT(1 1))",
        "((((",
        "NOT NOT",
        "'",
        "cql2-json",
        "{\"op\":\"=\",\"args\":[1,1]}",
        "-name,+x",
        "html",
        "json",
        "AAAA",
        "%ff%00",
        "é",
    ];
    prop_oneof![
        proptest::sample::select(words.to_vec()).prop_map(str::to_owned),
        any::<String>(),
        "[ -~]{0,40}"
    ]
}

fn parameter_name() -> impl Strategy<Value = String> {
    let names = [
        "limit",
        "bbox",
        "bbox-crs",
        "crs",
        "datetime",
        "filter",
        "filter-lang",
        "filter-crs",
        "sortby",
        "properties",
        "cursor",
        "f",
        "volts",
        "x",
    ];
    let known_name = proptest::sample::select(names.to_vec()).prop_map(str::to_owned);
    prop_oneof![9 => known_name, 1 => any::<String>()]
}

fn request_path() -> impl Strategy<Value = String> {
    let paths = [
        "/",
        "/api",
        "/conformance",
        "/collections",
        "/collections/devices",
        "/collections/devices/items",
        "/search",
        "/collections/devices/items/d1",
        "/collections/devices/queryables",
        "/collections/none/items",
        "/collections/%ff",
        "/up",
        "//",
        "/..",
        "/collections/devices/items/%00",
    ];
    let known_path = proptest::sample::select(paths.to_vec()).prop_map(str::to_owned);
    prop_oneof![8 => known_path, 1 => "/[!-~]{0,30}"]
}

/// Returns a strategy for the name and value of a header.
fn header() -> impl Strategy<Value = (&'static str, String)> {
    let names = [
        "Accept",
        "Accept-Encoding",
        "If-None-Match",
        "Host",
        "X-Qos",
        "X-Expires-In",
        "Content-Type",
        "Expect",
    ];
    (proptest::sample::select(names.to_vec()), "[ -~]{0,30}")
}

/// Returns a strategy for the name of a member of a search.
fn member_name() -> impl Strategy<Value = &'static str> {
    let names = [
        "limit",
        "bbox",
        "filter",
        "filter-lang",
        "filter-crs",
        "sortby",
        "datetime",
        "token",
        "crs",
        "x",
    ];
    proptest::sample::select(names.to_vec())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::with_cases(600)
    })]

    #[test]
    fn arbitrary_parameters_are_accepted_or_rejected_with_a_problem(
        path in request_path(),
        method in proptest::sample::select(vec!["GET", "HEAD", "POST", "DELETE", "BREW"]),
        pairs in proptest::collection::vec((parameter_name(), parameter_value()), 0..5),
        headers in proptest::collection::vec(header(), 0..4),
    ) {
        let front = front();
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query.extend_pairs(&pairs);
        let head: String = headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let has_host = headers.iter().any(|(name, _)| *name == "Host");
        let host = if has_host { "" } else { "Host: x\r\n" };
        let bytes = format!("{method} {path}?{} HTTP/1.1\r\n{host}{head}\r\n", query.finish());
        if let Some(response) = response_to(&front, bytes.as_bytes()) {
            check_response(&response)?;
        }
    }

    #[test]
    fn arbitrary_bodies_are_accepted_or_rejected_with_a_problem(
        text in prop_oneof![any::<String>(), "[\\[\\]{}\",:a-z0-9 ]{0,120}"],
        members in proptest::collection::vec((member_name(), parameter_value()), 0..4),
        well_formed: bool,
    ) {
        let front = front();
        let mut body = serde_json::json!({"collections": ["devices"]});
        for (name, value) in members {
            body[name] = serde_json::from_str(&value).unwrap_or(value.into());
        }
        let body = if well_formed { body.to_string() } else { text };
        let head = "POST /search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json";
        let bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if let Some(response) = response_to(&front, bytes.as_bytes()) {
            check_response(&response)?;
        }
    }

    #[test]
    fn arbitrary_heads_are_accepted_or_rejected_with_a_problem(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        insert_position in 0_usize..200,
    ) {
        let front = front();
        let request_line = "GET /collections/devices/items?limit=2 HTTP/1.1";
        let valid = format!("{request_line}\r\nHost: x\r\nAccept: */*\r\n\r\n").into_bytes();
        let position = insert_position.min(valid.len());
        for bytes in [bytes.clone(), [&valid[..position], &bytes, &valid[position..]].concat()] {
            if let Some(response) = response_to(&front, &bytes) {
                check_response(&response)?;
            }
        }
    }
}

#[test]
fn deeply_nested_filters_fit_on_the_stack_of_a_connection() {
    // Uses a stack as small as that of the coroutines, in debug and release builds alike.
    let words = front().stack_words();
    let nested_filter = |n: usize| format!("{}volts = 1{}", "NOT (".repeat(n), ")".repeat(n));
    let run = move || {
        let front = front();
        for n in [1, 11, 12, 30, 300] {
            let mut query = url::form_urlencoded::Serializer::new(String::new());
            query.append_pair("filter", &nested_filter(n));
            let bytes = format!(
                "GET /collections/devices/items?{} HTTP/1.1\r\nHost: x\r\n\r\n",
                query.finish()
            );
            let response = response_to(&front, bytes.as_bytes());
            let rejected = response.as_ref().is_some_and(|r| r.status == 400);
            assert_eq!(rejected, 2 * n + 1 > cql2::MAX_DEPTH, "{n}: {response:?}");
        }
    };
    // The frames of the test and of its libraries need some stack in addition to the program's.
    let thread = std::thread::Builder::new()
        .stack_size(words * 8)
        .spawn(run)
        .expect("the thread starts");
    thread
        .join()
        .expect("the parser neither panics nor overflows the stack");
}

/// Queries, each with a cursor that an earlier release created with the key of [`front`].
///
/// A cursor is bound to the text of its query's parameters. If that text changes, the cursors that
/// clients hold are no longer accepted.
const EARLIER_CURSORS: [(&str, &str); 3] = [
    (
        "bbox=-121,37,-120,38&datetime=2026-01-01T00:00:00Z/..&limit=50",
        "AXsicSI6MTIwMzA1MTY1MzM1NzUwNzUzMTMsImEiOjQwMDAwMDAwMDAsInMiOiJkZXZpY2VzLXNvdXRoIiwiayI6My\
         wibCI6WyJmZWF0dXJlcy0yIiwiL2NvbGxlY3Rpb25zL2RldmljZXMtc291dGgvaXRlbXM_YmJveD0tMTIxJTJDMzcl\
         MkMtMTIwJTJDMzgmbGltaXQ9NTAmb2Zmc2V0PTUwIiw1MF0sIm4iOjEsIm0iOjE3OTQ1NTI1MjUwMjQ3NDQ0OTd9D9\
         bsUsCjlqyH612DPmYwSA",
    ),
    (
        "filter=volts%3E120%20AND%20name%20LIKE%20%27a%25%27&crs=EPSG:32611&properties=volts,name",
        "AXsicSI6MTM1MzAwNzI2OTM3NDgwNzk3MjAsImEiOjQwMDAwMDAwMDAsInMiOiJkZXZpY2VzLXNvdXRoIiwiayI6My\
         wibCI6WyJmZWF0dXJlcy0yIiwiL2NvbGxlY3Rpb25zL2RldmljZXMtc291dGgvaXRlbXM_YmJveD0tMTIxJTJDMzcl\
         MkMtMTIwJTJDMzgmbGltaXQ9NTAmb2Zmc2V0PTUwIiw1MF0sImYiOnRydWUsIm4iOjMsIm0iOjk5fRGoPG99SQwH-A\
         y1UbpWc-k",
    ),
    (
        "sortby=-volts,name",
        "AXsicSI6MTMzMjAwNjc5MDY3NzU2OTgwMiwiYSI6NDAwMDAwMDAwMCwicyI6IiIsIm8iOlsxMjAuNSwibWV0ZXIiLC\
         JkNyJdLCJuIjoxLCJtIjoxNzU2MjM1NjEwNDgyMjIwMzE0Mn0TPvNGUBnNDXTp6_oeR2sJ",
    ),
];

/// Starts a query for the features of the collection. Each line of `headers` ends with CRLF.
fn start_items_query(front: &OgcFront, query: &str, headers: &str) -> Reaction {
    let path = format!("/collections/devices/items?{query}");
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: x\r\n{headers}\r\n");
    let mut server = ServerConnection::default();
    server.input().extend(bytes.as_bytes());
    let request = server
        .next_request()
        .expect("the request is complete")
        .expect("the request is well formed");
    front.handle(request, Token(1), Micros::ZERO, true)
}

/// Returns the targets of a query's first round, after capability discovery.
fn first_round_targets(front: &OgcFront, query: &str) -> Vec<String> {
    let mut reaction = start_items_query(front, query, "");
    loop {
        match reaction {
            Reaction::Respond(response) => panic!("{query}: {response:?}"),
            Reaction::Submit(request, render) => {
                let contexts = request
                    .parts
                    .iter()
                    .filter_map(|p| p.context.as_ref()?.get::<PageRequest>());
                let targets: Vec<String> = contexts.map(|c| c.target.clone()).collect();
                if targets.iter().all(|t| t.contains("/items?")) {
                    return targets;
                }
                reaction = render(Answer::Failed { late: false });
            }
        }
    }
}

#[test]
fn cursors_of_an_earlier_release_are_accepted_for_their_queries() {
    let front = front();
    let link = "/collections/devices-south/items?bbox=-121%2C37%2C-120%2C38&limit=50&offset=50";
    let first_page = |shard: &str| format!("/collections/{shard}/items?limit=500");
    let expected = [
        vec![link.to_owned()],
        vec![link.to_owned()],
        ["devices-north", "devices-south"].map(first_page).to_vec(),
    ];
    for ((query, cursor), expected) in EARLIER_CURSORS.into_iter().zip(expected) {
        assert_eq!(
            first_round_targets(&front, &format!("{query}&cursor={cursor}")),
            expected,
            "{query}"
        );
        let other_query = format!("limit=9&bbox=0,0,1,1&cursor={cursor}");
        let other_request =
            format!("GET /collections/devices/items?{other_query} HTTP/1.1\r\nHost: x\r\n\r\n");
        let other = response_to(&front, other_request.as_bytes());
        assert_eq!(
            other.map(|r| r.status),
            Some(400),
            "{query}: a cursor of another query"
        );
    }
}

/// Returns the header `Allow` of the response to a request line.
fn allowed_methods(front: &OgcFront, request_line: &str) -> Option<String> {
    let bytes = format!("{request_line} HTTP/1.1\r\nHost: x\r\n\r\n");
    let response = response_to(front, bytes.as_bytes()).expect("the response is immediate");
    assert!(
        matches!(response.status, 404 | 405),
        "{request_line}: {}",
        response.status
    );
    response.header("Allow").map(str::to_owned)
}

/// The header `Allow` must list the methods of the requested path, and no others (RFC 9110, section
/// 10.2.1).
#[test]
fn method_not_allowed_responses_list_the_methods_of_their_path() {
    let front = front();
    let allowed = |line| allowed_methods(&front, line);
    assert_eq!(allowed("GET /search"), Some("POST".to_owned()));
    assert_eq!(allowed("GET /search?limit=1"), Some("POST".to_owned()));
    assert_eq!(allowed("POST /searchx"), None, "the path has no resource");
    assert_eq!(allowed("POST /collections"), Some("GET, HEAD".to_owned()));
}
