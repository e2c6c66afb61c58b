//! The response to a query without a sort order: the features of the shards, one shard after the
//! other.
//!
//! A response starts at a [`ResumePosition`] and has at most as many features as its limit. It is
//! built in rounds: [`ConcatMerge::next_fetches`] returns the pages to fetch, and
//! [`ConcatMerge::accept`] uses the pages that arrived.
//!
//! A response normally uses whole pages. Each page is then fetched only once for a client that
//! follows the `next` links to the end. For this reason, page sizes are chosen so that the limit
//! falls on a page boundary, and a response ends before its limit, with a `next` link, if it could
//! use only a part of the next page.

mod current_shard;
mod features;
mod fetch_planning;
mod limits;
mod result;
mod shard_state;
mod usage;

use super::page::{FeaturePage, FetchedPage, PageLocation, ResumePosition};
use super::progress::MergeProgress;
use crate::coordinator::check_invariant;
use current_shard::CurrentShard;
use features::ResponseFeatures;
pub use limits::PagingLimits;
use shard_state::{MissingReason, RequestedPage, ShardState};
use std::sync::Arc;
use usage::FetchUsage;

/// The share of its limit that a response must have reached to end before a shard whose first page
/// is small. If the response used that page, all later pages of the shard would be as small,
/// because servers repeat the page size in their links. The number of requests stays below
/// 1 / (1 - this share) times the number of pages.
const SUFFICIENT_FILL_SHARE: f64 = 0.15;
/// The minimum size of a shard's first page, as a share of the size that is suitable for the
/// response. Of a smaller page only the number of matching features is used, and the shard is
/// restarted with larger pages.
const MIN_USEFUL_PAGE_SHARE: f64 = 0.25;

/// A shard that was restarted because its next page could not be fetched.
#[derive(Debug, Clone)]
pub struct InterruptedShard {
    /// The index of the shard.
    pub shard: usize,
    /// The address of the server that returned the link to that page.
    pub server: Arc<str>,
}

/// A response under construction, without a sort order.
#[derive(Debug)]
pub struct ConcatMerge {
    limits: PagingLimits,
    /// The position at which the response starts.
    start: ResumePosition,
    /// The position of the next feature to use.
    position: ResumePosition,
    /// The state of each shard, by its index.
    shards: Vec<ShardState>,
    features: ResponseFeatures,
    current_shard: CurrentShard,
    usage: FetchUsage,
    /// The number of shards with an unknown number of features to fetch ahead of the current one.
    lookahead: usize,
    /// The shard that was restarted. A response restarts at most one shard.
    interrupted: Option<InterruptedShard>,
}

impl ConcatMerge {
    /// Creates an empty response that starts at `start`, for a query of `shards` shards.
    #[must_use]
    pub fn new(limits: PagingLimits, start: ResumePosition, shards: usize) -> Self {
        let at_shard_start = start.location == PageLocation::ShardStart && start.skip == 0;
        ConcatMerge {
            limits,
            position: start.clone(),
            shards: (0..shards).map(|_| ShardState::default()).collect(),
            features: ResponseFeatures::default(),
            current_shard: CurrentShard::new(!at_shard_start),
            usage: FetchUsage::default(),
            lookahead: fetch_planning::INITIAL_LOOKAHEAD,
            interrupted: None,
            start,
        }
    }

    /// Records the pages of a round, then uses the arrived pages in the order of the response, up
    /// to the first page that has not arrived. `feature_id` returns the hash of a feature's
    /// identifier, or 0 if the feature has none. Never returns [`MergeProgress::TooManyPages`].
    pub fn accept(
        &mut self,
        fetched_pages: Vec<FetchedPage>,
        feature_id: impl Fn(&[u8]) -> u64,
    ) -> MergeProgress {
        self.usage.record(&fetched_pages);
        self.widen_lookahead();
        for fetched in fetched_pages {
            self.shards[fetched.shard].receive(fetched);
        }
        loop {
            if let Some(progress) = self.use_next_page(&feature_id) {
                return progress;
            }
        }
    }

    /// Uses the page at the current position, or handles a missing shard there. Returns `None` if
    /// there may be another page to use.
    fn use_next_page(&mut self, feature_id: &impl Fn(&[u8]) -> u64) -> Option<MergeProgress> {
        if self.has_passed_all_shards() {
            return Some(MergeProgress::Finished);
        }
        let shard = self.position.shard;
        if self.shards[shard].is_missing() {
            return self.pass_missing_shard();
        }
        let Some(requested) = self.shards[shard].unused_page.take() else {
            return Some(self.progress_without_page());
        };
        if let Some(progress) = self.discard_small_first_page(&requested) {
            return Some(progress);
        }
        self.use_page(&requested, feature_id)
    }

    /// Restarts the missing shard at the current position, moves past it, or ends the response.
    /// Returns `None` if there may be another page to use.
    fn pass_missing_shard(&mut self) -> Option<MergeProgress> {
        if self.restart_shard() {
            return Some(MergeProgress::NeedsPages);
        }
        if self.ends_at_missing_shard() {
            // The features so far are a valid response, whose `next` link leads to the missing
            // page.
            let empty = self.features.count() == 0;
            return Some(if empty {
                MergeProgress::Failed
            } else {
                MergeProgress::Finished
            });
        }
        // A response has none of the features of a shard that it reports as missing.
        self.features.truncate(self.current_shard.checkpoint());
        self.advance_shard();
        None
    }

    /// Returns whether the response ends at the missing shard at the current position instead of
    /// moving past it. This is the case if no shard may be missing. It is also the case if an
    /// earlier response started the shard, this one has features of it, and a page could not be
    /// fetched: the next response can then continue with that page.
    fn ends_at_missing_shard(&self) -> bool {
        if self.limits.min_shard_share >= 1.0 {
            return true;
        }
        let missing_reason = self.shards[self.position.shard].missing_reason;
        let has_features = self
            .features
            .has_grown_since(self.current_shard.checkpoint());
        missing_reason == Some(MissingReason::PageNotFetched)
            && self.current_shard.is_resumed()
            && has_features
    }

    /// Discards the first page of a shard that was fetched ahead if the page is too small for the
    /// number of features that are still needed. Either this response or the next one restarts the
    /// shard with larger pages. Returns the progress if the page was discarded, otherwise `None`.
    /// A page is not discarded if the front filters pages, or if the parts of the query are not
    /// idempotent, so that the page must not be requested twice.
    fn discard_small_first_page(&self, requested: &RequestedPage) -> Option<MergeProgress> {
        let started = self.position.location != PageLocation::ShardStart
            || self.position.shard == self.start.shard;
        let last_page = requested.page.next_target.is_none();
        if started || last_page || self.limits.filtered_locally || !self.limits.idempotent {
            return None;
        }
        let remaining = self.remaining();
        let size = requested.page_size;
        let filled =
            self.features.count() as f64 >= SUFFICIENT_FILL_SHARE * self.limits.limit as f64;
        let small = size < self.limits.initial_page_size(self.limits.limit);
        if remaining == 0 || (small && filled) {
            return Some(MergeProgress::Finished);
        }
        let too_small =
            (size as f64) < MIN_USEFUL_PAGE_SHARE * self.limits.initial_page_size(remaining) as f64;
        too_small.then(|| self.progress_without_page())
    }

    /// Appends the features of the page at the current position and moves past it. Returns `None`
    /// if there may be another page to use.
    fn use_page(
        &mut self,
        requested: &RequestedPage,
        feature_id: &impl Fn(&[u8]) -> u64,
    ) -> Option<MergeProgress> {
        let page = &requested.page;
        let shard = self.position.shard;
        // If a page is fetched again, it may have fewer features than before. The rest of the
        // features to skip are then at the start of the next page.
        let skip = self.position.skip.min(page.features.len());
        self.position.skip -= skip;
        let appended = self.features.append(
            page,
            skip,
            self.limits.limit,
            &mut self.current_shard.seen_ids,
            feature_id,
        );
        check_invariant(
            self.features.count() <= self.limits.limit,
            "a response has more features than its limit",
        );
        self.shards[shard].used_features += appended.new_features as u64;
        if appended.end > skip && appended.new_features == 0 && page.next_target.is_some() {
            // A server whose pages have no new features might return such pages without end.
            self.shards[shard].missing_reason = Some(MissingReason::LinksDoNotEnd);
            return None;
        }
        if appended.end < page.features.len() {
            // The server returned more features than requested, or the front filters the page and
            // therefore requested more than the response needs. The next response fetches the page
            // again and skips the features that are used now.
            self.position.skip = appended.end;
            self.stay_at_server(requested);
            return Some(MergeProgress::Finished);
        }
        if !self.move_past(page) {
            return None;
        }
        self.is_filled().then_some(MergeProgress::Finished)
    }

    /// Binds the position within the page of a shard to the server that returned the page.
    fn stay_at_server(&mut self, requested: &RequestedPage) {
        if self.position.location == PageLocation::ShardStart {
            self.position.location = PageLocation::FirstPage {
                server: requested.page.server.clone(),
                page_size: requested.page_size,
            };
        }
    }

    /// Moves to the page after this one, or to the next shard if this is the last page. If the link
    /// to the next page was followed before, marks the shard as missing and returns `false`.
    fn move_past(&mut self, page: &FeaturePage) -> bool {
        let Some(next) = page.next_location() else {
            self.advance_shard();
            return true;
        };
        let shard = self.position.shard;
        if !self.current_shard.follow_link(shard, page) {
            self.shards[shard].missing_reason = Some(MissingReason::LinksDoNotEnd);
            return false;
        }
        self.position.location = next;
        true
    }

    /// Returns whether the response is full, or could use only a part of the next page.
    fn is_filled(&self) -> bool {
        if self.remaining() == 0 && !self.has_passed_all_shards() {
            return true;
        }
        let PageLocation::NextLink { page_size, .. } = &self.position.location else {
            return false;
        };
        *page_size > self.remaining() && !self.limits.filtered_locally && self.features.count() > 0
    }

    /// Restarts the current shard at another server after the server that returned the link to the
    /// next page failed. A response restarts at most one shard, and only if no earlier response
    /// started that shard, because another server may return the features in another order. Returns
    /// whether the shard was restarted.
    fn restart_shard(&mut self) -> bool {
        let resumed = self.current_shard.is_resumed();
        if resumed || !self.limits.idempotent || self.interrupted.is_some() {
            return false;
        }
        let PageLocation::NextLink { server, .. } = &self.position.location else {
            return false;
        };
        let shard = self.position.shard;
        self.interrupted = Some(InterruptedShard {
            shard,
            server: server.clone(),
        });
        self.features.truncate(self.current_shard.checkpoint());
        self.current_shard.restart();
        self.shards[shard] = ShardState::default();
        self.position = ResumePosition::shard_start(shard);
        true
    }

    /// Moves to the start of the next shard.
    fn advance_shard(&mut self) {
        self.position = ResumePosition::shard_start(self.position.shard + 1);
        self.current_shard.advance(self.features.checkpoint());
    }

    /// Returns the progress if there is no usable page at the current position.
    fn progress_without_page(&self) -> MergeProgress {
        if self.remaining() == 0 {
            return MergeProgress::Finished;
        }
        match self.usage.has_reached(&self.limits) {
            false => MergeProgress::NeedsPages,
            true if self.features.count() > 0 || self.limits.filtered_locally => {
                MergeProgress::Finished
            }
            true => MergeProgress::Failed,
        }
    }

    /// Returns whether the position is after the last shard.
    fn has_passed_all_shards(&self) -> bool {
        self.position.shard >= self.shards.len()
    }

    /// Returns the number of features that the response may still append.
    fn remaining(&self) -> usize {
        self.limits.limit - self.features.count()
    }
}

#[cfg(test)]
mod tests;
