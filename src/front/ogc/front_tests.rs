//! Whatever comes in: a 4xx as problem JSON, or a query; never a panic.

use super::*;
use crate::coordinator::Answer;
use crate::proto::http::ServerConnection;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn front() -> Ogc {
    let edge = Edge::read_file(std::path::Path::new("deploy/edge.toml")).expect("sound");
    let catalog = SharedCatalog::default();
    let servers = edge.servers().expect("sound");
    lock(&catalog).load(&servers, Micros::ZERO);
    Ogc::new(edge, catalog, Key::new(b"a key"), Arc::default(), Arc::default())
}

/// What a connection's bytes come to: an answer, or a query that goes to the core (with the answer to one that fails).
fn said(front: &Ogc, bytes: &[u8]) -> Option<Response> {
    let mut server = ServerConnection::default();
    server.set_max_body(front.max_body());
    server.input().extend(bytes);
    server.end_of_input();
    match server.next_request()? {
        Err(e) => Some(front.malformed_response(e)),
        Ok(request) => match front.handle(request, Token(1), Micros::ZERO, true) {
            Reaction::Respond(response) => Some(response),
            Reaction::Submit(_, render) => match render(Answer::Failed { late: false }) {
                Reaction::Respond(response) => Some(response),
                // Learning came to nothing: the query itself is asked.
                Reaction::Submit(..) => None,
            },
        },
    }
}

fn is_sound(response: &Response) -> Result<(), TestCaseError> {
    let problem = response.content_type == "application/problem+json";
    let json: Option<serde_json::Value> = serde_json::from_slice(&response.body.to_vec()).ok();
    prop_assert!((200..600).contains(&response.status));
    if response.status >= 400 {
        let told = json.as_ref().and_then(|j| j["status"].as_u64());
        prop_assert!(problem && told == Some(u64::from(response.status)), "{response:?}");
    }
    // A query that fails is the servers' fault; input never is.
    prop_assert!(response.status < 500 || response.status == 502 || response.status == 501, "{response:?}");
    Ok(())
}

fn value() -> impl Strategy<Value = String> {
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

fn name() -> impl Strategy<Value = String> {
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
    prop_oneof![9 => proptest::sample::select(names.to_vec()).prop_map(str::to_owned), 1 => any::<String>()]
}

fn path() -> impl Strategy<Value = String> {
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
    prop_oneof![8 => proptest::sample::select(paths.to_vec()).prop_map(str::to_owned), 1 => "/[!-~]{0,30}"]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..ProptestConfig::with_cases(600) })]

    #[test]
    fn parameters_of_any_kind_are_taken_or_told(
        path in path(),
        method in proptest::sample::select(vec!["GET", "HEAD", "POST", "DELETE", "BREW"]),
        pairs in proptest::collection::vec((name(), value()), 0..5),
        headers in proptest::collection::vec((proptest::sample::select(vec!["Accept", "Accept-Encoding", "If-None-Match", "Host",
            "X-Qos", "X-Expires-In", "Content-Type", "Expect"]), "[ -~]{0,30}"), 0..4),
    ) {
        let front = front();
        let mut query = url::form_urlencoded::Serializer::new(String::new());
        query.extend_pairs(&pairs);
        let head: String = headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let bytes = format!("{method} {path}?{} HTTP/1.1\r\n{head}\r\n", query.finish());
        if let Some(response) = said(&front, bytes.as_bytes()) {
            is_sound(&response)?;
        }
    }

    #[test]
    fn bodies_of_any_kind_are_taken_or_told(
        text in prop_oneof![any::<String>(), "[\\[\\]{}\",:a-z0-9 ]{0,120}"],
        members in proptest::collection::vec((proptest::sample::select(vec!["limit", "bbox", "filter", "filter-lang", "filter-crs",
            "sortby", "datetime", "token", "crs", "x"]), value()), 0..4),
        whole: bool,
    ) {
        let front = front();
        let mut body = serde_json::json!({"collections": ["devices"]});
        for (name, value) in members {
            body[name] = serde_json::from_str(&value).unwrap_or(value.into());
        }
        let body = if whole { body.to_string() } else { text };
        let bytes = format!("POST /search HTTP/1.1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if let Some(response) = said(&front, bytes.as_bytes()) {
            is_sound(&response)?;
        }
    }

    #[test]
    fn heads_of_any_kind_are_taken_or_told(bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0_usize..200) {
        let front = front();
        let sound = b"GET /collections/devices/items?limit=2 HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n\r\n".to_vec();
        let at = cut.min(sound.len());
        for bytes in [bytes.clone(), [&sound[..at], &bytes, &sound[at..]].concat()] {
            if let Some(response) = said(&front, &bytes) {
                is_sound(&response)?;
            }
        }
    }
}

#[test]
fn the_deepest_filters_fit_the_stack_of_a_connection() {
    // On a stack as small as the coroutines', in whatever build this is.
    let words = front().stack_words();
    let deep = |n: usize| format!("{}volts = 1{}", "NOT (".repeat(n), ")".repeat(n));
    let run = move || {
        let front = front();
        for n in [1, 11, 12, 30, 300] {
            let mut query = url::form_urlencoded::Serializer::new(String::new());
            query.append_pair("filter", &deep(n));
            let bytes = format!("GET /collections/devices/items?{} HTTP/1.1\r\n\r\n", query.finish());
            let response = said(&front, bytes.as_bytes());
            let refused = response.as_ref().is_some_and(|r| r.status == 400);
            assert_eq!(refused, 2 * n + 1 > cql2::MAX_DEPTH, "{n}: {response:?}");
        }
    };
    // The test's own frames and libraries need some more than the program's.
    let thread = std::thread::Builder::new().stack_size(words * 8).spawn(run).expect("a thread");
    thread.join().expect("no panic, and no overflow");
}
