//! The reservations of pages and memory that queries hold, which are released when they are dropped.

use super::error::ApiError;
use super::state::FrontState;
use crate::coordinator::COUNTERS;
use crate::limits::{json_memory, QueryCost, RequestRejection};
use std::sync::Arc;

/// The reservation of the pages that an admitted query has in flight. It is released when the query
/// ends or is dropped.
pub(super) struct PageReservation {
    state: Arc<FrontState>,
    cost: QueryCost,
}

impl PageReservation {
    /// Records the reservation of an admitted query.
    pub fn new(state: &Arc<FrontState>, cost: QueryCost) -> Self {
        PageReservation {
            state: state.clone(),
            cost,
        }
    }
}

impl Drop for PageReservation {
    fn drop(&mut self) {
        self.state.admission().release_pages(self.cost);
    }
}

/// The reservation of the memory for a response. It is released once the response is written.
pub(super) struct MemoryReservation {
    state: Arc<FrontState>,
    bytes: f64,
}

impl MemoryReservation {
    /// Records the reservation of an admitted query.
    pub fn new(state: &Arc<FrontState>, bytes: f64) -> Self {
        MemoryReservation {
            state: state.clone(),
            bytes,
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.state.admission().release_bytes(self.bytes);
    }
}

/// The reservation of the memory for a parsed request. It is released when the query ends or is
/// dropped.
pub(super) struct RequestReservation {
    state: Arc<FrontState>,
    bytes: f64,
}

impl RequestReservation {
    /// Reserves the memory for a request with this body in JSON, before it is parsed.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::Overloaded`] if the coordinator lacks the memory now, and
    /// [`ApiError::BodyTooComplex`] if it would lack it without any other query.
    pub fn for_json(state: &Arc<FrontState>, body: &[u8]) -> Result<Self, ApiError> {
        let bytes = json_memory(body) as f64;
        let reserved = state.admission().reserve_request(bytes);
        reserved.map_err(|rejection| match rejection {
            RequestRejection::TooLarge => ApiError::BodyTooComplex,
            RequestRejection::NoMemory => {
                COUNTERS.rejected_over_cost.increment();
                ApiError::Overloaded { retry_after: None }
            }
        })?;
        Ok(RequestReservation {
            state: state.clone(),
            bytes,
        })
    }
}

impl Drop for RequestReservation {
    fn drop(&mut self) {
        self.state.admission().release_request(self.bytes);
    }
}
