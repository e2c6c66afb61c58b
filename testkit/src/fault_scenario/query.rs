//! Queries of a fault scenario and the log of those that were sent.

use crate::sync::lock;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// Maximum number of page requests of a query, including retries.
const MAX_PAGES: usize = 60;

/// Class of a query, by the guarantees that the scenario checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    /// Idempotent queries that need all shards.
    Map,
    /// Queries whose answers may be partial, from two fifths of the shards on.
    Part,
    /// Queries that are not idempotent.
    Once,
}

impl Class {
    /// All classes.
    pub(super) const ALL: [Class; 3] = [Class::Map, Class::Part, Class::Once];

    /// Returns the name of the class in the settings.
    pub(super) fn name(self) -> &'static str {
        match self {
            Class::Map => "map",
            Class::Part => "part",
            Class::Once => "once",
        }
    }
}

/// Query with all pages that its client follows.
pub(super) struct Query {
    pub(super) class: Class,
    pub(super) mark: u64,
    /// Whether `next` links are followed to the end.
    pub(super) follows_links: bool,
    pub(super) limit: usize,
}

impl Query {
    /// Returns whether a failed page is requested again after this number of page requests.
    pub(super) fn retries_page(&self, pages: usize) -> bool {
        self.follows_links && self.class != Class::Once && pages > 0 && pages < MAX_PAGES
    }

    /// Returns the target of the first page, with the mark as the fraction of the northern
    /// latitude.
    pub(super) fn first_target(&self) -> String {
        format!(
            "/collections/devices/items?limit={}&bbox=-180,-90,180,89.{}",
            self.limit, self.mark
        )
    }
}

/// Returns the mark of the query that a target belongs to.
pub(super) fn mark_of_target(target: &str) -> Option<u64> {
    let (_, bbox) = target.split_once("bbox=")?;
    let bbox = bbox.split('&').next()?;
    let north = bbox.rsplit("%2C").next()?.rsplit(',').next()?;
    north.strip_prefix("89.")?.parse().ok()
}

/// Class of a sent query, and the times at which its pages were requested.
struct SentQuery {
    class: Class,
    pages_requested_at: Vec<Instant>,
}

/// Sent queries by mark.
#[derive(Default)]
pub(super) struct QueryLog {
    sent: Mutex<HashMap<u64, SentQuery>>,
}

impl QueryLog {
    /// Records a query before its first page is requested.
    pub(super) fn record_query(&self, query: &Query) {
        let sent = SentQuery {
            class: query.class,
            pages_requested_at: Vec::new(),
        };
        lock(&self.sent).insert(query.mark, sent);
    }

    /// Records the time at which a page of a recorded query is requested.
    pub(super) fn record_page(&self, mark: u64, requested_at: Instant) {
        if let Some(sent) = lock(&self.sent).get_mut(&mark) {
            sent.pages_requested_at.push(requested_at);
        }
    }

    /// Returns the number of pages of a non-idempotent query that had been requested by this time,
    /// or `None` for other queries. A part must run at most once per page; the program sees the
    /// next page as another query.
    pub(super) fn non_idempotent_page(&self, mark: u64, at: Instant) -> Option<usize> {
        let sent = lock(&self.sent);
        let query = sent.get(&mark).filter(|query| query.class == Class::Once)?;
        Some(
            query
                .pages_requested_at
                .iter()
                .filter(|requested_at| **requested_at <= at)
                .count(),
        )
    }
}
