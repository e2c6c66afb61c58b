//! The number of pages and bytes that were fetched for a response.

use super::super::page::FetchedPage;
use super::PagingLimits;

/// The number of pages and bytes that were fetched for a response. [`PagingLimits`] limits both.
#[derive(Debug, Default)]
pub(super) struct FetchUsage {
    /// The number of pages requested, including those that no server returned.
    pages: usize,
    /// The total size of the pages that arrived, in bytes.
    bytes: usize,
}

impl FetchUsage {
    /// Records the pages of a round.
    pub fn record(&mut self, fetched_pages: &[FetchedPage]) {
        self.pages += fetched_pages.len();
        let arrived = fetched_pages.iter().flat_map(|fetched| &fetched.page);
        self.bytes += arrived.map(|page| page.body.len()).sum::<usize>();
    }

    /// Returns whether no page has been requested yet.
    pub fn is_empty(&self) -> bool {
        self.pages == 0
    }

    /// Returns whether one of the limits is reached, so that no more pages may be requested.
    pub fn has_reached(&self, limits: &PagingLimits) -> bool {
        self.pages >= limits.max_pages || self.bytes >= limits.max_bytes
    }
}
