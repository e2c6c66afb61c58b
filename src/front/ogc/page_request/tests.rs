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
    let parse = |predicate: Option<&FeaturePredicate>| {
        parse_page(body.to_vec(), "a:1", "/c/items?limit=2", predicate)
    };
    let page = parse(None).expect("the body is a page");
    let texts: Vec<_> = page
        .features
        .iter()
        .map(|range| &page.body[range.clone()])
        .collect();
    assert_eq!(texts, [b"{\"id\":1}".as_slice(), b"{\"id\":22}"]);
    assert_eq!((page.returned_count, page.number_matched), (2, Some(9)));
    assert_eq!(page.next_target.as_deref(), Some("/c/items?offset=2"));
    let predicate: FeaturePredicate = Arc::new(|feature| feature.len() > 8);
    assert_eq!(
        parse(Some(&predicate)).map(|page| (page.features.len(), page.returned_count)),
        Some((1, 2))
    );
}

#[test]
fn bodies_without_a_page_and_links_to_other_servers_are_not_parsed() {
    let body_with_link =
        |href: &str| format!(r#"{{"features":[],"links":[{{"rel":"next","href":"{href}"}}]}}"#);
    let is_parsed = |body: &str| parse_page(body.into(), "a:1", "/c/items?limit=2", None).is_some();
    assert!(
        is_parsed(&body_with_link("http://a:1/c/items?offset=2"))
            && is_parsed(r#"{"features":[]}"#)
    );
    let invalid_links = [
        "http://b:1/c/items",
        "https://a:1/c/items?o=2",
        "http://u@a:1/c?o",
        "/c/items?limit=2",
        "",
    ];
    assert!(invalid_links
        .iter()
        .all(|href| !is_parsed(&body_with_link(href))));
    assert!(
        !is_parsed(&body_with_link(&format!("?x={}", "y".repeat(5_000)))),
        "a link longer than the maximum is accepted"
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
        assert!(!is_parsed(body), "{body}");
    }
}

fn fetched(status: u16, body: &str) -> FetchedResponse {
    FetchedResponse {
        status,
        headers: Default::default(),
        body: body.into(),
    }
}

/// Returns the outcome of a request of this kind from its response.
fn outcome(kind: RequestKind, status: u16, body: &str) -> AttemptEnd {
    let request = PageRequest::new(kind, "/x".into());
    request.interpret("s", "a:1", fetched(status, body))
}

#[test]
fn the_outcome_depends_on_the_kind_the_status_and_the_body() {
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
        panic!("the attempt failed")
    };
    let page = request.page(&value).expect("the value refers to a page");
    assert_eq!(&*page.server, "s");
    assert_eq!(page.returned_count, 1);
}
