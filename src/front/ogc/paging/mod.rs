//! Which pages of which shards make up a response: decisions free of input and output.
//!
//! A response is built in rounds. A merge names the pages to fetch next ([`PageFetch`]), takes in what came of them, and says
//! whether it needs another round. Without a sort order, [`ConcatMerge`] appends the shards one after the other; with one,
//! [`SortedMerge`] selects the first features over all shards.

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
