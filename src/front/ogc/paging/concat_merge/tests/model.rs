//! Model servers, from whose pages the tests build responses.

use crate::front::ogc::paging::{
    ConcatMerge, FeaturePage, MergeProgress, PageFetch, PageLocation, PagingLimits, ResumePosition,
};
use std::sync::Arc;

/// The model servers of some shards. The text of a feature is its number in eight digits: the index
/// of its shard times a million, plus its index in the shard.
pub struct ModelServers {
    /// The number of features in each shard.
    pub shards: Vec<usize>,
    /// Whether the servers report the number of matching features.
    pub reports_count: bool,
    /// The maximum number of features in a page, even if more are requested.
    pub max_page_size: usize,
    /// The number of pages requested so far.
    pub requests: usize,
}

/// Returns servers of shards with these numbers of features.
pub fn servers_with(shards: &[usize]) -> ModelServers {
    ModelServers {
        shards: shards.to_vec(),
        reports_count: true,
        max_page_size: 10_000,
        requests: 0,
    }
}

/// Returns the hash of a feature's identifier, which is its number plus one.
pub fn id(bytes: &[u8]) -> u64 {
    std::str::from_utf8(bytes)
        .expect("a feature is UTF-8")
        .parse::<u64>()
        .expect("a feature is a number")
        + 1
}

impl ModelServers {
    /// Returns the page that a fetch requests.
    pub fn page(&mut self, fetch: &PageFetch) -> Arc<FeaturePage> {
        self.requests += 1;
        let (from, size) = match &fetch.location {
            PageLocation::ShardStart | PageLocation::FirstPage { .. } => {
                (0, fetch.page_size.min(self.max_page_size))
            }
            PageLocation::NextLink { target, .. } => {
                let (from, size) = target.split_once(' ').expect("a link has two numbers");
                (
                    from.parse().expect("the first feature is a number"),
                    size.parse().expect("the page size is a number"),
                )
            }
        };
        let all = self.shards[fetch.shard];
        let to = (from + size).min(all);
        let text: String = (from..to)
            .map(|n| format!("{:08}", fetch.shard * 1_000_000 + n))
            .collect();
        let features: Vec<_> = (0..to.saturating_sub(from))
            .map(|n| n * 8..n * 8 + 8)
            .collect();
        Arc::new(FeaturePage {
            server: format!("s{}", fetch.shard).into(),
            body: text.into_bytes(),
            returned_count: features.len(),
            features,
            next_target: (to < all).then(|| format!("{to} {size}")),
            number_matched: self.reports_count.then_some(all as u64),
        })
    }

    /// Runs a round. The fetches for which `is_served` returns `false` fail.
    pub fn round(
        &mut self,
        merge: &mut ConcatMerge,
        is_served: impl Fn(&PageFetch) -> bool,
    ) -> MergeProgress {
        let fetches = merge.next_fetches();
        let pages = fetches
            .iter()
            .map(|fetch| fetch.fetched_page(is_served(fetch).then(|| self.page(fetch))))
            .collect();
        merge.accept(pages, id)
    }

    /// Runs the rounds of a response until it is finished.
    pub fn response(&mut self, limits: PagingLimits, from: ResumePosition) -> ConcatMerge {
        let mut merge = ConcatMerge::new(limits, from, self.shards.len());
        for _ in 0..10_000 {
            if self.round(&mut merge, |_| true) == MergeProgress::Finished {
                return merge;
            }
        }
        panic!("the response did not finish within 10,000 rounds");
    }

    /// Builds all responses of a query. Returns their features and the number of responses.
    pub fn all_responses(&mut self, limits: PagingLimits) -> (Vec<u64>, usize) {
        let mut features = Vec::new();
        let mut responses = 0;
        let mut position = Some(ResumePosition::START);
        while let Some(from) = position {
            let merge = self.response(limits, from);
            assert!(merge.count() <= limits.limit && merge.is_complete());
            for slice in merge.slices() {
                features.extend(slice.texts().map(|text| id(text) - 1));
            }
            responses += 1;
            position = merge.resume_position().cloned();
            assert!(
                position.is_none() || merge.count() > 0,
                "a response without features has a next response"
            );
        }
        (features, responses)
    }
}
