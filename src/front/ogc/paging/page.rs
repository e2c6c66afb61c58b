//! Pages of features, where a shard's pages continue, and the fetches that a merge asks for.

use std::ops::Range;
use std::sync::Arc;

/// A page as a server gave it.
#[derive(Debug, Default)]
pub struct FeaturePage {
    /// The server's name.
    pub server: Arc<str>,
    /// Its body.
    pub body: Vec<u8>,
    /// Where the features stand in it that pass what is filtered here.
    pub features: Vec<Range<usize>>,
    /// Features in it, those that do not pass included.
    pub returned_count: usize,
    /// Where it goes on, at the same server: path and query.
    pub next_target: Option<String>,
    /// How many match in all at that server, as it says.
    pub number_matched: Option<u64>,
}

impl FeaturePage {
    /// Where its shard is gone on with after it; its pages hold what this one holds, whatever was asked for.
    pub fn next_location(&self) -> Option<PageLocation> {
        let target = self.next_target.as_deref()?.into();
        Some(PageLocation::NextLink {
            server: self.server.clone(),
            target,
            page_size: self.returned_count.max(1),
        })
    }
}

/// Where a shard is gone on with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PageLocation {
    /// At its begin.
    ShardStart,
    /// Where a page's link led.
    NextLink {
        /// Who gave the link.
        server: Arc<str>,
        /// Path and query.
        target: Arc<str>,
        /// Features a page has there.
        page_size: usize,
    },
}

/// Where an answer begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePosition {
    /// Which shard, in their order.
    pub shard: usize,
    /// Where in it.
    pub location: PageLocation,
    /// Features of that page that were given already.
    pub skip: usize,
}

impl ResumePosition {
    /// Of a first answer.
    pub const START: ResumePosition =
        ResumePosition { shard: 0, location: PageLocation::ShardStart, skip: 0 };
}

/// A page that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PageFetch {
    /// Of which shard.
    pub shard: usize,
    /// Where.
    pub location: PageLocation,
    /// How many features.
    pub page_size: usize,
}
