//! Tests of page requests and of the parsing of pages.

use super::{parse_page, FeaturePredicate, PageRequest, RequestKind};
use crate::coordinator::AttemptEnd;
use crate::interface::Outcome;
use crate::proto::fetch::FetchedResponse;
use std::sync::Arc;

#[test]
fn a_page_is_parsed_in_place_and_filtered() {
    let body = br#" {"features": [ {"id":1} ,{"id":22}],"numberMatched":9,
        "links":[{"rel":"next","href":"?offset=2"}]}"#;
    let read = |predicate: Option<&FeaturePredicate>| {
        parse_page(body.to_vec(), "a:1", "/c/items?limit=2", predicate)
    };
    let page = read(None).expect("a page");
    let texts: Vec<_> = page
        .features
        .iter()
        .map(|r| &page.body[r.clone()])
        .collect();
    assert_eq!(texts, [b"{\"id\":1}".as_slice(), b"{\"id\":22}"]);
    assert_eq!((page.returned_count, page.number_matched), (2, Some(9)));
    assert_eq!(page.next_target.as_deref(), Some("/c/items?offset=2"));
    let predicate: FeaturePredicate = Arc::new(|f| f.len() > 8);
    assert_eq!(
        read(Some(&predicate)).map(|p| (p.features.len(), p.returned_count)),
        Some((1, 2))
    );
}

#[test]
fn a_body_that_is_no_page_or_links_elsewhere_is_rejected() {
    let with =
        |href: &str| format!(r#"{{"features":[],"links":[{{"rel":"next","href":"{href}"}}]}}"#);
    let read = |body: &str| parse_page(body.into(), "a:1", "/c/items?limit=2", None).is_some();
    assert!(read(&with("http://a:1/c/items?offset=2")) && read(r#"{"features":[]}"#));
    let away = [
        "http://b:1/c/items",
        "https://a:1/c/items?o=2",
        "http://u@a:1/c?o",
        "/c/items?limit=2",
        "",
    ];
    assert!(away.iter().all(|href| !read(&with(href))));
    assert!(
        !read(&with(&format!("?x={}", "y".repeat(5_000)))),
        "a link without end"
    );
    for body in [
        "",
        "<html>",
        "{}",
        "[]",
        r#"{"features":[1]}"#,
        r#"{"features":{}}"#,
        r#"{"features":[{}"#,
    ] {
        assert!(!read(body), "{body}");
    }
}

fn fetched(status: u16, body: &str) -> FetchedResponse {
    FetchedResponse {
        status,
        headers: Default::default(),
        body: body.into(),
    }
}

/// Interprets the response to a request of this kind.
fn outcome(kind: RequestKind, status: u16, body: &str) -> AttemptEnd {
    let request = PageRequest::new(kind, "/x".into());
    request.interpret("s", "a:1", fetched(status, body))
}

#[test]
fn each_status_has_its_outcome() {
    let failures = [
        (RequestKind::Items, 429, "", Outcome::Rejected),
        (RequestKind::Items, 503, "", Outcome::Error),
        (RequestKind::Items, 200, "<html>", Outcome::Error),
        (RequestKind::Feature, 200, "[1]", Outcome::Error),
    ];
    for (kind, status, body, expected) in failures {
        let end = outcome(kind, status, body);
        assert_eq!(end, AttemptEnd::Failed(expected), "{kind:?} {status}");
    }
    for (kind, status) in [(RequestKind::Feature, 404), (RequestKind::Document, 500)] {
        let end = outcome(kind, status, "");
        assert!(matches!(end, AttemptEnd::Served(_)), "{kind:?} {status}");
    }

    let request = PageRequest::new(RequestKind::Feature, "/x".into());
    let AttemptEnd::Served(value) = request.interpret("s", "a:1", fetched(200, "{}")) else {
        panic!("served")
    };
    let page = request.page(&value).expect("a page");
    assert_eq!(&*page.server, "s");
    assert_eq!(page.returned_count, 1);
}
