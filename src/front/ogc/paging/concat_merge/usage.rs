//! The pages and bytes that a response has fetched.

use super::super::page::FetchedPage;
use super::PagingLimits;

/// The pages and bytes that a response has fetched, which its limits bound.
#[derive(Debug, Default)]
pub(super) struct FetchUsage {
    /// The number of pages requested, including those that no server returned.
    pages: usize,
    /// The bytes of the pages that arrived.
    bytes: usize,
}

impl FetchUsage {
    /// Records the pages of a round.
    pub fn record(&mut self, fetched_pages: &[FetchedPage]) {
        self.pages += fetched_pages.len();
        let arrived = fetched_pages.iter().flat_map(|fetched| &fetched.page);
        self.bytes += arrived.map(|page| page.body.len()).sum::<usize>();
    }

    /// Returns whether no page was requested yet.
    pub fn is_empty(&self) -> bool {
        self.pages == 0
    }

    /// Returns whether no further page may be requested.
    pub fn has_reached(&self, limits: &PagingLimits) -> bool {
        self.pages >= limits.max_pages || self.bytes >= limits.max_bytes
    }
}
