//! Requests to feature servers, and the interpretation of their responses. The module
//! [`feature_client`](crate::net::feature_client) sends and receives them.

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
    /// One feature by its identifier. Status 404 counts as a successful response without the
    /// feature.
    Feature,
    /// A JSON document about the server.
    Document,
}

/// A function that returns whether a feature matches a filter. Its argument is the JSON text of the
/// feature as the server sent it.
pub type FeaturePredicate = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// A request to a feature server.
pub struct PageRequest {
    /// The kind of resource.
    pub kind: RequestKind,
    /// The path and query of the request.
    pub target: String,
    /// The part of the query's filter that the front evaluates rather than the server.
    pub predicate: Option<FeaturePredicate>,
    /// Whether an attempt was started.
    attempted: AtomicBool,
    /// The pages of the successful attempts. The values in the coordinator's answer are indexes of
    /// these pages.
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

    /// Records that an attempt was started, and returns the bytes of its HTTP request.
    pub fn start_attempt(&self, host: &str) -> Vec<u8> {
        self.attempted.store(true, Relaxed);
        let head = "Accept: application/geo+json, application/json\r\n";
        format!("GET {} HTTP/1.1\r\nHost: {host}\r\n{head}\r\n", self.target).into_bytes()
    }

    /// Returns whether an attempt was started. If so, a rejection by the coordinator does not mean
    /// that capacity is lacking, but that no server could answer.
    pub fn was_attempted(&self) -> bool {
        self.attempted.load(Relaxed)
    }

    /// Returns the outcome of an attempt from its response. If it is successful, stores its page,
    /// which [`page`](PageRequest::page) returns. `server` is the address of the server, and `host`
    /// the value of `Host` in the request.
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
            // A missing document counts as success, because a failure would also end the
            // discoveries at other servers.
            (status, RequestKind::Document) if status != 429 => Some(FeaturePage::default()),
            // Only status 429 means that the server did not start the request; after any other
            // failure, the request may have run.
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

    /// Returns the page that arrived last, even if the coordinator's answer does not refer to it.
    pub fn last_page(&self) -> Option<Arc<FeaturePage>> {
        self.pages().last().cloned()
    }

    /// Returns the page that a value in the coordinator's answer refers to.
    pub fn page(&self, value: &Value) -> Option<Arc<FeaturePage>> {
        let index: [u8; 4] = value.as_ref().try_into().ok()?;
        self.pages()
            .get(u32::from_be_bytes(index) as usize)
            .cloned()
    }
}

#[cfg(test)]
mod tests;
