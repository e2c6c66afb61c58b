//! The result of a query for features, from which the response is rendered.

use crate::front::ogc::client_request::ItemsRequest;
use crate::front::ogc::paging::PageSlice;
use crate::front::ogc::reservations::MemoryReservation;
use std::sync::Arc;

/// The result of a query for features.
pub(in crate::front::ogc) struct ItemsResult<'a> {
    /// The request of the client.
    pub request: &'a ItemsRequest,
    /// The memory that is reserved until the response is written.
    pub memory: Arc<MemoryReservation>,
    /// The features, in the order of the response.
    pub slices: Vec<PageSlice>,
    /// Number of features in the response.
    pub number_returned: usize,
    /// Whether no shard is missing.
    pub complete: bool,
    /// Names of the missing shards.
    pub missing_shards: Vec<&'a str>,
    /// Number of all features that match the query, if it is known.
    pub number_matched: Option<u64>,
    /// Cursor of the next response; `None` if this is the last one.
    pub next_cursor: Option<String>,
}
