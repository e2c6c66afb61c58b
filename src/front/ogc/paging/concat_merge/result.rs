//! The result of a [`ConcatMerge`]: the features so far, the missing shards, and the position at
//! which the next response starts.

use super::super::page::{PageSlice, ResumePosition};
use super::super::progress::{has_min_share, missing_indexes};
use super::shard_state::ShardState;
use super::{ConcatMerge, InterruptedShard};

impl ConcatMerge {
    /// Returns the features of the response, in order.
    #[must_use]
    pub fn slices(&self) -> &[PageSlice] {
        self.features.slices()
    }

    /// Returns the number of features in the response.
    #[must_use]
    pub fn count(&self) -> usize {
        self.features.count()
    }

    /// Returns the number of duplicates that were left out: features that a server returned again.
    #[must_use]
    pub fn duplicates(&self) -> usize {
        self.features.duplicates()
    }

    /// Returns the shard that was restarted, if there is one, and the server that failed. The shard
    /// must be requested from another server.
    #[must_use]
    pub fn interrupted_shard(&self) -> Option<&InterruptedShard> {
        self.interrupted.as_ref()
    }

    /// Returns the indexes of the shards that could not be fetched, among those that the response
    /// passed or requested.
    #[must_use]
    pub fn missing_shards(&self) -> Vec<usize> {
        missing_indexes(self.shards.iter().map(ShardState::is_missing))
    }

    /// Returns whether the response has the minimum share of the shards. Missing shards count only
    /// if the response passed them: the one at which it ends does not count as missing.
    #[must_use]
    pub fn has_enough_shards(&self) -> bool {
        let missing = self.missing_shards();
        let passed = missing.iter().filter(|shard| **shard < self.position.shard);
        let total = self.shards.len();
        has_min_share(total - passed.count(), total, self.limits.min_shard_share)
    }

    /// Returns whether the response has the features of all shards that it passed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.missing_shards()
            .iter()
            .all(|shard| *shard >= self.position.shard)
    }

    /// Returns the position at which the next response starts; `None` if the response has passed
    /// all shards.
    #[must_use]
    pub fn resume_position(&self) -> Option<&ResumePosition> {
        (!self.has_passed_all_shards()).then_some(&self.position)
    }

    /// Returns the number of matching features in all shards. Returns `None` unless the response is
    /// the first one of its query, is not filtered by the front, has no duplicates and no missing
    /// shards, and each shard's server reported a consistent number or returned all features.
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
            .map(|(shard, state)| state.total_matched(shard < self.position.shard))
            .sum()
    }
}
