//! Merges the pages of a query's shards into responses. This module sends no requests itself.
//!
//! A response is built in rounds. In each round, a merge returns the pages to fetch
//! ([`PageFetch`]), accepts the result of each fetch ([`FetchedPage`]), and returns whether it
//! needs another round ([`MergeProgress`]). Without a sort order, [`ConcatMerge`] appends the
//! features of one shard after the other; with a sort order, [`SortedMerge`] selects the first
//! features of all shards.

mod column_kind;
mod concat_merge;
mod page;
mod progress;
mod shard_order;
mod sort_key;
mod sorted_merge;
mod value_order;

pub use column_kind::ColumnKind;
pub use concat_merge::{ConcatMerge, InterruptedShard, PagingLimits};
pub use page::{FeaturePage, FetchedPage, PageFetch, PageLocation, PageSlice, ResumePosition};
pub use progress::MergeProgress;
pub use shard_order::AgreedColumns;
pub(super) use sort_key::BoundSortKeys;
pub use sort_key::{SortKey, SortPosition};
pub use sorted_merge::{SortedMerge, SortedQuery};
