//! The response to a query without a sort order: the features of the shards, one shard after the other.
//!
//! A response starts at a [`ResumePosition`] and ends at its limit. It is built in rounds: [`ConcatMerge::next_fetches`] names
//! the pages to fetch, [`ConcatMerge::accept`] takes in what came of them. Pages are used up completely, so that a client
//! that follows the `next` links to the end has each of them fetched once: page sizes are chosen so that a page boundary
//! falls on the limit, and a response ends early, with a `next` link, rather than start a page that it cannot use up.

mod fetch_planning;
mod limits;
mod shard_state;

use super::page::{FeaturePage, FetchedPage, PageLocation, PageSlice, ResumePosition};
use crate::coordinator::check_invariant;
pub use limits::PagingLimits;
use shard_state::{RequestedPage, ShardState};
use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

/// A response that holds this share of its limit ends at the end of a shard rather than start the next shard with a small
/// page, whose links would continue with that size. Requests stay under 1 / (1 - this share) times the number of pages.
const SUFFICIENT_FILL_SHARE: f64 = 0.15;
/// A first page under this share of the suitable size only tells the shard's size: the shard is started again with larger
/// pages.
const MIN_USEFUL_PAGE_SHARE: f64 = 0.25;
/// Shards fetched ahead of the current one when nothing is known of their size; doubled each round.
const INITIAL_LOOKAHEAD: usize = 1;
/// Most shards fetched ahead of the current one in a round.
const MAX_LOOKAHEAD: usize = 32;
/// Tolerance in the comparison of the share of shards with its minimum.
const SHARE_TOLERANCE: f64 = 1e-6;

/// How far a [`ConcatMerge`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConcatProgress {
    /// Another round is needed.
    NeedsPages,
    /// The response is complete.
    Complete,
    /// There is no response: too many shards are missing, or the bounds are reached, and it holds no feature.
    Failed,
}

/// How much the response held when the current shard was started.
#[derive(Debug, Clone, Copy)]
struct ShardCheckpoint {
    slices: usize,
    count: usize,
}

/// A shard whose server did not return the next page.
#[derive(Debug, Clone)]
pub struct InterruptedShard {
    /// The index of the shard.
    pub shard: usize,
    /// The address of the server.
    pub server: Arc<str>,
}

/// What was appended of a page.
struct Appended {
    /// The index of the first feature that was not used.
    end: usize,
    new_features: usize,
}

/// A response under construction.
#[derive(Debug)]
pub struct ConcatMerge {
    limits: PagingLimits,
    start: ResumePosition,
    position: ResumePosition,
    shards: Vec<ShardState>,
    /// The features of the response, in order.
    slices: Vec<PageSlice>,
    count: usize,
    fetched_bytes: usize,
    fetched_pages: usize,
    lookahead: usize,
    hasher: RandomState,
    /// The identifiers of the current shard's features.
    seen_ids: HashSet<u64>,
    /// `None`: an earlier response started the current shard.
    shard_checkpoint: Option<ShardCheckpoint>,
    restarts: usize,
    interrupted: Option<InterruptedShard>,
    followed_links: HashSet<u64>,
    duplicates: usize,
}

impl ConcatMerge {
    /// Starts a response at `start`, over a number of shards.
    #[must_use]
    pub fn new(limits: PagingLimits, start: ResumePosition, shards: usize) -> Self {
        let at_shard_start = start.location == PageLocation::ShardStart && start.skip == 0;
        ConcatMerge {
            limits,
            position: start.clone(),
            shards: (0..shards).map(|_| ShardState::default()).collect(),
            slices: Vec::new(),
            count: 0,
            fetched_bytes: 0,
            fetched_pages: 0,
            lookahead: INITIAL_LOOKAHEAD,
            hasher: RandomState::new(),
            seen_ids: HashSet::new(),
            shard_checkpoint: at_shard_start.then_some(ShardCheckpoint {
                slices: 0,
                count: 0,
            }),
            restarts: 0,
            interrupted: None,
            followed_links: HashSet::new(),
            duplicates: 0,
            start,
        }
    }

    /// Takes in the pages of a round, then uses all that have arrived in order. `feature_id` gives the hash of a feature's
    /// identifier, 0 if it has none.
    pub fn accept(
        &mut self,
        fetched_pages: Vec<FetchedPage>,
        feature_id: impl Fn(&[u8]) -> u64,
    ) -> ConcatProgress {
        self.fetched_pages += fetched_pages.len();
        self.lookahead = (self.lookahead * 2).min(MAX_LOOKAHEAD);
        for fetched in fetched_pages {
            self.fetched_bytes += fetched.page.as_ref().map_or(0, |page| page.body.len());
            self.shards[fetched.shard].receive(fetched);
        }
        loop {
            if let Some(progress) = self.use_next_page(&feature_id) {
                return progress;
            }
        }
    }

    /// Uses the page at the current position, or passes over a missing shard. `None`: there is more to use.
    fn use_next_page(&mut self, feature_id: &impl Fn(&[u8]) -> u64) -> Option<ConcatProgress> {
        if self.is_exhausted() {
            return Some(ConcatProgress::Complete);
        }
        let shard = self.position.shard;
        if self.shards[shard].missing {
            return self.pass_missing_shard();
        }
        let Some(requested) = self.shards[shard].unused_page.take() else {
            return Some(self.progress_without_page());
        };
        if let Some(progress) = self.discard_small_first_page(&requested) {
            return Some(progress);
        }
        self.use_page(&requested.page, feature_id)
    }

    fn pass_missing_shard(&mut self) -> Option<ConcatProgress> {
        if self.restart_shard() {
            return Some(ConcatProgress::NeedsPages);
        }
        if self.limits.min_shard_share >= 1.0 {
            // The features before the missing shard are a valid response, whose next link leads to that shard.
            let empty = self.count == 0;
            return Some(if empty {
                ConcatProgress::Failed
            } else {
                ConcatProgress::Complete
            });
        }
        self.advance_shard();
        None
    }

    /// A shard that was fetched ahead with pages too small for what is needed is started again with larger ones, by this
    /// response or by the next. Parts that are not idempotent are not: they continue in the pages that they have.
    fn discard_small_first_page(&self, requested: &RequestedPage) -> Option<ConcatProgress> {
        let started = self.position.location != PageLocation::ShardStart
            || self.position.shard == self.start.shard;
        let last_page = requested.page.next_target.is_none();
        if started || last_page || self.limits.filtered_locally || !self.limits.idempotent {
            return None;
        }
        let remaining = self.remaining();
        let size = requested.page_size;
        let filled = self.count as f64 >= SUFFICIENT_FILL_SHARE * self.limits.limit as f64;
        let small = size < self.limits.initial_page_size(self.limits.limit);
        if remaining == 0 || (small && filled) {
            return Some(ConcatProgress::Complete);
        }
        let too_small =
            (size as f64) < MIN_USEFUL_PAGE_SHARE * self.limits.initial_page_size(remaining) as f64;
        too_small.then(|| self.progress_without_page())
    }

    fn use_page(
        &mut self,
        page: &Arc<FeaturePage>,
        feature_id: &impl Fn(&[u8]) -> u64,
    ) -> Option<ConcatProgress> {
        let shard = self.position.shard;
        // A page that is fetched again may be shorter than it was: the next one has the rest of what was returned.
        let skip = self.position.skip.min(page.features.len());
        self.position.skip -= skip;
        let appended = self.append(page, skip, feature_id);
        self.shards[shard].used_features += appended.new_features as u64;
        if appended.end > skip && appended.new_features == 0 && page.next_target.is_some() {
            // Pages without a new feature may go on for ever.
            self.shards[shard].missing = true;
            return None;
        }
        if appended.end < page.features.len() {
            // The server returned more than was requested, or the page is filtered here: the rest is fetched again.
            self.position.skip = appended.end;
            return Some(ConcatProgress::Complete);
        }
        if !self.move_past(page) {
            return None;
        }
        self.is_filled().then_some(ConcatProgress::Complete)
    }

    /// Moves to the page after this one, or to the next shard. `false`: the link was followed before, and the shard counts
    /// as missing from here on.
    fn move_past(&mut self, page: &FeaturePage) -> bool {
        let Some(next) = page.next_location() else {
            self.advance_shard();
            return true;
        };
        let shard = self.position.shard;
        let link = self
            .hasher
            .hash_one((shard, &page.server, &page.next_target));
        if !self.followed_links.insert(link) {
            self.shards[shard].missing = true;
            return false;
        }
        self.position.location = next;
        true
    }

    /// The response is full, or could not use up the next page.
    fn is_filled(&self) -> bool {
        if self.remaining() == 0 && !self.is_exhausted() {
            return true;
        }
        let PageLocation::NextLink { page_size, .. } = &self.position.location else {
            return false;
        };
        *page_size > self.remaining() && !self.limits.filtered_locally && self.count > 0
    }

    /// Appends the features of a page from `start` on, until the limit; features that were seen before are left out.
    fn append(
        &mut self,
        page: &Arc<FeaturePage>,
        start: usize,
        feature_id: &impl Fn(&[u8]) -> u64,
    ) -> Appended {
        let count_before = self.count;
        let mut slice_start = start;
        let mut end = start;
        while end < page.features.len() {
            let id = feature_id(&page.body[page.features[end].clone()]);
            let duplicate = id != 0 && self.seen_ids.contains(&id);
            if !duplicate && self.remaining() == 0 {
                break;
            }
            if duplicate {
                self.duplicates += 1;
                self.append_slice(page, slice_start, end);
                slice_start = end + 1;
            } else {
                self.seen_ids.insert(id);
                self.count += 1;
            }
            end += 1;
        }
        self.append_slice(page, slice_start, end);
        check_invariant(
            self.count <= self.limits.limit,
            "an answer beyond its limit",
        );
        Appended {
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

    /// Starts the current shard again at another server, after the server that knows how its pages continue failed. Another
    /// server may have the features in another order, so this is possible once, and only if no earlier response returned
    /// any feature of the shard. `false`: it is not possible.
    fn restart_shard(&mut self) -> bool {
        let may_restart = self.limits.idempotent && self.restarts == 0;
        let Some(checkpoint) = self.shard_checkpoint.filter(|_| may_restart) else {
            return false;
        };
        let PageLocation::NextLink { server, .. } = &self.position.location else {
            return false;
        };
        let shard = self.position.shard;
        self.interrupted = Some(InterruptedShard {
            shard,
            server: server.clone(),
        });
        self.restarts += 1;
        self.slices.truncate(checkpoint.slices);
        self.count = checkpoint.count;
        self.seen_ids.clear();
        self.followed_links.clear();
        self.shards[shard] = ShardState::default();
        self.position = ResumePosition::shard_start(shard);
        true
    }

    fn advance_shard(&mut self) {
        self.position = ResumePosition::shard_start(self.position.shard + 1);
        self.shard_checkpoint = Some(ShardCheckpoint {
            slices: self.slices.len(),
            count: self.count,
        });
        self.seen_ids.clear();
    }

    /// The progress when the page at the current position has not arrived.
    fn progress_without_page(&self) -> ConcatProgress {
        let bounds_reached = self.fetched_pages >= self.limits.max_pages
            || self.fetched_bytes >= self.limits.max_bytes;
        if self.remaining() == 0 {
            return ConcatProgress::Complete;
        }
        match bounds_reached {
            false => ConcatProgress::NeedsPages,
            true if self.count > 0 || self.limits.filtered_locally => ConcatProgress::Complete,
            true => ConcatProgress::Failed,
        }
    }

    fn is_exhausted(&self) -> bool {
        self.position.shard >= self.shards.len()
    }

    fn remaining(&self) -> usize {
        self.limits.limit - self.count
    }

    /// The features of the response, in order.
    #[must_use]
    pub fn slices(&self) -> &[PageSlice] {
        &self.slices
    }

    /// The number of features in the response.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    /// The number of features that servers returned more than once.
    #[must_use]
    pub fn duplicates(&self) -> usize {
        self.duplicates
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
        let all = self.shards.len() as f64;
        let passed = self
            .missing_shards()
            .iter()
            .filter(|shard| **shard < self.position.shard)
            .count() as f64;
        (all - passed) / all.max(1.0) + SHARE_TOLERANCE >= self.limits.min_shard_share
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
            || self.duplicates > 0
        {
            return None;
        }
        let states = self.shards.iter().enumerate();
        states
            .map(|(shard, state)| state.total(shard < self.position.shard))
            .sum()
    }
}

#[cfg(test)]
mod tests;
