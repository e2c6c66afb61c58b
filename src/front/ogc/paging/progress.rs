//! The progress of a merge, and the shards that it needs or misses, with or without a sort order.

/// The tolerance in the comparison of the share of shards with its minimum.
const SHARE_TOLERANCE: f64 = 1e-6;

/// The progress of a merge after a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeProgress {
    /// Another round is needed.
    NeedsPages,
    /// The response is complete.
    Finished,
    /// Too many shards are missing, or there is no feature to respond with.
    Failed,
    /// More pages would have to be fetched to sort the features than the limits allow.
    TooManyPages,
}

/// Returns whether `available` of `total` shards are at least the share `min_share`, between 0
/// and 1.
pub(super) fn has_min_share(available: usize, total: usize, min_share: f64) -> bool {
    let share = available as f64 / total.max(1) as f64;
    share + SHARE_TOLERANCE >= min_share
}

/// Returns the indexes of the shards that are missing, given whether each is.
pub(super) fn missing_indexes(is_missing: impl Iterator<Item = bool>) -> Vec<usize> {
    is_missing
        .enumerate()
        .filter_map(|(shard, missing)| missing.then_some(shard))
        .collect()
}
