//! The progress of a merge and the checks on its missing shards, which merges with and without a
//! sort order have in common.

/// The tolerance for rounding errors when the share of the shards is compared with its minimum.
const SHARE_TOLERANCE: f64 = 1e-6;

/// The progress of a merge after a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeProgress {
    /// Another round is needed.
    NeedsPages,
    /// No more pages are needed: the response ends with the features so far.
    Finished,
    /// Too many shards are missing, or there is no feature to respond with.
    Failed,
    /// Sorting the features needs more pages than the limits allow.
    TooManyPages,
}

/// Returns whether `available` of `total` shards are at least the share `min_share`, which is
/// between 0 and 1.
pub(super) fn has_min_share(available: usize, total: usize, min_share: f64) -> bool {
    let share = available as f64 / total.max(1) as f64;
    share + SHARE_TOLERANCE >= min_share
}

/// Returns the indexes of the missing shards. `is_missing` has an entry for each shard: whether it
/// is missing.
pub(super) fn missing_indexes(is_missing: impl Iterator<Item = bool>) -> Vec<usize> {
    is_missing
        .enumerate()
        .filter_map(|(shard, missing)| missing.then_some(shard))
        .collect()
}
