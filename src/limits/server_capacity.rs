//! The throughput of all servers together.
//!
//! The drivers of all coordinators report to one value of [`ServerCapacity`], so it has a lock.

use crate::interface::ReplicaId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The throughput of each server: drivers report it, and admission uses the sum.
#[derive(Debug, Default)]
pub struct ServerCapacity {
    /// The throughput of each server, in pages per second.
    throughputs: Mutex<HashMap<ReplicaId, f64>>,
}

impl ServerCapacity {
    /// Records the throughput of a server in pages per second; `None` if the server accepts nothing
    /// or its throughput is unknown.
    pub fn report(&self, replica: ReplicaId, throughput: Option<f64>) {
        match throughput {
            Some(throughput) => self.lock().insert(replica, throughput),
            None => self.lock().remove(&replica),
        };
    }

    /// Returns the sum over all servers, in pages per second; `None` without a known throughput.
    #[must_use]
    pub fn total_throughput(&self) -> Option<f64> {
        let throughputs = self.lock();
        (!throughputs.is_empty()).then(|| throughputs.values().sum())
    }

    /// Locks the map; a panic of another thread leaves it valid.
    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, f64>> {
        self.throughputs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
