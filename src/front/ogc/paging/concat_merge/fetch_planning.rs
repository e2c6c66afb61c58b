//! The choice of the pages that a [`ConcatMerge`] fetches in its next round, and of their sizes.

use super::super::page::{PageFetch, PageLocation, ResumePosition};
use super::ConcatMerge;

/// The number of shards with an unknown number of features that the first round fetches ahead. It
/// doubles in each round.
pub(super) const INITIAL_LOOKAHEAD: usize = 1;
/// The maximum number of shards that a round fetches ahead.
const MAX_LOOKAHEAD: usize = 32;

impl ConcatMerge {
    /// Returns the pages to fetch in the next round, without those that have arrived. There are
    /// none if the response has passed all shards.
    #[must_use]
    pub fn next_fetches(&self) -> Vec<PageFetch> {
        let mut fetches = Vec::new();
        if self.has_passed_all_shards() {
            return fetches;
        }
        fetches.extend(self.current_fetch());
        let first_round = self.start == ResumePosition::START && self.usage.is_empty();
        if first_round && self.shards.len() <= self.limits.max_initial_shards {
            self.add_initial_fetches(&mut fetches);
        } else if !matches!(self.position.location, PageLocation::NextLink { .. }) {
            self.add_lookahead_fetches(&mut fetches);
        }
        fetches
    }

    /// Doubles the number of shards fetched ahead in the next round.
    pub(super) fn widen_lookahead(&mut self) {
        self.lookahead = (self.lookahead * 2).min(MAX_LOOKAHEAD);
    }

    /// Returns the fetch of the page at the current position; `None` if the page has arrived.
    fn current_fetch(&self) -> Option<PageFetch> {
        let shard = self.position.shard;
        if self.shards[shard].unused_page.is_some() {
            return None;
        }
        let page_size = match &self.position.location {
            PageLocation::ShardStart => self.limits.initial_page_size(self.remaining()),
            PageLocation::FirstPage { page_size, .. }
            | PageLocation::NextLink { page_size, .. } => *page_size,
        };
        Some(PageFetch {
            shard,
            location: self.position.location.clone(),
            page_size,
        })
    }

    /// Adds the first pages of all shards after the current one. After this round, the response is
    /// complete if the collection is small; otherwise, the number of matching features is known if
    /// the servers report it.
    fn add_initial_fetches(&self, fetches: &mut Vec<PageFetch>) {
        let shards = self.shards.len();
        let even_share = self.limits.limit.div_ceil(shards);
        let preferred_size = if self.limits.filtered_locally {
            self.limits.page_size
        } else {
            even_share
        };
        let page_size = preferred_size.min(self.limits.page_size);
        let following_shards = self.position.shard + 1..shards;
        fetches.extend(following_shards.map(|shard| PageFetch::shard_start(shard, page_size)));
    }

    /// Adds the first pages of the following shards, until they are expected to fill the response.
    fn add_lookahead_fetches(&self, fetches: &mut Vec<PageFetch>) {
        let current = self.position.shard;
        let mut remaining = self.remaining() as u64;
        let mut unknown_shards = 0;
        for shard in current..self.shards.len() {
            let state = &self.shards[shard];
            if shard > current && state.unused_page.is_none() && !state.is_missing() {
                let page_size = self.limits.initial_page_size(remaining.max(1) as usize);
                fetches.push(PageFetch::shard_start(shard, page_size));
            }
            match state.number_matched {
                Some(matched) => remaining = remaining.saturating_sub(matched),
                None => unknown_shards += 1,
            }
            if remaining == 0 || unknown_shards > self.lookahead || fetches.len() > MAX_LOOKAHEAD {
                break;
            }
        }
    }
}
