//! Which queries an edge takes on: by what they cost, against what its servers bear and what its memory holds.
//!
//! A query's cost is the pages it will ask for, its work here included. What is under way, over what all servers together do
//! a second, is the wait of whoever comes now. A cheap query is taken as long as that wait leaves it in time; a dear one
//! only while most of that time is left over, so that one map of everything never keeps small questions out.

use crate::time::Micros;

/// Queries of so many pages or fewer are cheap.
const CHEAP: f64 = 3.0;
/// Share of its wanted time that a cheap query may wait,
const CHEAP_WAIT: f64 = 0.8;
/// and a dear one.
const DEAR_WAIT: f64 = 0.35;
/// Taken on however slow the servers seem: nothing under way shows nothing.
const ALWAYS: f64 = 8.0;
/// Taken on while nothing is known of the servers.
const UNKNOWN: f64 = 64.0;
/// Weight of a new page in the usual size of pages.
const GAIN: f64 = 0.05;
/// Bytes taken for a page before any was seen.
const FIRST_PAGE: f64 = 64.0 * 1024.0;
/// Share of the memory for answers that a dear query may leave used.
const DEAR_MEMORY: f64 = 0.7;
/// The least and the most that a refused client is told to wait.
const RETRY: (Micros, Micros) = (Micros::from_millis(500), Micros::from_secs(30));

/// What a query costs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryCost {
    /// Pages, with the work that is done here on them.
    pub pages: f64,
    /// Pages whose bytes its answer will hold.
    pub buffered_pages: f64,
}

impl QueryCost {
    /// Of a query for at most `limit` features in pages of `page`, over `shards` of which `at_once` are asked first. `weight`:
    /// of its filter, where that is evaluated here; `ordered`: all of it is read for an order, at most `most` pages.
    pub fn estimate(
        limit: usize,
        page: usize,
        shards: usize,
        at_once: usize,
        weight: usize,
        ordered: Option<usize>,
    ) -> Self {
        let held = limit.div_ceil(page.max(1)) as f64;
        let looks = if shards <= at_once { shards.saturating_sub(1) as f64 * 0.25 } else { 0.0 };
        let pages = match ordered {
            // Somewhere between a page a shard and all there are.
            Some(most) => (shards as f64 * held).max((most as f64).sqrt()),
            None => held + looks,
        };
        QueryCost { pages: pages * (1.0 + weight as f64 / 50.0), buffered_pages: held }
    }
}

/// Why a query is not taken on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// When asking again is worth while.
    pub retry_after: Micros,
    /// For want of memory, and not of time.
    pub memory: bool,
}

/// What is under way.
#[derive(Debug)]
pub struct AdmissionController {
    pages: f64,
    bytes: f64,
    most_bytes: f64,
    page_bytes: f64,
}

impl AdmissionController {
    /// Nothing yet; answers may hold so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        AdmissionController { pages: 0.0, bytes: 0.0, most_bytes: most_bytes as f64, page_bytes: FIRST_PAGE }
    }

    /// A page came of so many bytes, asked for with room for `size` features of which it had `given`.
    pub fn record_page(&mut self, bytes: usize, given: usize, size: usize) {
        // What a full one would have.
        let full = bytes as f64 * size.max(1) as f64 / given.max(1) as f64;
        if given > 0 {
            self.page_bytes += (full - self.page_bytes) * GAIN;
        }
    }

    /// Takes a query on, wanted within `aim`, at servers that together do `rate` pages a second: how many bytes are set
    /// aside for it. Give both back with [`AdmissionController::release`].
    pub fn admit(&mut self, cost: QueryCost, aim: Micros, rate: Option<f64>) -> Result<f64, Rejection> {
        let bytes = cost.buffered_pages * self.page_bytes;
        let cheap = cost.pages <= CHEAP;
        let room = self.most_bytes * if cheap { 1.0 } else { DEAR_MEMORY };
        if self.bytes > 0.0 && self.bytes + bytes > room {
            return Err(Rejection { retry_after: RETRY.0 + Micros(aim.0 / 2), memory: true });
        }
        let ahead = self.pages + cost.pages;
        let wait = match rate {
            Some(rate) if rate > 0.0 => ahead / rate * 1e6,
            _ => 0.0,
        };
        let allowed = aim.0 as f64 * if cheap { CHEAP_WAIT } else { DEAR_WAIT };
        let known = rate.is_some_and(|r| r > 0.0);
        let taken = if known { wait <= allowed || self.pages < ALWAYS && cheap } else { ahead <= UNKNOWN };
        // A dear query alone is taken however long it takes: nobody waits behind it yet.
        if !taken && self.pages >= 1.0 {
            let over = Micros((wait - allowed).max(0.0) as u64);
            return Err(Rejection { retry_after: over.max(RETRY.0).min(RETRY.1), memory: false });
        }
        self.pages += cost.pages;
        self.bytes += bytes;
        Ok(bytes)
    }

    /// A query's pages are no more under way.
    pub fn release_pages(&mut self, cost: QueryCost) {
        self.pages = (self.pages - cost.pages).max(0.0);
    }

    /// An answer's bytes are written.
    pub fn release_bytes(&mut self, bytes: f64) {
        self.bytes = (self.bytes - bytes).max(0.0);
    }

    /// Pages and bytes under way.
    pub fn in_flight(&self) -> (f64, f64) {
        (self.pages, self.bytes)
    }
}

#[cfg(test)]
mod tests;
