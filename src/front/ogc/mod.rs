//! The feature front: serves OGC API - Features, Parts 1, 2, 3 and 5, with CQL2 filters, sorting
//! and selection of properties.
//!
//! `handlers` routes each request to the handler of its resource. A query for features (`query`)
//! runs in rounds: each round requests pages of some shards in one request to the coordinator,
//! which has a part for each page. [`paging`] decides which pages are requested. The policy decides
//! which server a part is sent to, whether attempts are retried, and which requests are rejected.

mod admission;
pub mod capabilities;
mod capability_discovery;
mod catalog;
pub mod check;
mod client_request;
pub mod config;
pub mod cql2;
pub mod crs;
pub mod cursor;
mod delivery;
mod error;
mod filter_bounds;
mod handlers;
pub mod inventory;
pub mod page_request;
pub mod paging;
pub mod params;
mod query;
mod reservations;
mod response;
mod round;
mod shard_plan;
mod shards;
mod stable_hash;
mod state;

pub use catalog::Catalog;
pub use state::{FrontDependencies, SharedCatalog};

use super::{Front, Reaction};
use crate::coordinator::{Token, COUNTERS};
use crate::proto::http::{HttpError, HttpRequest, Response};
use crate::time::Micros;
use delivery::DeliveryOptions;
use error::ApiError;
use handlers::IncomingRequest;
use response::problem::{error_response, problem};
use state::FrontState;
use std::sync::Arc;

/// The maximum size of a request's body, in bytes. A polygon of ten thousand points needs half of
/// it.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The front for feature queries.
pub struct OgcFront {
    state: Arc<FrontState>,
}

impl OgcFront {
    /// Creates a front.
    #[must_use]
    pub fn new(dependencies: FrontDependencies) -> Self {
        OgcFront {
            state: Arc::new(FrontState::new(dependencies)),
        }
    }
}

impl Front for OgcFront {
    fn handle(&self, request: HttpRequest, token: Token, sent_at: Micros, ready: bool) -> Reaction {
        let delivery = DeliveryOptions::from_request(&request);
        let incoming = IncomingRequest {
            state: &self.state,
            http: &request,
            token,
            sent_at,
            ready,
        };
        let reaction = incoming.handle().unwrap_or_else(|error| reject(&error));
        delivery.apply_to(reaction)
    }

    fn malformed_response(&self, error: HttpError) -> Response {
        problem(
            error.status(),
            &format!("the request cannot be read: {error:?}"),
        )
    }

    fn max_body(&self) -> usize {
        MAX_BODY_BYTES
    }

    /// Returns the size of a coroutine's stack, in words. Filters are parsed on this stack, so it
    /// is large enough for the most deeply nested filter, even in debug builds.
    fn stack_words(&self) -> usize {
        0x20000
    }
}

/// Returns the response to a request that cannot be handled.
fn reject(error: &ApiError) -> Reaction {
    COUNTERS.bad_requests.increment();
    let mut response = error_response(error);
    match error {
        ApiError::OnlyPost => response.add_header("Allow", "POST"),
        ApiError::OnlyGetAndHead => response.add_header("Allow", "GET, HEAD"),
        _ => {}
    }
    Reaction::Respond(response)
}

#[cfg(test)]
mod tests;
