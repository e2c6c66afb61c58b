//! Requests to feature servers, and the interpretation of their responses. The exchange itself is
//! left to the client of the servers.

mod page;

pub use page::parse_page;

use super::paging::FeaturePage;
use crate::coordinator::{AttemptEnd, Value};
use crate::interface::Outcome;
use crate::proto::fetch::FetchedResponse;
use crate::sync::lock;
use page::parse_feature;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};

/// The kind of resource that a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A page of features.
    Items,
    /// One feature by its identifier. That a server does not have it is an answer too.
    Feature,
    /// A JSON document about the server.
    Document,
}

/// A function that returns whether a feature, as the bytes that its server sent, belongs in the
/// answer.
pub type FeaturePredicate = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// A request to a feature server.
pub struct PageRequest {
    /// The kind of resource.
    pub kind: RequestKind,
    /// The path and query of the request.
    pub target: String,
    /// The part of the query's filter that the front evaluates rather than the server.
    pub predicate: Option<FeaturePredicate>,
    /// Whether an attempt was dispatched, or was about to be.
    attempted: AtomicBool,
    /// The pages of the successful attempts. The core refers to a page by its index.
    pages: Mutex<Vec<Arc<FeaturePage>>>,
}

impl PageRequest {
    /// Creates a request without attempts.
    #[must_use]
    pub fn new(kind: RequestKind, target: String) -> Self {
        PageRequest {
            kind,
            target,
            predicate: None,
            attempted: AtomicBool::new(false),
            pages: Mutex::default(),
        }
    }

    fn pages(&self) -> MutexGuard<'_, Vec<Arc<FeaturePage>>> {
        lock(&self.pages)
    }

    /// Returns the bytes of an attempt's HTTP request, and records that there was an attempt.
    pub fn start_attempt(&self, host: &str) -> Vec<u8> {
        self.attempted.store(true, Relaxed);
        let head = "Accept: application/geo+json, application/json\r\n";
        format!("GET {} HTTP/1.1\r\nHost: {host}\r\n{head}\r\n", self.target).into_bytes()
    }

    /// Returns whether a request was sent to a server. If so, a rejection by the core does not mean
    /// a lack of capacity, but that no server could answer.
    pub fn was_attempted(&self) -> bool {
        self.attempted.load(Relaxed)
    }

    /// Returns the outcome of an attempt by its response, and stores its page for
    /// [`page`](PageRequest::page).
    pub fn interpret(&self, server: &str, host: &str, fetched: FetchedResponse) -> AttemptEnd {
        let page = match (fetched.status, self.kind) {
            (200, RequestKind::Items) => {
                parse_page(fetched.body, host, &self.target, self.predicate.as_ref())
            }
            (200, RequestKind::Feature) => parse_feature(fetched.body),
            (200, RequestKind::Document) => Some(FeaturePage {
                body: fetched.body,
                ..FeaturePage::default()
            }),
            (404, RequestKind::Feature) => Some(FeaturePage::default()),
            // The absence of a document is an answer too: it must not end the discoveries at other
            // servers.
            (status, RequestKind::Document) if status != 429 => Some(FeaturePage::default()),
            // Only this status means that the request was not started; after any other failure it
            // may have run.
            (429, _) => return AttemptEnd::Failed(Outcome::Rejected),
            _ => None,
        };
        let Some(page) = page else {
            return AttemptEnd::Failed(Outcome::Error);
        };
        let mut pages = self.pages();
        pages.push(Arc::new(FeaturePage {
            server: server.into(),
            ..page
        }));
        let index = pages.len() as u32 - 1;
        AttemptEnd::Served(Value::from(index.to_be_bytes().as_slice()))
    }

    /// Returns the page that arrived last, whatever the core's answer was.
    pub fn last_page(&self) -> Option<Arc<FeaturePage>> {
        self.pages().last().cloned()
    }

    /// Returns the page that a value of the core refers to.
    pub fn page(&self, value: &Value) -> Option<Arc<FeaturePage>> {
        let index: [u8; 4] = value.as_ref().try_into().ok()?;
        self.pages()
            .get(u32::from_be_bytes(index) as usize)
            .cloned()
    }
}

#[cfg(test)]
mod tests;
