//! The features of a response under construction.

use super::super::page::{FeaturePage, PageSlice};
use std::collections::HashSet;
use std::sync::Arc;

/// The features of a response under construction, in order.
#[derive(Debug, Default)]
pub(super) struct ResponseFeatures {
    slices: Vec<PageSlice>,
    count: usize,
    /// The number of features that were left out because their shard returned them before.
    duplicates: usize,
}

/// The length of a response at an earlier time, in slices and in features.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FeaturesCheckpoint {
    slices: usize,
    count: usize,
    duplicates: usize,
}

/// The features of a page that were appended to a response.
pub(super) struct AppendedFeatures {
    /// The index in the page of the first feature that was not used.
    pub end: usize,
    /// The number of features appended, without duplicates.
    pub new_features: usize,
}

impl ResponseFeatures {
    /// Appends the features of a page, starting with the one at index `start`, until the response
    /// has `limit` features. Leaves out features whose identifiers are in `seen_ids`, and adds the
    /// identifiers of the others to it. `feature_id` returns the hash of a feature's identifier, or
    /// 0 if the feature has none.
    pub fn append(
        &mut self,
        page: &Arc<FeaturePage>,
        start: usize,
        limit: usize,
        seen_ids: &mut HashSet<u64>,
        feature_id: &impl Fn(&[u8]) -> u64,
    ) -> AppendedFeatures {
        let count_before = self.count;
        let mut slice_start = start;
        let mut end = start;
        while end < page.features.len() {
            let id = feature_id(&page.body[page.features[end].clone()]);
            let duplicate = id != 0 && seen_ids.contains(&id);
            if !duplicate && self.count >= limit {
                break;
            }
            if duplicate {
                self.duplicates += 1;
                self.append_slice(page, slice_start, end);
                slice_start = end + 1;
            } else {
                seen_ids.insert(id);
                self.count += 1;
            }
            end += 1;
        }
        self.append_slice(page, slice_start, end);
        AppendedFeatures {
            end,
            new_features: self.count - count_before,
        }
    }

    fn append_slice(&mut self, page: &Arc<FeaturePage>, start: usize, end: usize) {
        if start < end {
            self.slices.push(PageSlice {
                page: page.clone(),
                features: start..end,
            });
        }
    }

    /// Returns the current length, to which [`truncate`](Self::truncate) can shorten the response
    /// again.
    pub fn checkpoint(&self) -> FeaturesCheckpoint {
        FeaturesCheckpoint {
            slices: self.slices.len(),
            count: self.count,
            duplicates: self.duplicates,
        }
    }

    /// Returns whether features were appended since a checkpoint.
    pub fn has_grown_since(&self, checkpoint: FeaturesCheckpoint) -> bool {
        self.count > checkpoint.count
    }

    /// Removes the features appended since a checkpoint, and no longer counts the duplicates found
    /// since then.
    pub fn truncate(&mut self, checkpoint: FeaturesCheckpoint) {
        self.slices.truncate(checkpoint.slices);
        self.count = checkpoint.count;
        self.duplicates = checkpoint.duplicates;
    }

    /// Returns the features, in order.
    pub fn slices(&self) -> &[PageSlice] {
        &self.slices
    }

    /// Returns the number of features.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of duplicates: features that a server returned again.
    pub fn duplicates(&self) -> usize {
        self.duplicates
    }
}
