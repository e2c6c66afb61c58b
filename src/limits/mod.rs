//! Limits that follow what servers bear: how many requests each may have under way, and which queries an edge takes on.
//!
//! This folder owns those decisions and their state, and nothing else: no clock, no socket, no thread. Drivers tell it what
//! ended and how long it took, and ask it before they begin. Which server a part goes to, whether it is tried again and
//! what is given up stays with the module.

mod admission;
mod latency;
mod limiter;

pub use admission::{AdmissionController, QueryCost, Rejection};
pub use limiter::{ConcurrencyLimiter, LimitRule, RequestOutcome};

use crate::interface::ReplicaId;
use std::collections::HashMap;
use std::sync::Mutex;

/// Memory that every process of this program needs before it has a client, in bytes: limits share out the rest.
pub const BASE_MEMORY: usize = 16 * 1024 * 1024;

/// What all servers together bear, as the driver sees it and the front asks.
#[derive(Debug, Default)]
pub struct ServerCapacity(Mutex<HashMap<ReplicaId, f64>>);

impl ServerCapacity {
    /// A server bears so many pages a second; `None`: it takes nothing, or nothing is known of it.
    pub fn report(&self, replica: ReplicaId, rate: Option<f64>) {
        let mut rates = self.0.lock().unwrap_or_else(|e| e.into_inner());
        match rate {
            Some(rate) => rates.insert(replica, rate),
            None => rates.remove(&replica),
        };
    }

    /// All of them, in pages a second; `None` before anything is known.
    pub fn total_throughput(&self) -> Option<f64> {
        let rates = self.0.lock().unwrap_or_else(|e| e.into_inner());
        (!rates.is_empty()).then(|| rates.values().sum())
    }
}
