//! The bounds of a response, and the page sizes that follow from them.

/// The bounds of a response.
#[derive(Debug, Clone, Copy)]
pub struct PagingLimits {
    /// Most features of the response.
    pub limit: usize,
    /// Most features to request from a server at a time.
    pub page_size: usize,
    /// The first response of a query starts up to this many shards at once: it then knows how many features match in all,
    /// and which shards are missing.
    pub max_initial_shards: usize,
    /// Most pages of the response.
    pub max_pages: usize,
    /// Most bytes of the response's pages.
    pub max_bytes: usize,
    /// Pages are filtered here: servers return more features than the response uses.
    pub filtered_locally: bool,
    /// The least share of the shards from which a response may be given.
    pub min_shard_share: f64,
    /// A part of the query may run more than once. A shard that is interrupted may then be started again, if no earlier
    /// response returned any of its features.
    pub idempotent: bool,
}

impl PagingLimits {
    /// The page size for a shard that is started now, so that its pages fit the number of features that are needed.
    pub(super) fn initial_page_size(&self, needed: usize) -> usize {
        if self.filtered_locally {
            return self.page_size;
        }
        let pages = needed.div_ceil(self.page_size).max(1);
        needed.div_ceil(pages).max(1)
    }
}
