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

#[test]
fn each_status_has_its_outcome() {
    let fetched = |status, body: &str| FetchedResponse {
        status,
        headers: Default::default(),
        body: body.into(),
    };
    let end = |kind, status, body| {
        PageRequest::new(kind, "/x".into()).interpret("s", "a:1", fetched(status, body))
    };
    assert_eq!(
        end(RequestKind::Items, 429, ""),
        AttemptEnd::Failed(Outcome::Rejected)
    );
    assert_eq!(
        end(RequestKind::Items, 503, ""),
        AttemptEnd::Failed(Outcome::Error)
    );
    assert_eq!(
        end(RequestKind::Items, 200, "<html>"),
        AttemptEnd::Failed(Outcome::Error)
    );
    assert_eq!(
        end(RequestKind::Feature, 200, "[1]"),
        AttemptEnd::Failed(Outcome::Error)
    );
    assert!(matches!(
        end(RequestKind::Feature, 404, ""),
        AttemptEnd::Served(_)
    ));
    assert!(matches!(
        end(RequestKind::Document, 500, ""),
        AttemptEnd::Served(_)
    ));
    let request = PageRequest::new(RequestKind::Feature, "/x".into());
    let AttemptEnd::Served(value) = request.interpret("s", "a:1", fetched(200, "{}")) else {
        panic!("served")
    };
    assert_eq!(
        request
            .page(&value)
            .map(|p| (p.server.to_string(), p.returned_count)),
        Some(("s".to_owned(), 1))
    );
}
