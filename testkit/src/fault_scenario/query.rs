//! Queries of a fault scenario and what is known of those that were sent.

use crate::sync::lock;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

/// What a class promises, as far as the scenario checks it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Class {
    /// All shards, idempotent.
    Map,
    /// Answers from two fifths of the shards are enough.
    Part,
    /// Not idempotent.
    Once,
}

impl Class {
    pub(super) const ALL: [Class; 3] = [Class::Map, Class::Part, Class::Once];

    /// Its name in the settings.
    pub(super) fn name(self) -> &'static str {
        match self {
            Class::Map => "map",
            Class::Part => "part",
            Class::Once => "once",
        }
    }
}

/// A query, with all pages that a client follows.
pub(super) struct Query {
    pub(super) class: Class,
    pub(super) mark: u64,
    /// Whether `next` links are followed to the end.
    pub(super) follows_links: bool,
    pub(super) limit: usize,
}

impl Query {
    /// The target of its first page: its mark is the fraction of the northern latitude.
    pub(super) fn first_target(&self) -> String {
        format!("/collections/devices/items?limit={}&bbox=-180,-90,180,89.{}", self.limit, self.mark)
    }
}

/// The mark of the query that a target belongs to.
pub(super) fn mark_of_target(target: &str) -> Option<u64> {
    let (_, bbox) = target.split_once("bbox=")?;
    let bbox = bbox.split('&').next()?;
    let north = bbox.rsplit("%2C").next()?.rsplit(',').next()?;
    north.strip_prefix("89.")?.parse().ok()
}

/// A query that was sent: its class, and when each of its pages was requested.
struct SentQuery {
    class: Class,
    pages_requested_at: Vec<Instant>,
}

/// All queries that were sent, by their marks.
#[derive(Default)]
pub(super) struct QueryLog {
    sent: Mutex<HashMap<u64, SentQuery>>,
}

impl QueryLog {
    pub(super) fn record_query(&self, query: &Query) {
        let sent = SentQuery { class: query.class, pages_requested_at: Vec::new() };
        lock(&self.sent).insert(query.mark, sent);
    }

    pub(super) fn record_page(&self, mark: u64, requested_at: Instant) {
        if let Some(sent) = lock(&self.sent).get_mut(&mark) {
            sent.pages_requested_at.push(requested_at);
        }
    }

    /// If this query is not idempotent: how many of its pages had been requested by then. A part must not run twice for one
    /// page; the next page is another query to the program.
    pub(super) fn non_idempotent_page(&self, mark: u64, at: Instant) -> Option<usize> {
        let sent = lock(&self.sent);
        let query = sent.get(&mark).filter(|query| query.class == Class::Once)?;
        Some(query.pages_requested_at.iter().filter(|requested_at| **requested_at <= at).count())
    }
}
