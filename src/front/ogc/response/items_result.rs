//! The result of a query for features, ready to be rendered.

use crate::front::ogc::admission::MemoryReservation;
use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::paging::PageSlice;
use std::sync::Arc;

/// The result of a query for features.
pub(in crate::front::ogc) struct ItemsResult<'a> {
    pub request: &'a ItemsRequest,
    /// Reserved until the response is written.
    pub memory: Arc<MemoryReservation>,
    /// The features, in order.
    pub slices: Vec<PageSlice>,
    pub number_returned: usize,
    /// No shard is missing.
    pub complete: bool,
    /// The names of the missing shards.
    pub missing_shards: Vec<&'a str>,
    /// The number of features that match in all, if it is known.
    pub number_matched: Option<u64>,
    /// The token of the cursor of the next response; `None` in the last.
    pub next_cursor: Option<String>,
}
