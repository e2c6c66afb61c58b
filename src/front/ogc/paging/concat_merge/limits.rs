//! The limits of a response, and the page sizes that follow from them.

/// The limits of a response.
#[derive(Debug, Clone, Copy)]
pub struct PagingLimits {
    /// The maximum number of features in the response.
    pub limit: usize,
    /// The maximum number of features to request in a page.
    pub page_size: usize,
    /// The maximum number of shards of a query whose first response fetches a page of every shard
    /// in its first round. The response can then report how many features match in all shards, and
    /// which shards are missing.
    pub max_initial_shards: usize,
    /// The maximum number of pages to fetch for the response.
    pub max_pages: usize,
    /// The maximum total size of the pages fetched for the response, in bytes. The page that
    /// exceeds it is still used.
    pub max_bytes: usize,
    /// Whether the front evaluates a part of the filter. If so, servers return more features than
    /// the response uses.
    pub filtered_locally: bool,
    /// The minimum share of the shards that a response needs, between 0 and 1.
    pub min_shard_share: f64,
    /// Whether a part of the query may run more than once. If so, a shard may be restarted if no
    /// earlier response started it.
    pub idempotent: bool,
}

impl PagingLimits {
    /// Returns the page size for a shard that is started when the response needs `needed` more
    /// features. Whole pages of this size add up to that number or slightly more. If the front
    /// filters pages, the size is the maximum.
    pub(super) fn initial_page_size(&self, needed: usize) -> usize {
        if self.filtered_locally {
            return self.page_size;
        }
        let pages = needed.div_ceil(self.page_size).max(1);
        needed.div_ceil(pages).max(1)
    }
}
