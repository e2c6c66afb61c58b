//! What is asked of a feature server in one attempt, and what its response comes to.

use super::lock;
use super::paging::Page;
use crate::coordinator::{AttemptEnd, Value};
use crate::interface::Outcome;
use crate::proto::fetch::FetchedResponse;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use url::Url;

/// Most characters of a link that is followed.
const MAX_LINK: usize = 4 * 1024;

/// What a visit is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A page of features.
    Items,
    /// One feature by its id: its absence is an answer too.
    Feature,
    /// A JSON document about the server.
    Document,
}

/// Keeps a feature, as its server gave it, or drops it.
pub type Sieve = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// What is asked of a server.
pub struct Visit {
    /// What for.
    pub kind: Kind,
    /// Path and query.
    pub target: String,
    /// What is filtered here.
    pub sieve: Option<Sieve>,
    /// A server was, or was to be, asked.
    tried: AtomicBool,
    /// What came, by attempts that were served. The core knows a page by its place here.
    came: Mutex<Vec<Arc<Page>>>,
}

impl Visit {
    /// A visit that has not been made.
    pub fn new(kind: Kind, target: String) -> Self {
        Visit { kind, target, sieve: None, tried: AtomicBool::new(false), came: Mutex::default() }
    }

    fn came(&self) -> MutexGuard<'_, Vec<Arc<Page>>> {
        lock(&self.came)
    }

    /// The request as it is written.
    pub fn request(&self, host: &str) -> Vec<u8> {
        self.tried.store(true, Relaxed);
        let head = "Accept: application/geo+json, application/json\r\n";
        format!("GET {} HTTP/1.1\r\nHost: {host}\r\n{head}\r\n", self.target).into_bytes()
    }

    /// A server was tried: a refusal is not for want of room, but since none could answer.
    pub fn tried(&self) -> bool {
        self.tried.load(Relaxed)
    }

    /// What a response comes to.
    pub fn judge(&self, server: &str, host: &str, fetched: FetchedResponse) -> AttemptEnd {
        let page = match (fetched.status, self.kind) {
            (200, Kind::Items) => read_page(fetched.body, host, &self.target, self.sieve.as_ref()),
            (200, Kind::Feature) => read_feature(fetched.body),
            (200, Kind::Document) => Some(Page { body: fetched.body, ..Page::default() }),
            (404, Kind::Feature) => Some(Page::default()),
            // A server without such a document has said so: its look must not end those at others.
            (status, Kind::Document) if status != 429 => Some(Page::default()),
            // Only this status says that the request was not taken up; any other failure may have run.
            (429, _) => return AttemptEnd::Failed(Outcome::Rejected),
            _ => None,
        };
        let Some(page) = page else { return AttemptEnd::Failed(Outcome::Error) };
        let mut came = self.came();
        came.push(Arc::new(Page { server: server.into(), ..page }));
        AttemptEnd::Served(Value::from((came.len() as u32 - 1).to_be_bytes().as_slice()))
    }

    /// What came last, whatever the core made of it.
    pub fn last(&self) -> Option<Arc<Page>> {
        self.came().last().cloned()
    }

    /// The page that the core's value stands for.
    pub fn page(&self, value: &Value) -> Option<Arc<Page>> {
        let place: [u8; 4] = value.as_ref().try_into().ok()?;
        self.came().get(u32::from_be_bytes(place) as usize).cloned()
    }
}

#[derive(Deserialize)]
struct Collection<'a> {
    #[serde(borrow)]
    features: Vec<&'a RawValue>,
    #[serde(default)]
    links: Vec<Link<'a>>,
    #[serde(rename = "numberMatched", default)]
    matched: Option<u64>,
}

#[derive(Deserialize)]
struct Link<'a> {
    #[serde(borrow, default)]
    href: Cow<'a, str>,
    #[serde(borrow, default)]
    rel: Cow<'a, str>,
}

/// Where a borrowed value stands in its text.
fn place(text: &[u8], value: &RawValue) -> Range<usize> {
    let from = value.get().as_ptr() as usize - text.as_ptr() as usize;
    from..from + value.get().len()
}

/// A page of features. `None`: it is none (HTML under 200 too), or its link leads away from its server.
pub fn read_page(body: Vec<u8>, host: &str, target: &str, sieve: Option<&Sieve>) -> Option<Page> {
    let read: Collection<'_> = serde_json::from_slice(&body).ok()?;
    if !read.features.iter().all(|f| f.get().starts_with('{')) {
        return None;
    }
    let given = read.features.len();
    let kept = read.features.iter().map(|f| place(&body, f));
    let features: Vec<_> = match sieve {
        None => kept.collect(),
        Some(sieve) => kept.filter(|r| sieve(&body[r.clone()])).collect(),
    };
    let next = match read.links.iter().find(|l| l.rel == "next") {
        None => None,
        Some(link) => Some(follow(host, target, &link.href)?),
    };
    let matched = read.matched;
    Some(Page { server: Arc::default(), features, given, next, matched, body })
}

fn read_feature(body: Vec<u8>) -> Option<Page> {
    let whole = {
        let feature: &RawValue = serde_json::from_slice(&body).ok()?;
        feature.get().starts_with('{').then(|| place(&body, feature))?
    };
    Some(Page { features: vec![whole], given: 1, body, ..Page::default() })
}

/// A link's path and query; it may lead nowhere but on at this server, and not to where it stands.
fn follow(host: &str, target: &str, href: &str) -> Option<String> {
    let here = Url::parse(&format!("http://{host}{target}")).ok()?;
    let there = here.join(href).ok()?;
    let home = there.scheme() == "http" && there.host() == here.host() && there.port() == here.port();
    let plain = there.username().is_empty() && there.password().is_none();
    let on = there[url::Position::BeforePath..url::Position::AfterQuery].to_owned();
    let same = here[url::Position::BeforePath..url::Position::AfterQuery] == on;
    (home && plain && !same && on.len() <= MAX_LINK).then_some(on)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_page_is_read_in_place_and_thinned() {
        let body = br#" {"features": [ {"id":1} ,{"id":22}],"numberMatched":9,
            "links":[{"rel":"next","href":"?offset=2"}]}"#;
        let read = |sieve: Option<&Sieve>| read_page(body.to_vec(), "a:1", "/c/items?limit=2", sieve);
        let page = read(None).expect("a page");
        let texts: Vec<_> = page.features.iter().map(|r| &page.body[r.clone()]).collect();
        assert_eq!(texts, [b"{\"id\":1}".as_slice(), b"{\"id\":22}"]);
        assert_eq!((page.given, page.matched), (2, Some(9)));
        assert_eq!(page.next.as_deref(), Some("/c/items?offset=2"));
        let sieve: Sieve = Arc::new(|f| f.len() > 8);
        assert_eq!(read(Some(&sieve)).map(|p| (p.features.len(), p.given)), Some((1, 2)));
    }

    #[test]
    fn what_is_no_page_or_leads_astray_is_none() {
        let with = |href: &str| format!(r#"{{"features":[],"links":[{{"rel":"next","href":"{href}"}}]}}"#);
        let read = |body: &str| read_page(body.into(), "a:1", "/c/items?limit=2", None).is_some();
        assert!(read(&with("http://a:1/c/items?offset=2")) && read(r#"{"features":[]}"#));
        let away =
            ["http://b:1/c/items", "https://a:1/c/items?o=2", "http://u@a:1/c?o", "/c/items?limit=2", ""];
        assert!(away.iter().all(|href| !read(&with(href))));
        assert!(!read(&with(&format!("?x={}", "y".repeat(5_000)))), "a link without end");
        for body in
            ["", "<html>", "{}", "[]", r#"{"features":[1]}"#, r#"{"features":{}}"#, r#"{"features":[{}"#]
        {
            assert!(!read(body), "{body}");
        }
    }

    #[test]
    fn each_status_has_its_end() {
        let fetched =
            |status, body: &str| FetchedResponse { status, headers: Default::default(), body: body.into() };
        let end = |kind, status, body| Visit::new(kind, "/x".into()).judge("s", "a:1", fetched(status, body));
        assert_eq!(end(Kind::Items, 429, ""), AttemptEnd::Failed(Outcome::Rejected));
        assert_eq!(end(Kind::Items, 503, ""), AttemptEnd::Failed(Outcome::Error));
        assert_eq!(end(Kind::Items, 200, "<html>"), AttemptEnd::Failed(Outcome::Error));
        assert_eq!(end(Kind::Feature, 200, "[1]"), AttemptEnd::Failed(Outcome::Error));
        assert!(matches!(end(Kind::Feature, 404, ""), AttemptEnd::Served(_)));
        assert!(matches!(end(Kind::Document, 500, ""), AttemptEnd::Served(_)));
        let visit = Visit::new(Kind::Feature, "/x".into());
        let AttemptEnd::Served(value) = visit.judge("s", "a:1", fetched(200, "{}")) else { panic!("served") };
        assert_eq!(visit.page(&value).map(|p| (p.server.to_string(), p.given)), Some(("s".to_owned(), 1)));
    }
}
