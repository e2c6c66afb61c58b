//! The throughput of all servers together.
//!
//! The value has a lock, since drivers report to it while admission reads it.

use crate::interface::ReplicaId;
use crate::sync::lock;
use std::collections::HashMap;
use std::sync::Mutex;

/// The throughput of each server, which drivers report; admission uses the sum.
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
            Some(throughput) => lock(&self.throughputs).insert(replica, throughput),
            None => lock(&self.throughputs).remove(&replica),
        };
    }

    /// Returns the sum over all servers, in pages per second; `None` if no throughput is known.
    #[must_use]
    pub fn total_throughput(&self) -> Option<f64> {
        let throughputs = lock(&self.throughputs);
        (!throughputs.is_empty()).then(|| throughputs.values().sum())
    }
}
