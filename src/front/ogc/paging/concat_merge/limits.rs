//! The limits of a response, and the page sizes that follow from them.

/// The limits of a response.
#[derive(Debug, Clone, Copy)]
pub struct PagingLimits {
    /// The maximum number of features in the response.
    pub limit: usize,
    /// The maximum number of features to request in a page.
    pub page_size: usize,
    /// The maximum number of shards that the first response of a query starts all at once. The
    /// response then knows how many features match in all, and which shards are missing.
    pub max_initial_shards: usize,
    /// The maximum number of pages to fetch for the response.
    pub max_pages: usize,
    /// The maximum size of the response's pages, in bytes. The page that exceeds it is still used.
    pub max_bytes: usize,
    /// Whether the front filters pages: servers then return more features than the response uses.
    pub filtered_locally: bool,
    /// The minimum share of the shards, between 0 and 1, for a response.
    pub min_shard_share: f64,
    /// Whether a part of the query may run more than once. If so, an interrupted shard may be
    /// restarted, unless an earlier response returned one of its features.
    pub idempotent: bool,
}

impl PagingLimits {
    /// Returns the page size for a shard that is started when `needed` features are missing from
    /// the response: complete pages then add up to that number.
    pub(super) fn initial_page_size(&self, needed: usize) -> usize {
        if self.filtered_locally {
            return self.page_size;
        }
        let pages = needed.div_ceil(self.page_size).max(1);
        needed.div_ceil(pages).max(1)
    }
}
