//! Pages of features, where a shard's pages continue, and the fetches that a merge asks for.

use std::ops::Range;
use std::sync::Arc;

/// A page of features as a server returned it.
#[derive(Debug, Default)]
pub struct FeaturePage {
    /// The server's address.
    pub server: Arc<str>,
    /// The response body.
    pub body: Vec<u8>,
    /// The byte ranges of `body` with the features that pass the filter evaluated here.
    pub features: Vec<Range<usize>>,
    /// The number of features in the page, including those that do not pass the filter.
    pub returned_count: usize,
    /// The path and query of the `next` link; it leads to the same server.
    pub next_target: Option<String>,
    /// The server's `numberMatched`: all features of the shard that match.
    pub number_matched: Option<u64>,
}

impl FeaturePage {
    /// Where the shard continues after this page. Servers keep the page size of the first request in their links, so the
    /// size is what this page holds, whatever was requested.
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

/// Where in a shard a page starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageLocation {
    /// At the first feature of the shard.
    ShardStart,
    /// Where the `next` link of the page before leads.
    NextLink {
        /// The address of the server that gave the link.
        server: Arc<str>,
        /// Path and query.
        target: Arc<str>,
        /// Features in a page that the link leads to.
        page_size: usize,
    },
}

/// Where a response starts: a page of a shard, and how much of that page earlier responses have returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePosition {
    /// The index of the shard.
    pub shard: usize,
    /// The page within the shard.
    pub location: PageLocation,
    /// Features of that page that earlier responses returned.
    pub skip: usize,
}

impl ResumePosition {
    /// The start of the first response.
    pub const START: ResumePosition = ResumePosition::shard_start(0);

    /// The start of a shard.
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

    /// The result of this fetch.
    #[must_use]
    pub fn fetched(&self, page: Option<Arc<FeaturePage>>) -> FetchedPage {
        FetchedPage {
            shard: self.shard,
            page_size: self.page_size,
            page,
        }
    }
}

/// What came of a [`PageFetch`].
#[derive(Debug, Clone)]
pub struct FetchedPage {
    /// The index of the shard.
    pub shard: usize,
    /// The number of features that were requested.
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
    /// The byte ranges of the features in the page's body.
    #[must_use]
    pub fn ranges(&self) -> &[Range<usize>] {
        &self.page.features[self.features.clone()]
    }

    /// The features as their server wrote them.
    pub fn texts(&self) -> impl Iterator<Item = &[u8]> {
        self.ranges()
            .iter()
            .map(|range| &self.page.body[range.clone()])
    }

    /// The bytes of the page from the first feature to the last.
    #[must_use]
    pub fn span(&self) -> &[u8] {
        let ranges = self.ranges();
        let first = ranges.first().map_or(0, |range| range.start);
        let last = ranges.last().map_or(0, |range| range.end);
        &self.page.body[first..last.max(first)]
    }
}
