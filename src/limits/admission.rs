//! Admission of queries by their cost, against the throughput of the servers and the memory for
//! responses.
//!
//! The cost of a query is the number of pages that it will request, plus the coordinator's own work
//! on them. The expected wait of a new query is the number of all pages in flight and its own,
//! divided by the servers' throughput. A cheap query is admitted while that wait leaves enough of
//! its latency objective. An expensive one is admitted only while the wait leaves most of it, so
//! that expensive queries do not starve cheap ones.

use crate::time::Micros;

/// The maximum number of pages of a cheap query.
const MAX_CHEAP_PAGES: f64 = 3.0;
/// The share of its latency objective for which a cheap query may wait.
const CHEAP_WAIT_SHARE: f64 = 0.8;
/// The share of its latency objective for which an expensive query may wait.
const EXPENSIVE_WAIT_SHARE: f64 = 0.35;
/// The number of pages in flight below which the throughput does not limit cheap queries: too
/// little work is in flight to measure it.
const ALWAYS_ADMITTED_PAGES: f64 = 8.0;
/// The maximum number of pages in flight while the throughput is unknown.
const MAX_PAGES_AT_UNKNOWN_THROUGHPUT: f64 = 64.0;
/// The weight of a new page in the moving average of page sizes.
const PAGE_SIZE_SMOOTHING: f64 = 0.05;
/// The page size assumed before the first page, in bytes.
const INITIAL_PAGE_BYTES: f64 = 64.0 * 1024.0;
/// The share of the memory for responses that may be reserved after an expensive query is admitted.
const EXPENSIVE_MEMORY_SHARE: f64 = 0.7;
/// The minimum `Retry-After` of a rejected client.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(500);
/// The maximum `Retry-After` of a client that is rejected for lack of throughput.
const MAX_RETRY_AFTER: Micros = Micros::from_secs(30);
/// The cost of the lookup at each shard but the first that is queried at the same time, in pages.
const LOOKUP_PAGES: f64 = 0.25;
/// The cost at which a filter that the coordinator evaluates doubles the cost of the pages.
const DOUBLING_FILTER_COST: f64 = 50.0;

/// The cost of a query.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryCost {
    /// The number of pages to request, plus the coordinator's own work on them, in pages.
    pub pages: f64,
    /// The number of pages whose bytes the response holds in memory.
    pub buffered_pages: f64,
}

/// The properties of a query from which its cost is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueryShape {
    /// The maximum number of features in the response.
    pub limit: usize,
    /// The number of features in a page.
    pub page_size: usize,
    /// The number of shards with features of the query.
    pub shards: usize,
    /// The number of shards that are queried at the same time in the first round.
    pub parallel_shards: usize,
    /// The cost of evaluating the filter if the coordinator evaluates it, else 0.
    pub filter_cost: usize,
    /// The maximum number of pages to read if the coordinator sorts the features, which needs all
    /// pages; `None` for other queries.
    pub max_sorted_pages: Option<usize>,
}

impl QueryCost {
    /// Estimates the cost of a query.
    #[must_use]
    pub fn estimate(query: &QueryShape) -> Self {
        let buffered_pages = query.limit.div_ceil(query.page_size.max(1)) as f64;
        let pages = match query.max_sorted_pages {
            // The number of pages is unknown. The estimate is the geometric mean of one page and
            // the maximum, but at least the buffered pages of each shard.
            Some(max_pages) => {
                (query.shards as f64 * buffered_pages).max((max_pages as f64).sqrt())
            }
            None => buffered_pages + query.lookup_pages(),
        };
        let filter_factor = 1.0 + query.filter_cost as f64 / DOUBLING_FILTER_COST;
        QueryCost {
            pages: pages * filter_factor,
            buffered_pages,
        }
    }

    /// Returns whether the query counts as cheap.
    fn is_cheap(self) -> bool {
        self.pages <= MAX_CHEAP_PAGES
    }
}

impl QueryShape {
    /// Returns the cost of the lookups at all shards but the first, in pages; 0 if the shards are
    /// queried one after the other.
    fn lookup_pages(&self) -> f64 {
        if self.shards <= self.parallel_shards {
            self.shards.saturating_sub(1) as f64 * LOOKUP_PAGES
        } else {
            0.0
        }
    }
}

/// The reason why a query is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionReason {
    /// The memory for responses does not suffice.
    Memory,
    /// The servers would not respond in time.
    Throughput,
}

/// The reason why no memory is reserved for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRejection {
    /// Other requests and responses hold the memory.
    NoMemory,
    /// The request needs more memory than all may hold together.
    TooLarge,
}

/// A rejection of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// The time after which the client may retry.
    pub retry_after: Micros,
    /// The reason for the rejection.
    pub reason: RejectionReason,
}

/// The pages and bytes of all admitted queries that have not been released.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct InFlight {
    /// The number of pages to request; see [`QueryCost::pages`].
    pub pages: f64,
    /// The number of bytes reserved for responses.
    pub bytes: f64,
}

/// The admission of queries, with the cost of those in flight.
#[derive(Debug)]
pub struct AdmissionController {
    in_flight: InFlight,
    /// The memory that parsed requests hold, in bytes.
    request_bytes: f64,
    /// The memory for requests and responses, in bytes.
    max_bytes: f64,
    /// The moving average of the size of a full page, in bytes.
    page_bytes: f64,
}

impl AdmissionController {
    /// Creates a controller with nothing in flight; requests and responses may hold `max_bytes` bytes
    /// of memory.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        AdmissionController {
            in_flight: InFlight::default(),
            request_bytes: 0.0,
            max_bytes: max_bytes as f64,
            page_bytes: INITIAL_PAGE_BYTES,
        }
    }

    /// Records the size of a page of `bytes` bytes, which was requested for `page_size` features
    /// and contains `features`.
    pub fn record_page(&mut self, bytes: usize, features: usize, page_size: usize) {
        let full_page = bytes as f64 * page_size.max(1) as f64 / features.max(1) as f64;
        if features > 0 {
            self.page_bytes += (full_page - self.page_bytes) * PAGE_SIZE_SMOOTHING;
        }
    }

    /// Admits a query with this latency objective, given the throughput of all servers in pages per
    /// second, if known. Returns the number of bytes reserved for its response. Release the cost
    /// with [`AdmissionController::release_pages`] and the bytes with
    /// [`AdmissionController::release_bytes`].
    ///
    /// # Errors
    ///
    /// Returns the rejection if the memory or the throughput does not suffice. A rejected query
    /// changes nothing.
    pub fn admit(
        &mut self,
        cost: QueryCost,
        latency_objective: Micros,
        throughput: Option<f64>,
    ) -> Result<f64, Rejection> {
        let bytes = cost.buffered_pages * self.page_bytes;
        self.check_memory(cost, bytes, latency_objective)?;
        self.check_throughput(cost, latency_objective, throughput)?;
        self.in_flight.pages += cost.pages;
        self.in_flight.bytes += bytes;
        Ok(bytes)
    }

    /// Reserves memory for a request before it is parsed. Release it with
    /// [`AdmissionController::release_request`].
    ///
    /// # Errors
    ///
    /// Returns an error if the memory does not suffice, now or for this request alone. A rejected
    /// request changes nothing.
    pub fn reserve_request(&mut self, bytes: f64) -> Result<(), RequestRejection> {
        if bytes > self.max_bytes {
            return Err(RequestRejection::TooLarge);
        }
        if self.request_bytes + self.in_flight.bytes + bytes > self.max_bytes {
            return Err(RequestRejection::NoMemory);
        }
        self.request_bytes += bytes;
        Ok(())
    }

    /// Releases the memory of a request whose query has ended.
    pub fn release_request(&mut self, bytes: f64) {
        self.request_bytes = (self.request_bytes - bytes).max(0.0);
    }

    /// Releases the pages of a query that are no longer in flight.
    pub fn release_pages(&mut self, cost: QueryCost) {
        self.in_flight.pages = (self.in_flight.pages - cost.pages).max(0.0);
    }

    /// Releases the bytes reserved for a response that has been written.
    pub fn release_bytes(&mut self, bytes: f64) {
        self.in_flight.bytes = (self.in_flight.bytes - bytes).max(0.0);
    }

    /// Returns the pages and bytes in flight.
    #[must_use]
    pub fn in_flight(&self) -> InFlight {
        self.in_flight
    }

    /// Checks that the response fits into the memory. While nothing is reserved, any response is
    /// admitted, since one that exceeds the memory by itself would otherwise always be rejected.
    fn check_memory(
        &self,
        cost: QueryCost,
        bytes: f64,
        latency_objective: Micros,
    ) -> Result<(), Rejection> {
        let capacity = self.max_bytes
            * if cost.is_cheap() {
                1.0
            } else {
                EXPENSIVE_MEMORY_SHARE
            };
        let reserved = self.request_bytes + self.in_flight.bytes;
        if self.in_flight.bytes > 0.0 && reserved + bytes > capacity {
            let retry_after = MIN_RETRY_AFTER + Micros(latency_objective.0 / 2);
            return Err(Rejection {
                retry_after,
                reason: RejectionReason::Memory,
            });
        }
        Ok(())
    }

    /// Checks that the wait for the pages in flight leaves enough of the latency objective.
    fn check_throughput(
        &self,
        cost: QueryCost,
        latency_objective: Micros,
        throughput: Option<f64>,
    ) -> Result<(), Rejection> {
        let pages = self.in_flight.pages + cost.pages;
        let share = if cost.is_cheap() {
            CHEAP_WAIT_SHARE
        } else {
            EXPENSIVE_WAIT_SHARE
        };
        let max_wait = latency_objective.0 as f64 * share;
        let wait = throughput
            .filter(|throughput| *throughput > 0.0)
            .map(|throughput| pages / throughput * 1e6);
        let fits = match wait {
            Some(wait) => {
                let few_in_flight = self.in_flight.pages < ALWAYS_ADMITTED_PAGES;
                wait <= max_wait || (few_in_flight && cost.is_cheap())
            }
            None => pages <= MAX_PAGES_AT_UNKNOWN_THROUGHPUT,
        };
        // While nothing is in flight, an expensive query is admitted however long it takes: no
        // other query waits for it.
        if fits || self.in_flight.pages < 1.0 {
            return Ok(());
        }
        let excess = Micros((wait.unwrap_or(0.0) - max_wait).max(0.0) as u64);
        let retry_after = excess.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
        Err(Rejection {
            retry_after,
            reason: RejectionReason::Throughput,
        })
    }
}

#[cfg(test)]
mod tests;
