//! What one attempt asks a feature server, and what its response amounts to.

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

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A page of features.
    Items,
    /// One feature by its id: its absence is an answer too.
    Feature,
    /// A JSON document about the server.
    Document,
}

/// Decides whether a feature, as its server sent it, belongs in the answer.
pub type FeaturePredicate = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// A request to a feature server.
pub struct PageRequest {
    /// What it is for.
    pub kind: RequestKind,
    /// Path and query.
    pub target: String,
    /// The part of the query's filter that is applied here rather than by the server.
    pub predicate: Option<FeaturePredicate>,
    /// An attempt was dispatched, or was about to be.
    attempted: AtomicBool,
    /// The pages of the attempts that were served. The core refers to a page by its index.
    pages: Mutex<Vec<Arc<FeaturePage>>>,
}

impl PageRequest {
    /// A request that no attempt was made for.
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

    /// The bytes of an attempt's HTTP request.
    pub fn request(&self, host: &str) -> Vec<u8> {
        self.attempted.store(true, Relaxed);
        let head = "Accept: application/geo+json, application/json\r\n";
        format!("GET {} HTTP/1.1\r\nHost: {host}\r\n{head}\r\n", self.target).into_bytes()
    }

    /// Whether a server was asked: if so, a rejection is not for want of capacity, but since no server could answer.
    pub fn attempted(&self) -> bool {
        self.attempted.load(Relaxed)
    }

    /// The outcome of an attempt by its response. A page is kept for [`page`](PageRequest::page).
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
            // A server without such a document has answered: that must not end the discoveries at others.
            (status, RequestKind::Document) if status != 429 => Some(FeaturePage::default()),
            // Only this status says that the request was not started; with any other failure it may have run.
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

    /// The page that came last, whatever the core made of it.
    pub fn last_page(&self) -> Option<Arc<FeaturePage>> {
        self.pages().last().cloned()
    }

    /// The page that a value of the core refers to.
    pub fn page(&self, value: &Value) -> Option<Arc<FeaturePage>> {
        let index: [u8; 4] = value.as_ref().try_into().ok()?;
        self.pages()
            .get(u32::from_be_bytes(index) as usize)
            .cloned()
    }
}

#[cfg(test)]
mod tests;
