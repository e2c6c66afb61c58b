//! Pages of features, positions within the pages of a shard, and the page fetches of a merge.

use std::ops::Range;
use std::sync::Arc;

/// A page of features as a server returned it.
#[derive(Debug, Default)]
pub struct FeaturePage {
    /// The address of the server.
    pub server: Arc<str>,
    /// The response body.
    pub body: Vec<u8>,
    /// The byte ranges in `body` of the features, without those that the front filtered out.
    pub features: Vec<Range<usize>>,
    /// The number of features that the server returned, with those that the front filtered out.
    pub returned_count: usize,
    /// The path and query of the `next` link, which leads to the same server.
    pub next_target: Option<String>,
    /// The server's `numberMatched`: the number of matching features in the shard.
    pub number_matched: Option<u64>,
}

impl FeaturePage {
    /// Returns the location of the next page; `None` if this is the last page. The page size of the
    /// location is the number of features that the server returned in this page, not the number
    /// requested, because servers repeat the page size that they applied in their links.
    #[must_use]
    pub fn next_location(&self) -> Option<PageLocation> {
        let target = self.next_target.as_deref()?.into();
        Some(PageLocation::NextLink {
            server: self.server.clone(),
            target,
            page_size: self.returned_count.max(1),
        })
    }
}

/// The location of a page within its shard.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PageLocation {
    /// The first page of the shard, at any of its servers.
    ShardStart,
    /// The first page of the shard at the server that returned it before. Other servers may return
    /// the features in another order, so a number of features to skip has a meaning only there.
    FirstPage {
        /// The address of the server.
        server: Arc<str>,
        /// The number of features that were requested.
        page_size: usize,
    },
    /// The target of the `next` link of the previous page.
    NextLink {
        /// The address of the server that returned the link.
        server: Arc<str>,
        /// The path and query of the request.
        target: Arc<str>,
        /// The number of features in a page that the link leads to.
        page_size: usize,
    },
}

/// The start of a response: a page of a shard, and the number of its features that earlier
/// responses returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePosition {
    /// The index of the shard.
    pub shard: usize,
    /// The page within the shard.
    pub location: PageLocation,
    /// The number of features of that page to skip because earlier responses returned them.
    pub skip: usize,
}

impl ResumePosition {
    /// The start of the first response.
    pub const START: ResumePosition = ResumePosition::shard_start(0);

    /// Returns the start of a shard.
    pub(super) const fn shard_start(shard: usize) -> Self {
        ResumePosition {
            shard,
            location: PageLocation::ShardStart,
            skip: 0,
        }
    }
}

/// A page to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageFetch {
    /// The index of the shard.
    pub shard: usize,
    /// The page within the shard.
    pub location: PageLocation,
    /// The number of features to request.
    pub page_size: usize,
}

impl PageFetch {
    pub(super) fn shard_start(shard: usize, page_size: usize) -> Self {
        PageFetch {
            shard,
            location: PageLocation::ShardStart,
            page_size,
        }
    }

    /// Returns the result of this fetch.
    #[must_use]
    pub fn fetched_page(&self, page: Option<Arc<FeaturePage>>) -> FetchedPage {
        FetchedPage {
            shard: self.shard,
            page_size: self.page_size,
            page,
        }
    }
}

/// The result of a [`PageFetch`].
#[derive(Debug, Clone)]
pub struct FetchedPage {
    /// The index of the shard.
    pub shard: usize,
    /// The number of features requested.
    pub page_size: usize,
    /// The page; `None` if no server returned it.
    pub page: Option<Arc<FeaturePage>>,
}

/// Consecutive features of a page.
#[derive(Debug, Clone)]
pub struct PageSlice {
    /// The page.
    pub page: Arc<FeaturePage>,
    /// The features, by their indexes in [`FeaturePage::features`].
    pub features: Range<usize>,
}

impl PageSlice {
    /// Returns the byte ranges of the features in the page's body.
    #[must_use]
    pub fn ranges(&self) -> &[Range<usize>] {
        &self.page.features[self.features.clone()]
    }

    /// Returns the features as the JSON texts that their server sent.
    pub fn texts(&self) -> impl Iterator<Item = &[u8]> {
        self.ranges()
            .iter()
            .map(|range| &self.page.body[range.clone()])
    }

    /// Returns the bytes of the page from the first feature to the last.
    #[must_use]
    pub fn span(&self) -> &[u8] {
        let ranges = self.ranges();
        let first = ranges.first().map_or(0, |range| range.start);
        let last = ranges.last().map_or(0, |range| range.end);
        &self.page.body[first..last.max(first)]
    }
}
