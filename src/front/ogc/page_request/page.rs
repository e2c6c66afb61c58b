//! Parses the pages of feature servers. Features are not copied or changed: they are represented by
//! their byte ranges in the body.

use super::super::paging::FeaturePage;
use super::FeaturePredicate;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::ops::Range;
use std::sync::Arc;
use url::{Position, Url};

/// The maximum length of the path and query of a link that is followed, in bytes.
const MAX_LINK_BYTES: usize = 4 * 1024;

/// The members of a GeoJSON feature collection that the front uses.
#[derive(Deserialize)]
struct FeatureCollection<'a> {
    #[serde(borrow)]
    features: Vec<&'a RawValue>,
    #[serde(default)]
    links: Vec<Link<'a>>,
    #[serde(rename = "numberMatched", default)]
    number_matched: Option<u64>,
}

/// A link of a feature collection.
#[derive(Deserialize)]
struct Link<'a> {
    #[serde(borrow, default)]
    href: Cow<'a, str>,
    #[serde(borrow, default)]
    rel: Cow<'a, str>,
}

/// Parses a page of features and leaves out those that do not match `predicate`. `host` and
/// `target` are those of the request. Returns `None` if the body is not a feature collection (a
/// server may send HTML with status 200), or if its `next` link is invalid, too long, or leads to
/// another server or to the same page.
#[must_use]
pub fn parse_page(
    body: Vec<u8>,
    host: &str,
    target: &str,
    predicate: Option<&FeaturePredicate>,
) -> Option<FeaturePage> {
    let collection: FeatureCollection<'_> = serde_json::from_slice(&body).ok()?;
    if !collection.features.iter().all(|feature| is_object(feature)) {
        return None;
    }
    let returned_count = collection.features.len();
    let ranges = collection
        .features
        .iter()
        .map(|feature| range_in(&body, feature));
    let features: Vec<_> = match predicate {
        None => ranges.collect(),
        Some(predicate) => ranges
            .filter(|range| predicate(&body[range.clone()]))
            .collect(),
    };
    let next_target = match collection.links.iter().find(|link| link.rel == "next") {
        None => None,
        Some(link) => Some(resolve_link(host, target, &link.href)?),
    };
    let number_matched = collection.number_matched;
    Some(FeaturePage {
        server: Arc::default(),
        features,
        returned_count,
        next_target,
        number_matched,
        body,
    })
}

/// Parses a single feature as a page with one feature. Returns `None` if the body is not a JSON
/// object.
pub(super) fn parse_feature(body: Vec<u8>) -> Option<FeaturePage> {
    let range = {
        let feature: &RawValue = serde_json::from_slice(&body).ok()?;
        is_object(feature).then(|| range_in(&body, feature))?
    };
    Some(FeaturePage {
        features: vec![range],
        returned_count: 1,
        body,
        ..FeaturePage::default()
    })
}

fn is_object(value: &RawValue) -> bool {
    value.get().starts_with('{')
}

/// Returns the byte range of a value that borrows from `body`.
fn range_in(body: &[u8], value: &RawValue) -> Range<usize> {
    let start = value.get().as_ptr() as usize - body.as_ptr() as usize;
    start..start + value.get().len()
}

/// Returns the path and query of a link in the page at `target`. Returns `None` if the link is
/// invalid, has credentials, is longer than [`MAX_LINK_BYTES`], leads to another server, or leads
/// to the same page.
fn resolve_link(host: &str, target: &str, href: &str) -> Option<String> {
    let page = Url::parse(&format!("http://{host}{target}")).ok()?;
    let link = page.join(href).ok()?;
    let same_server =
        link.scheme() == "http" && link.host() == page.host() && link.port() == page.port();
    let has_credentials = !link.username().is_empty() || link.password().is_some();
    let path = link[Position::BeforePath..Position::AfterQuery].to_owned();
    let same_page = page[Position::BeforePath..Position::AfterQuery] == path;
    (same_server && !has_credentials && !same_page && path.len() <= MAX_LINK_BYTES).then_some(path)
}
