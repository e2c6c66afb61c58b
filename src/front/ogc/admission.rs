//! The admission of queries by their estimated cost. The estimate and the admission controller are in
//! [`crate::limits`].

use super::client_request::{ClientContext, ItemsRequest};
use super::cql2::Filter;
use super::error::ApiError;
use super::reservations::{MemoryReservation, PageReservation};
use super::state::FrontState;
use crate::coordinator::COUNTERS;
use crate::limits::{QueryCost, QueryShape};
use crate::time::Micros;
use std::sync::Arc;

/// The reservations of an admitted query.
pub(super) struct AdmittedQuery {
    _pages: PageReservation,
    /// The reservation of the response's memory, which the response holds until it is written.
    pub memory: Arc<MemoryReservation>,
}

impl AdmittedQuery {
    fn new(state: &Arc<FrontState>, cost: QueryCost, bytes: f64) -> Self {
        AdmittedQuery {
            _pages: PageReservation::new(state, cost),
            memory: Arc::new(MemoryReservation::new(state, bytes)),
        }
    }

    /// Admits a query of `shards` shards and reserves its cost. If admission control is disabled,
    /// reserves nothing.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::Overloaded`], with the time after which to retry, if the servers lack
    /// the throughput or the coordinator lacks the memory for the query.
    pub fn admit(
        state: &Arc<FrontState>,
        client: &ClientContext,
        request: &ItemsRequest,
        shards: usize,
    ) -> Result<Self, ApiError> {
        let edge = &state.edge;
        if !edge.limits.admission {
            return Ok(Self::new(
                state,
                QueryCost {
                    pages: 0.0,
                    buffered_pages: 0.0,
                },
                0.0,
            ));
        }
        let cost = cost(state, request, shards);
        let objective = Micros::from_millis(edge.classes[client.class].latency_objective_ms)
            .min(client.timeout);
        let admitted =
            state
                .admission()
                .admit(cost, objective, state.server_capacity.total_throughput());
        let bytes = admitted.map_err(|rejection| {
            COUNTERS.rejected_over_cost.increment();
            ApiError::Overloaded {
                retry_after: Some(rejection.retry_after),
            }
        })?;
        Ok(Self::new(state, cost, bytes))
    }
}

/// Returns the estimated cost of a query.
fn cost(state: &FrontState, request: &ItemsRequest, shards: usize) -> QueryCost {
    let edge = &state.edge;
    let params = &request.params;
    QueryCost::estimate(&QueryShape {
        limit: params.limit,
        page_size: edge.page_size,
        shards,
        parallel_shards: edge.max_initial_shards,
        filter_cost: params.filter.as_ref().map_or(0, Filter::evaluation_cost),
        max_sorted_pages: (!params.sortby.is_empty()).then_some(edge.max_pages),
    })
}
