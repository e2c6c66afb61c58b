//! A walk over all pages of a query at one feature server: one attempt at a part.
//!
//! The pages are joined only once the last one is in. A walk that ends early gives nothing, so no feature is told
//! twice and none is missing unseen.

use super::http::ResponseReader;
use crate::core::End;
use crate::interface::Outcome;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::HashSet;
use url::Url;

/// What bounds a walk.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most pages.
    pub pages: usize,
    /// Most bytes over all pages.
    pub bytes: usize,
}

#[derive(Deserialize)]
struct Page<'a> {
    #[serde(borrow, default)]
    features: Vec<&'a RawValue>,
    #[serde(default)]
    links: Vec<Link>,
}

#[derive(Deserialize)]
struct Link {
    #[serde(default)]
    href: String,
    #[serde(default)]
    rel: String,
}

/// How far a walk is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Walked {
    /// Something is still to come.
    On,
    /// A page is in and the request for the next one is ready to be written.
    NextPage,
    /// It has ended.
    Done(End),
}

/// A walk under way.
#[derive(Debug)]
pub struct Walk {
    /// Where reads go.
    pub reader: ResponseReader,
    bounds: Bounds,
    url: Url,
    /// One feature is asked for by its id: its absence is an answer too.
    single: bool,
    request: Vec<u8>,
    written: usize,
    visited: HashSet<Url>,
    pages: usize,
    bytes: usize,
    /// The server closes the connection after the page that came: the next one wants another.
    reconnect: bool,
    features: Vec<u8>,
}

fn request(url: &Url) -> Vec<u8> {
    let target = &url[url::Position::BeforePath..url::Position::AfterQuery];
    let host = &url[url::Position::BeforeHost..url::Position::AfterPort];
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/geo+json, application/json\r\n\r\n")
        .into_bytes()
}

impl Walk {
    /// A walk from this first page on. `None`: the address and path make no URL.
    pub fn start(address: &str, path: &str, bounds: Bounds) -> Option<Self> {
        let url = Url::parse(&format!("http://{address}{path}")).ok()?;
        Some(Walk {
            reader: ResponseReader::new(bounds.bytes),
            bounds,
            single: !url.path().ends_with("/items"),
            request: request(&url),
            written: 0,
            visited: HashSet::from([url.clone()]),
            url,
            pages: 0,
            bytes: 0,
            reconnect: false,
            features: Vec::new(),
        })
    }

    /// Bytes to write.
    pub fn output(&self) -> &[u8] {
        &self.request[self.written..]
    }

    /// So many of them were written; true: that was the first request's last byte, from here on it may run.
    pub fn wrote(&mut self, n: usize) -> bool {
        self.written += n;
        n > 0 && self.pages == 0 && self.output().is_empty()
    }

    /// No byte of the present page's request is written yet.
    pub fn page_not_begun(&self) -> bool {
        self.written == 0
    }

    /// The server has got a whole request: it may have run.
    pub fn may_have_run(&self) -> bool {
        self.pages > 0 || self.output().is_empty()
    }

    /// Takes in what was read.
    pub fn advance(&mut self) -> Walked {
        match self.reader.advance() {
            Err(_) => Walked::Done(End::Not(Outcome::Error)),
            Ok(false) => Walked::On,
            Ok(true) => self.page(),
        }
    }

    /// The connection has ended, or never came up.
    pub fn broken(&mut self) -> Walked {
        if self.reader.end() {
            return self.page();
        }
        // A page that breaks off fails the whole walk: what came of it is dropped with it.
        let outcome = if self.may_have_run() { Outcome::Reset } else { Outcome::ConnectFailed };
        Walked::Done(End::Not(outcome))
    }

    /// The next page's request must go out on another connection.
    pub fn wants_connection(&self) -> bool {
        self.reconnect
    }

    /// It has one.
    pub fn connected(&mut self) {
        self.reconnect = false;
    }

    /// The connection can carry another request after this walk.
    pub fn reusable(&self) -> bool {
        self.output().is_empty()
            && self.reader.head().is_some_and(|h| h.reusable)
            && self.reader.input.data().is_empty()
    }

    fn page(&mut self) -> Walked {
        let error = Walked::Done(End::Not(Outcome::Error));
        let status = self.reader.head().map_or(0, |h| h.status);
        let body = std::mem::take(&mut self.reader.body);
        self.bytes += body.len();
        match status {
            200 => {}
            404 if self.single => return Walked::Done(End::Served(b"[]".as_slice().into())),
            // Only this status says that the request was not taken up; any other failure may have run.
            429 if self.pages == 0 => return Walked::Done(End::Not(Outcome::Full)),
            _ => return error,
        }
        if self.single {
            let feature = serde_json::from_slice::<&RawValue>(&body).is_ok_and(|f| f.get().starts_with('{'));
            let value = [b"[", body.as_slice(), b"]"].concat();
            return if feature { Walked::Done(End::Served(value.into())) } else { error };
        }
        let Ok(page) = serde_json::from_slice::<Page<'_>>(&body) else { return error };
        for feature in page.features {
            self.features.push(if self.features.is_empty() { b'[' } else { b',' });
            self.features.extend_from_slice(feature.get().as_bytes());
        }
        self.pages += 1;
        let Some(next) = page.links.iter().find(|l| l.rel == "next") else {
            let mut value = std::mem::take(&mut self.features);
            value.extend_from_slice(if value.is_empty() { b"[]" } else { b"]" });
            return Walked::Done(End::Served(value.into()));
        };
        // The link may lead nowhere but on at this server, not in a circle, and not without end.
        let Ok(url) = self.url.join(&next.href) else { return error };
        let home = url.scheme() == "http" && url.host() == self.url.host() && url.port() == self.url.port();
        let plain = url.username().is_empty() && url.password().is_none();
        let fresh = self.visited.insert(url.clone());
        if !home || !plain || !fresh || self.pages >= self.bounds.pages || self.bytes >= self.bounds.bytes {
            return error;
        }
        self.reconnect = self.reader.head().is_some_and(|h| !h.reusable);
        self.reader = ResponseReader::new(self.bounds.bytes - self.bytes);
        self.request = request(&url);
        self.written = 0;
        self.url = url;
        Walked::NextPage
    }
}
