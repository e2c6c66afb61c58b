//! The merge of a query's pages, with or without a sort order.

use crate::front::ogc::config::{ClassConfig, EdgeConfig};
use crate::front::ogc::paging::{
    ConcatMerge, FetchedPage, MergeProgress, PageFetch, PageSlice, PagingLimits, ResumePosition,
    SortPosition, SortedMerge, SortedQuery,
};
use crate::front::ogc::params::Params;
use crate::front::ogc::shard_plan::ShardPlan;
use crate::front::ogc::stable_hash::feature_id_hash;
use std::sync::Arc;

/// The merge of a query's pages.
pub(super) enum Merge {
    /// A merge without a sort order.
    Concat(Box<ConcatMerge>),
    /// A merge with a sort order.
    Sorted(Box<SortedMerge>),
}

/// The result of a merge.
pub(super) struct MergedItems {
    /// The features of the response, in order.
    pub slices: Vec<PageSlice>,
    /// The number of features in the response.
    pub number_returned: usize,
    /// Whether the response has the features of all shards that it covers.
    pub complete: bool,
    /// The indexes of the missing shards that the response covers.
    pub missing_shards: Vec<usize>,
    /// The number of matching features in all shards, if it is known.
    pub number_matched: Option<u64>,
}

/// The point in the features of a query at which a response starts.
pub(super) enum ResponseStart {
    /// A position in a shard, for a response without a sort order.
    Position(ResumePosition),
    /// The position of the last feature in the previous response, for a sorted response.
    After(SortPosition),
}

impl ResponseStart {
    /// Returns the position in a shard. For a sorted response, this is the start of the first
    /// shard.
    pub fn position(&self) -> ResumePosition {
        match self {
            ResponseStart::Position(position) => position.clone(),
            ResponseStart::After(_) => ResumePosition::START,
        }
    }

    /// Returns the position of the last feature in the previous response if the response is sorted
    /// and not the first one.
    pub fn after(&self) -> Option<&SortPosition> {
        match self {
            ResponseStart::Position(_) => None,
            ResponseStart::After(position) => Some(position),
        }
    }
}

impl Merge {
    /// Creates the merge for a response to a query.
    pub fn new(
        edge: &EdgeConfig,
        class: &ClassConfig,
        params: &Params,
        plans: &[ShardPlan],
        start: &ResponseStart,
    ) -> Self {
        let idempotent = class.is_idempotent();
        if params.sortby.is_empty() {
            let limits = PagingLimits {
                limit: params.limit,
                page_size: edge.page_size,
                max_initial_shards: edge.max_initial_shards,
                max_pages: edge.max_pages,
                max_bytes: edge.max_bytes,
                filtered_locally: plans.iter().any(|plan| plan.predicate.is_some()),
                min_shard_share: class.min_share,
                idempotent,
            };
            let start = start.position();
            return Merge::Concat(Box::new(ConcatMerge::new(limits, start, plans.len())));
        }
        let query = SortedQuery {
            keys: params.sortby.clone(),
            limit: params.limit,
            page_size: edge.page_size,
            max_pages: edge.max_pages,
            min_shard_share: class.min_share,
            idempotent,
            after: start.after().cloned(),
        };
        let agreed_columns = plans.iter().map(|plan| plan.agreed_columns.clone());
        Merge::Sorted(Box::new(SortedMerge::new(query, agreed_columns.collect())))
    }

    /// Returns the pages to fetch next.
    pub fn next_fetches(&self) -> Vec<PageFetch> {
        match self {
            Merge::Concat(merge) => merge.next_fetches(),
            Merge::Sorted(merge) => merge.next_fetches(),
        }
    }

    /// Merges the pages of a round and returns the progress.
    pub fn accept(&mut self, fetched: Vec<FetchedPage>) -> MergeProgress {
        match self {
            Merge::Concat(merge) => match merge.accept(fetched, feature_id_hash) {
                MergeProgress::Finished if !merge.has_enough_shards() => MergeProgress::Failed,
                progress => progress,
            },
            Merge::Sorted(merge) => merge.accept(fetched),
        }
    }

    /// Returns the address of the server that failed if this shard was interrupted.
    pub fn interrupted_server(&self, shard: usize) -> Option<&str> {
        let Merge::Concat(merge) = self else {
            return None;
        };
        merge
            .interrupted_shard()
            .filter(|interrupted| interrupted.shard == shard)
            .map(|interrupted| &*interrupted.server)
    }

    /// Returns whether the query may end after an error with the features so far, so that the next
    /// response continues after them. A sorted query may not, because the pages that are not
    /// fetched may have features that come between them.
    pub fn can_end_early(&self) -> bool {
        match self {
            Merge::Concat(merge) => merge.count() > 0 && merge.has_enough_shards(),
            Merge::Sorted(_) => false,
        }
    }

    /// Returns the features so far and the state of the shards.
    pub fn result(&self) -> MergedItems {
        match self {
            Merge::Concat(merge) => concat_result(merge),
            Merge::Sorted(merge) => sorted_result(merge),
        }
    }

    /// Returns the start of the next response; `None` if this is the last response.
    pub fn next_start(&self) -> Option<ResponseStart> {
        match self {
            Merge::Concat(merge) => merge
                .resume_position()
                .cloned()
                .map(ResponseStart::Position),
            Merge::Sorted(merge) => merge.resume_after().map(ResponseStart::After),
        }
    }
}

fn concat_result(merge: &ConcatMerge) -> MergedItems {
    // Shards that the next response starts with, or reaches later, are not missing from this one.
    let end = merge
        .resume_position()
        .map_or(usize::MAX, |position| position.shard);
    MergedItems {
        slices: merge.slices().to_vec(),
        number_returned: merge.count(),
        complete: merge.is_complete(),
        missing_shards: merge
            .missing_shards()
            .into_iter()
            .filter(|shard| *shard < end)
            .collect(),
        number_matched: merge.number_matched(),
    }
}

fn sorted_result(merge: &SortedMerge) -> MergedItems {
    let page = Arc::new(merge.to_page());
    let count = page.features.len();
    let missing_shards = merge.missing_shards();
    MergedItems {
        slices: vec![PageSlice {
            page,
            features: 0..count,
        }],
        number_returned: count,
        complete: missing_shards.is_empty(),
        missing_shards,
        number_matched: None,
    }
}
