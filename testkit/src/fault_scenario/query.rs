//! Queries of a fault scenario and the log of sent queries.

use crate::sync::lock;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// Maximum number of page requests of a query, including retries.
const MAX_PAGE_REQUESTS: usize = 60;

/// Class of a query; determines which guarantees the scenario checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    /// Idempotent queries whose answers must contain all shards.
    Complete,
    /// Queries whose answers may be partial if they contain at least two fifths of the shards.
    Partial,
    /// Queries that are not idempotent.
    NonIdempotent,
}

impl Class {
    /// All classes.
    pub(super) const ALL: [Class; 3] = [Class::Complete, Class::Partial, Class::NonIdempotent];

    /// Returns the name of the class in the settings of the program.
    pub(super) fn name(self) -> &'static str {
        match self {
            Class::Complete => "map",
            Class::Partial => "part",
            Class::NonIdempotent => "once",
        }
    }
}

/// Query that a client sends, with the pages that it links to.
pub(super) struct Query {
    pub(super) class: Class,
    pub(super) id: u64,
    /// Whether the client follows the `next` links to the end.
    pub(super) follows_links: bool,
    pub(super) limit: usize,
}

impl Query {
    /// Returns whether the client retries a failed page after this number of page requests.
    pub(super) fn retries_page(&self, page_requests: usize) -> bool {
        self.follows_links
            && self.class != Class::NonIdempotent
            && page_requests > 0
            && page_requests < MAX_PAGE_REQUESTS
    }

    /// Returns the target of the first page, with the query id as the fractional digits of the
    /// northern latitude.
    pub(super) fn first_target(&self) -> String {
        format!(
            "/collections/devices/items?limit={}&bbox=-180,-90,180,89.{}",
            self.limit, self.id
        )
    }
}

/// Returns the id of the query that a target belongs to.
pub(super) fn query_id_of_target(target: &str) -> Option<u64> {
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

/// Log of sent queries, by query id.
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
        lock(&self.sent).insert(query.id, sent);
    }

    /// Records the time at which a page of a recorded query is requested.
    pub(super) fn record_page(&self, query_id: u64, requested_at: Instant) {
        if let Some(sent) = lock(&self.sent).get_mut(&query_id) {
            sent.pages_requested_at.push(requested_at);
        }
    }

    /// Returns the number of pages of a non-idempotent query that had been requested by this time,
    /// or `None` for other queries. The number distinguishes the pages: a part must run at most once
    /// per page, because the program treats the request for each page as a separate query.
    pub(super) fn non_idempotent_page(&self, query_id: u64, at: Instant) -> Option<usize> {
        let sent = lock(&self.sent);
        let query = sent
            .get(&query_id)
            .filter(|query| query.class == Class::NonIdempotent)?;
        Some(
            query
                .pages_requested_at
                .iter()
                .filter(|requested_at| **requested_at <= at)
                .count(),
        )
    }
}
