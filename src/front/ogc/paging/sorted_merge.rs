//! The response to a query with a sort order: the first features of all shards after a position in
//! the sort order. At most as many features as the limit of the response are kept in memory.
//!
//! Like a [`ConcatMerge`](super::ConcatMerge), the response is built in rounds. If the servers of a
//! shard return its features in order, fetching stops when no other feature of the shard can be
//! among the first. Otherwise the shard is read to its end, and features that are not among the
//! first ones so far are dropped immediately. [`shard_order`](super::shard_order) decides how far a
//! server's order is relied on.

use super::page::{FeaturePage, FetchedPage, PageFetch, PageLocation};
use super::progress::{has_min_share, missing_indexes, MergeProgress};
use super::shard_order::{AgreedColumns, ObservedOrder};
use super::sort_key::{SortKey, SortPosition, SortValues};
use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

/// The maximum number of shards from which a round fetches pages.
const MAX_CONCURRENT_SHARDS: usize = 8;

/// The sort order and the limits of a response.
#[derive(Debug, Clone)]
pub struct SortedQuery {
    /// The sort keys.
    pub keys: Vec<SortKey>,
    /// The maximum number of features in the response.
    pub limit: usize,
    /// The maximum number of features to request in a page.
    pub page_size: usize,
    /// The maximum number of pages to fetch.
    pub max_pages: usize,
    /// The minimum share of the shards that a response needs, between 0 and 1.
    pub min_shard_share: f64,
    /// Whether a part of the query may run more than once. If so, shards may be read again when
    /// another shard is missing.
    pub idempotent: bool,
    /// The position of the last feature in the previous response; `None` in the first response.
    pub after: Option<SortPosition>,
}

/// The state of a shard while a response is built.
#[derive(Debug)]
struct ShardState {
    /// The next page to fetch; `None` after the last page.
    location: Option<PageLocation>,
    /// The pages that have been read or will be read next.
    visited: HashSet<PageLocation>,
    /// The order of the features that the server has returned.
    order: ObservedOrder,
    /// Whether its pages are only as large as the response, since all features that follow a full
    /// page are beyond the response.
    has_small_pages: bool,
    /// Whether a page of the shard could not be fetched, or its links form a cycle.
    missing: bool,
}

impl ShardState {
    fn new(order: ObservedOrder) -> Self {
        ShardState {
            location: Some(PageLocation::ShardStart),
            visited: HashSet::new(),
            has_small_pages: order.is_fully_agreed(),
            order,
            missing: false,
        }
    }

    fn mark_missing(&mut self) {
        self.missing = true;
        self.location = None;
    }

    /// Moves back to the start of the shard.
    fn restart(&mut self) {
        self.location = Some(PageLocation::ShardStart);
        self.visited.clear();
        self.order.restart();
    }

    /// Moves back to the start of the shard to read it in larger pages.
    fn restart_with_large_pages(&mut self) {
        self.has_small_pages = false;
        self.restart();
    }

    /// Moves to the next page. Marks the shard as missing if the link leads to a page that was read
    /// before, because such links never end.
    fn move_to(&mut self, next: Option<PageLocation>) {
        let is_cycle = |next: &PageLocation| !self.visited.insert(next.clone());
        if next.as_ref().is_some_and(is_cycle) {
            self.mark_missing();
        } else {
            self.location = next;
        }
    }
}

/// A response under construction, with a sort order.
#[derive(Debug)]
pub struct SortedMerge {
    keys: Vec<SortKey>,
    /// For each sort key, whether the largest value comes first.
    descending: Arc<[bool]>,
    limit: usize,
    page_size: usize,
    /// The number of pages that may still be fetched.
    pages_left: usize,
    min_shard_share: f64,
    /// Whether a part of the query may run more than once.
    idempotent: bool,
    /// The position after which the response starts; `None` in the first response.
    after: Option<SortValues>,
    /// The state of each shard, by its index.
    shards: Vec<ShardState>,
    /// The first features in the order so far, at most `limit`.
    selected: BTreeMap<SortValues, Arc<[u8]>>,
    /// The position of the first feature in the order of those that were dropped, which all come
    /// after the selected ones; `None` if no feature was dropped.
    first_dropped: Option<SortValues>,
}

impl SortedMerge {
    /// Creates an empty response. `agreed_columns` has an entry for each shard: the columns in whose
    /// order its servers return features.
    #[must_use]
    pub fn new(query: SortedQuery, agreed_columns: Vec<AgreedColumns>) -> Self {
        let descending: Arc<[bool]> = query.keys.iter().map(|key| key.descending).collect();
        let after = query.after.as_ref();
        let after = after.and_then(|after| SortValues::from_position(after, &descending));
        let column_count = query.keys.len() + 1;
        let shard_state = |agreed| ShardState::new(ObservedOrder::new(agreed, column_count));
        SortedMerge {
            after,
            keys: query.keys,
            descending,
            limit: query.limit,
            page_size: query.page_size,
            pages_left: query.max_pages,
            min_shard_share: query.min_shard_share,
            idempotent: query.idempotent,
            shards: agreed_columns.into_iter().map(shard_state).collect(),
            selected: BTreeMap::new(),
            first_dropped: None,
        }
    }

    /// Returns the pages to fetch next.
    #[must_use]
    pub fn next_fetches(&self) -> Vec<PageFetch> {
        let contributing = self
            .shards
            .iter()
            .enumerate()
            .filter(|(_, state)| self.can_contribute(state));
        let fetches = contributing.take(MAX_CONCURRENT_SHARDS.min(self.pages_left.max(1)));
        fetches
            .filter_map(|(shard, state)| self.next_fetch(shard, state))
            .collect()
    }

    /// Returns the fetch of a shard's next page; `None` after its last page.
    fn next_fetch(&self, shard: usize, state: &ShardState) -> Option<PageFetch> {
        let location = state.location.clone()?;
        let page_size = match &location {
            PageLocation::ShardStart if state.has_small_pages => self.page_size.min(self.limit),
            PageLocation::ShardStart => self.page_size,
            PageLocation::FirstPage { page_size, .. }
            | PageLocation::NextLink { page_size, .. } => *page_size,
        };
        Some(PageFetch {
            shard,
            location,
            page_size,
        })
    }

    /// Returns whether a page of the shard that has not been read can contain one of the first
    /// features.
    fn can_contribute(&self, state: &ShardState) -> bool {
        state.location.is_some() && !self.is_beyond_selected(state)
    }

    /// Returns whether none of the features that a shard's server has not returned yet can be
    /// selected.
    fn is_beyond_selected(&self, state: &ShardState) -> bool {
        let has_passed = |position| state.order.has_passed(position);
        self.first_dropped.as_ref().is_some_and(has_passed)
            || self.last_if_full().is_some_and(has_passed)
    }

    /// Returns the values of the last selected feature if the limit of the response is reached.
    fn last_if_full(&self) -> Option<&SortValues> {
        let full = self.selected.len() >= self.limit;
        let last = self.selected.last_key_value().filter(|_| full);
        last.map(|(values, _)| values)
    }

    /// Selects features from the pages of a round, and returns the progress.
    pub fn accept(&mut self, fetched_pages: Vec<FetchedPage>) -> MergeProgress {
        self.pages_left = self.pages_left.saturating_sub(fetched_pages.len());
        for fetched in fetched_pages {
            match fetched.page {
                None => self.shards[fetched.shard].mark_missing(),
                Some(page) => self.accept_page(fetched.shard, &page),
            }
        }
        self.remove_missing_shards();
        if self.has_too_few_shards() || !self.has_first_feature() {
            return MergeProgress::Failed;
        }
        match self.shards.iter().any(|state| self.can_contribute(state)) {
            false => MergeProgress::Finished,
            true if self.pages_left == 0 => MergeProgress::TooManyPages,
            true => MergeProgress::NeedsPages,
        }
    }

    /// Selects features from a page, and moves its shard to the next page.
    fn accept_page(&mut self, shard: usize, page: &FeaturePage) {
        for feature in &page.features {
            self.insert(shard, &page.body[feature.clone()]);
        }
        let state = &mut self.shards[shard];
        // Pages are now read on beyond the response, and links repeat the size of the first page.
        let needs_large_pages = state.has_small_pages && !state.order.is_fully_agreed();
        if needs_large_pages && self.idempotent && page.next_target.is_some() {
            state.restart_with_large_pages();
        } else {
            state.move_to(page.next_location());
        }
    }

    /// Removes the selected features of missing shards: a response has none of the features of a
    /// shard that it reports as missing. If features were dropped and no selected one remains, the
    /// other shards are read again, provided that parts of the query may run more than once.
    fn remove_missing_shards(&mut self) {
        let shards = &self.shards;
        self.selected
            .retain(|values, _| !shards[values.shard].missing);
        if self.has_first_feature() || !self.idempotent {
            return;
        }
        self.first_dropped = None;
        let available = self.shards.iter_mut().filter(|state| !state.missing);
        available.for_each(ShardState::restart);
    }

    /// Returns whether the first features in the order are available. They are not if features were
    /// dropped and no selected one remains: the dropped ones would come first.
    fn has_first_feature(&self) -> bool {
        self.first_dropped.is_none() || !self.selected.is_empty()
    }

    /// Returns whether the share of the shards that are not missing is below the minimum.
    fn has_too_few_shards(&self) -> bool {
        let missing = self.shards.iter().filter(|state| state.missing).count();
        let total = self.shards.len().max(1);
        !has_min_share(total - missing, total, self.min_shard_share)
    }

    /// Selects a feature if it is among the first so far. Ignores features that are not valid JSON.
    fn insert(&mut self, shard: usize, feature: &[u8]) {
        let Some(values) = SortValues::from_feature(feature, &self.keys, &self.descending, shard)
        else {
            return;
        };
        self.shards[shard].order.record(&values);
        if self.after.as_ref().is_some_and(|after| values <= *after) {
            return;
        }
        let dropped = self.first_dropped.as_ref();
        if dropped.is_some_and(|dropped| values >= *dropped) {
            return;
        }
        if self.last_if_full().is_some_and(|last| values > *last) {
            self.first_dropped = Some(values);
            return;
        }
        self.selected.insert(values, feature.into());
        if self.selected.len() > self.limit {
            self.first_dropped = self.selected.pop_last().map(|(values, _)| values);
        }
    }

    /// Returns the features of the response, in order, as one page.
    #[must_use]
    pub fn to_page(&self) -> FeaturePage {
        let mut page = FeaturePage::default();
        for feature in self.selected.values() {
            let start = page.body.len();
            page.body.extend_from_slice(feature);
            page.features.push(start..page.body.len());
        }
        page.returned_count = page.features.len();
        page
    }

    /// Returns the position after which the next response starts; `None` if this is the last
    /// response.
    #[must_use]
    pub fn resume_after(&self) -> Option<SortPosition> {
        let more_follows = self.first_dropped.is_some()
            || self.shards.iter().any(|state| state.location.is_some());
        let last = self.selected.last_key_value().filter(|_| more_follows);
        last.map(|(values, _)| values.to_position())
    }

    /// Returns the indexes of the missing shards.
    #[must_use]
    pub fn missing_shards(&self) -> Vec<usize> {
        missing_indexes(self.shards.iter().map(|state| state.missing))
    }

    /// Returns the number of features selected so far, at most the limit.
    #[must_use]
    pub fn selected_count(&self) -> usize {
        self.selected.len()
    }
}

#[cfg(test)]
mod tests;
