//! The state of a shard while a response is built.

use super::super::page::{FeaturePage, FetchedPage};
use std::sync::Arc;

/// A page that has arrived, and the number of features that were requested.
#[derive(Debug)]
pub(super) struct RequestedPage {
    /// The page.
    pub page: Arc<FeaturePage>,
    /// The number of features requested.
    pub page_size: usize,
}

/// The reason why a shard is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MissingReason {
    /// No server returned a page.
    PageNotFetched,
    /// A `next` link was followed before, or led to a page without new features, so the pages might
    /// never end.
    LinksDoNotEnd,
}

/// The state of a shard while a response is built.
#[derive(Debug, Default)]
pub(super) struct ShardState {
    /// The page that has arrived and has not been used yet.
    pub unused_page: Option<RequestedPage>,
    /// The number of matching features that the server reported last.
    pub number_matched: Option<u64>,
    /// Whether the server reported different numbers of matching features.
    pub inconsistent_count: bool,
    /// The reason why the shard is missing; `None` if it is not.
    pub missing_reason: Option<MissingReason>,
    /// The number of the shard's features that the response uses.
    pub used_features: u64,
}

impl ShardState {
    /// Records a page, or that no server returned it.
    pub fn receive(&mut self, fetched: FetchedPage) {
        let Some(page) = fetched.page else {
            self.missing_reason = Some(MissingReason::PageNotFetched);
            return;
        };
        let reported = page.number_matched;
        self.inconsistent_count |=
            self.number_matched.is_some() && reported.is_some() && self.number_matched != reported;
        self.number_matched = reported.or(self.number_matched);
        self.unused_page = Some(RequestedPage {
            page,
            page_size: fetched.page_size,
        });
    }

    /// Returns whether the shard is missing: some of its features could not be fetched.
    pub fn is_missing(&self) -> bool {
        self.missing_reason.is_some()
    }

    /// Returns the number of matching features in the shard, if it is known. `passed` is whether
    /// the response has used all pages of the shard.
    pub fn total_matched(&self, passed: bool) -> Option<u64> {
        if self.inconsistent_count || self.is_missing() {
            return None;
        }
        self.number_matched.or(passed.then_some(self.used_features))
    }
}
