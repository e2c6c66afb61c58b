//! The merge of the pages of a query's shards into responses, without input and output.
//!
//! A response is built in rounds. A merge returns the pages to fetch next ([`PageFetch`]), accepts
//! the result of each ([`FetchedPage`]), and returns whether it needs another round
//! ([`MergeProgress`]). Without a sort order, [`ConcatMerge`] appends the shards one after the
//! other; with one, [`SortedMerge`] selects the first features over all shards.

mod concat_merge;
mod page;
mod progress;
mod sort_key;
mod sorted_merge;

pub use concat_merge::{ConcatMerge, InterruptedShard, PagingLimits};
pub use page::{FeaturePage, FetchedPage, PageFetch, PageLocation, PageSlice, ResumePosition};
pub use progress::MergeProgress;
pub(super) use sort_key::BoundSortKeys;
pub use sort_key::SortKey;
pub use sorted_merge::{SortedMerge, SortedQuery};
