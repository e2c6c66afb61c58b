//! Tests of the platform front without a coordinator: the requests that it submits, and its
//! responses.

use super::request::parse;
use super::response::render;
use super::{Platform, PlatformCatalog, RequestError};
use crate::coordinator::{Answer, Request, ServedPart, Token};
use crate::front::{Front, Reaction};
use crate::interface::ShardId;
use crate::proto::http::{HttpRequest, ResponseHeader, ServerConnection};
use crate::time::Micros;
use std::sync::{Arc, Mutex};

const HEADERS: [(&str, &str); 3] = [
    ("X-Trace-Id", "q1"),
    ("X-Qos", "web"),
    ("X-Expires-In", "1.5"),
];
const BODY: &str = r#"{
    "tablets": [
        {"tablet": 0, "fraction": 0.25, "guess": 900.5},
        {"tablet": 2, "fraction": 0.75}
    ],
    "statement": "s"
}"#;

fn catalog() -> PlatformCatalog {
    PlatformCatalog {
        classes: vec!["batch".into(), "web".into()],
        shards: 3,
    }
}

fn http_request(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> HttpRequest {
    let headers: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let length = body.len();
    let text = format!(
        "{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    let mut server = ServerConnection::default();
    server.input().extend(text.as_bytes());
    server
        .next_request()
        .expect("the request is complete")
        .expect("the request is well formed")
}

/// Parses a request with [`HEADERS`], of which `replaced` replaces the value of one; `None` as the
/// value omits that header.
fn parse_with(replaced: Option<(&str, Option<&str>)>, body: &str) -> Result<Request, RequestError> {
    let value = |name: &str, default| match replaced {
        Some((other, value)) if other == name => value,
        _ => Some(default),
    };
    let headers: Vec<_> = HEADERS
        .iter()
        .filter_map(|(name, default)| Some((*name, value(name, default)?)))
        .collect();
    parse(
        &catalog(),
        &http_request("POST", "/api", &headers, body),
        Token(7),
        Micros(5),
    )
}

#[test]
fn well_formed_request_is_parsed() {
    let request = parse_with(None, BODY).expect("the request is well formed");
    assert_eq!(
        (request.token, request.sent_at, request.timeout),
        (Token(7), Micros(5), Micros(1_500_000))
    );
    assert_eq!((&*request.request_id, &*request.class), ("q1", "web"));
    assert_eq!(
        (&*request.payload, request.counted),
        (b"s".as_slice(), true)
    );
    let parts: Vec<_> = request
        .parts
        .iter()
        .map(|p| (p.shard, p.weight, p.expected_work))
        .collect();
    assert_eq!(
        parts,
        [
            (ShardId(0), 0.25, Some(Micros(900))),
            (ShardId(2), 0.75, None)
        ]
    );
    let long =
        parse_with(Some(("X-Expires-In", Some("1e9"))), BODY).expect("the request is well formed");
    assert_eq!(long.timeout, Micros::from_secs(3_600));
}

#[test]
fn malformed_headers_are_rejected_with_their_messages() {
    let text = |name: &str, value: Option<&str>| {
        parse_with(Some((name, value)), BODY)
            .expect_err("the header is malformed")
            .to_string()
    };
    for (name, _) in HEADERS {
        assert_eq!(text(name, None), format!("{name} is missing"));
    }
    let long = "x".repeat(129);
    for id in ["", "a b", &long] {
        assert_eq!(
            text("X-Trace-Id", Some(id)),
            "X-Trace-Id is no id",
            "{id:?}"
        );
    }
    assert_eq!(text("X-Qos", Some("none")), "X-Qos names no class");
    for time in ["", "soon", "-1", "inf", "NaN"] {
        assert_eq!(
            text("X-Expires-In", Some(time)),
            "X-Expires-In is no time",
            "{time:?}"
        );
    }
}

#[test]
fn malformed_bodies_are_rejected_with_their_messages() {
    let error = |body: &str| parse_with(None, body).expect_err("the body is malformed");
    let parts = |tablets: &str| error(&format!(r#"{{"tablets":[{tablets}],"statement":"s"}}"#));
    assert!(matches!(error("{}"), RequestError::MalformedBody(_)));
    assert_eq!(
        error("{}").to_string(),
        "body: missing field `tablets` at line 1 column 2"
    );
    assert_eq!(
        error("1").to_string(),
        "body: invalid type: integer `1`, expected struct Query at line 1 column 1"
    );
    let tablet = parts("1").to_string();
    assert!(
        tablet.starts_with("body: invalid type: integer `1`, expected struct Tablet"),
        "{tablet}"
    );
    for (tablets, text) in [
        ("", "no tablets"),
        (r#"{"tablet":0,"fraction":-1}"#, "a fraction is no share"),
        (r#"{"tablet":3,"fraction":1}"#, "tablet 3 is none"),
        (
            r#"{"tablet":1,"fraction":0.5},{"tablet":1,"fraction":0.5}"#,
            "tablet 1 is named twice",
        ),
        (
            r#"{"tablet":1,"fraction":0.5}"#,
            "the fractions do not add up to 1",
        ),
    ] {
        assert_eq!(parts(tablets).to_string(), text);
    }
}

#[test]
fn requests_are_routed_by_method_and_path() {
    let front = Platform::new(Arc::new(Mutex::new(Arc::new(catalog()))));
    let respond = |method: &str, target: &str, ready: bool| match front.handle(
        http_request(method, target, &[], ""),
        Token(1),
        Micros::ZERO,
        ready,
    ) {
        Reaction::Respond(response) => (response.status, response.body.to_vec()),
        Reaction::Submit(..) => panic!("{method} {target} was submitted"),
    };
    assert_eq!(respond("GET", "/up", true), (200, b"ready\n".to_vec()));
    assert_eq!(
        respond("HEAD", "/up?x", false),
        (503, b"not ready\n".to_vec())
    );
    assert_eq!(
        respond("PUT", "/api", true),
        (405, b"another method is needed\n".to_vec())
    );
    assert_eq!(
        respond("GET", "/", true),
        (404, b"nothing is here\n".to_vec())
    );
    assert_eq!(
        respond("POST", "/api", true),
        (400, b"X-Trace-Id is missing\n".to_vec())
    );
    let request = http_request("POST", "/api", &HEADERS, BODY);
    assert!(matches!(
        front.handle(request, Token(1), Micros::ZERO, true),
        Reaction::Submit(..)
    ));
}

#[test]
fn response_to_a_served_query_contains_its_parts() {
    let response = render(Answer::Served {
        complete: true,
        parts: vec![ServedPart {
            shard: ShardId(2),
            value: b"v".as_slice().into(),
        }],
    });
    assert_eq!(response.status, 200);
    assert_eq!(response.content_type, "application/json");
    assert_eq!(
        response.body.to_vec(),
        br#"{"full":true,"pieces":[{"tablet":2,"cell":"v"}]}"#
    );
}

#[test]
fn unserved_answers_have_their_status_and_message() {
    for (answer, status, body) in [
        (Answer::UnknownClass, 400, "X-Qos names no class\n"),
        (
            Answer::DuplicateRequestId,
            409,
            "X-Trace-Id is that of an open request\n",
        ),
        (Answer::Failed { late: true }, 504, "out of time\n"),
        (Answer::Failed { late: false }, 502, "failed\n"),
    ] {
        let response = render(answer);
        assert_eq!(response.status, status, "{body}");
        assert_eq!(response.body.to_vec(), body.as_bytes());
    }
}

#[test]
fn response_to_a_rejected_query_has_a_retry_after_header() {
    let response = render(Answer::Rejected {
        retry_after: Some(Micros(1_250_400)),
        late: false,
    });
    assert_eq!(response.status, 503);
    assert_eq!(response.body.to_vec(), b"refused: ask again\n");
    let retry_after = ResponseHeader {
        name: "Retry-After",
        value: "1.250".to_owned(),
    };
    assert_eq!(response.headers, [retry_after]);
}
