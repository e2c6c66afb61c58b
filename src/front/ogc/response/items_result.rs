//! Result of a query for features, which the renderers take.

use crate::front::ogc::admission::MemoryReservation;
use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::paging::PageSlice;
use std::sync::Arc;

/// Result of a query for features.
pub(in crate::front::ogc) struct ItemsResult<'a> {
    /// Request of the client.
    pub request: &'a ItemsRequest,
    /// Memory that is reserved until the response is written.
    pub memory: Arc<MemoryReservation>,
    /// Features, in the order of the response.
    pub slices: Vec<PageSlice>,
    /// Number of features in the response.
    pub number_returned: usize,
    /// Whether no shard is missing.
    pub complete: bool,
    /// Names of the missing shards.
    pub missing_shards: Vec<&'a str>,
    /// Number of all features that match, if it is known.
    pub number_matched: Option<u64>,
    /// Cursor token of the next response; `None` in the last.
    pub next_cursor: Option<String>,
}
