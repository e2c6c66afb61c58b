//! Modelled servers, whose pages a response is built from.

use crate::front::ogc::paging::{
    ConcatMerge, FeaturePage, MergeProgress, PageFetch, PageLocation, PagingLimits, ResumePosition,
};
use std::sync::Arc;

/// The servers of some shards. The text of a feature is its number in eight digits.
pub struct Model {
    /// The number of features in each shard.
    pub shards: Vec<usize>,
    /// Whether the servers report the number of matching features.
    pub reports_count: bool,
    /// The maximum number of features in a page, whatever is requested.
    pub max_page_size: usize,
    /// The number of pages requested so far.
    pub requests: usize,
}

/// Returns servers of shards with these numbers of features each.
pub fn model(shards: &[usize]) -> Model {
    Model {
        shards: shards.to_vec(),
        reports_count: true,
        max_page_size: 10_000,
        requests: 0,
    }
}

/// Returns the number of a feature plus one, as its identifier's hash.
pub fn id(bytes: &[u8]) -> u64 {
    std::str::from_utf8(bytes)
        .expect("text")
        .parse::<u64>()
        .expect("a number")
        + 1
}

impl Model {
    /// Returns the page of a fetch.
    pub fn page(&mut self, fetch: &PageFetch) -> Arc<FeaturePage> {
        self.requests += 1;
        let (from, size) = match &fetch.location {
            PageLocation::ShardStart => (0, fetch.page_size.min(self.max_page_size)),
            PageLocation::NextLink { target, .. } => {
                let (from, size) = target.split_once(' ').expect("a link");
                (
                    from.parse().expect("a number"),
                    size.parse().expect("a number"),
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

    /// Fetches the pages of a round, except those for which `served` returns `false`.
    pub fn round(
        &mut self,
        merge: &mut ConcatMerge,
        served: impl Fn(&PageFetch) -> bool,
    ) -> MergeProgress {
        let fetches = merge.next_fetches();
        let pages = fetches
            .iter()
            .map(|fetch| fetch.fetched_page(served(fetch).then(|| self.page(fetch))))
            .collect();
        merge.accept(pages, id)
    }

    /// Fetches the pages of a response until it is complete.
    pub fn response(&mut self, limits: PagingLimits, from: ResumePosition) -> ConcatMerge {
        let mut merge = ConcatMerge::new(limits, from, self.shards.len());
        for _ in 0..10_000 {
            if self.round(&mut merge, |_| true) == MergeProgress::Finished {
                return merge;
            }
        }
        panic!("a response without end");
    }

    /// Follows the responses to the end. Returns their features and the number of responses.
    pub fn all(&mut self, limits: PagingLimits) -> (Vec<u64>, usize) {
        let mut features = Vec::new();
        let mut responses = 0;
        let mut at = Some(ResumePosition::START);
        while let Some(from) = at {
            let merge = self.response(limits, from);
            assert!(merge.count() <= limits.limit && merge.is_complete());
            for slice in merge.slices() {
                features.extend(slice.texts().map(|text| id(text) - 1));
            }
            responses += 1;
            at = merge.resume_position().cloned();
            assert!(
                at.is_none() || merge.count() > 0,
                "an empty response that continues"
            );
        }
        (features, responses)
    }
}
