//! The result of a [`ConcatMerge`]: the features so far, the shards missing, and the position of the
//! next response.

use super::super::page::{PageSlice, ResumePosition};
use super::super::progress::has_min_share;
use super::{ConcatMerge, InterruptedShard};

impl ConcatMerge {
    /// The features of the response, in order.
    #[must_use]
    pub fn slices(&self) -> &[PageSlice] {
        self.features.slices()
    }

    /// The number of features in the response.
    #[must_use]
    pub fn count(&self) -> usize {
        self.features.count()
    }

    /// The number of features that servers returned more than once.
    #[must_use]
    pub fn duplicates(&self) -> usize {
        self.features.duplicates()
    }

    /// The shard that was started again last, and the server that failed: another one is to be asked.
    #[must_use]
    pub fn interrupted(&self) -> Option<&InterruptedShard> {
        self.interrupted.as_ref()
    }

    /// The indexes of the shards that could not be fetched, of those that the response passed or needed.
    #[must_use]
    pub fn missing_shards(&self) -> Vec<usize> {
        (0..self.shards.len())
            .filter(|shard| self.shards[*shard].missing)
            .collect()
    }

    /// Whether enough of the shards are there. Missing shards count that the response passed, not the one that it ends at.
    #[must_use]
    pub fn has_enough_shards(&self) -> bool {
        let missing = self.missing_shards();
        let passed = missing.iter().filter(|shard| **shard < self.position.shard);
        let total = self.shards.len();
        has_min_share(total - passed.count(), total, self.limits.min_shard_share)
    }

    /// Whether the response has the features of all shards that it passed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing_shards()
            .iter()
            .all(|shard| *shard >= self.position.shard)
    }

    /// Where the next response starts; `None` after the last feature.
    #[must_use]
    pub fn resume_position(&self) -> Option<&ResumePosition> {
        (!self.is_exhausted()).then_some(&self.position)
    }

    /// The number of features that match in all shards; `None` unless every server reported it or returned all it has.
    #[must_use]
    pub fn number_matched(&self) -> Option<u64> {
        if self.start != ResumePosition::START
            || self.limits.filtered_locally
            || self.features.duplicates() > 0
        {
            return None;
        }
        let states = self.shards.iter().enumerate();
        states
            .map(|(shard, state)| state.total(shard < self.position.shard))
            .sum()
    }
}
