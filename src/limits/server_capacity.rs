//! The throughput of all servers together.

use crate::interface::ReplicaId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The throughput of each server: drivers report it, admission uses the sum.
#[derive(Debug, Default)]
pub struct ServerCapacity {
    /// In pages per second.
    throughputs: Mutex<HashMap<ReplicaId, f64>>,
}

impl ServerCapacity {
    /// Reports the throughput of a server; `None` if it accepts nothing, or if nothing is known of it.
    pub fn report(&self, replica: ReplicaId, throughput: Option<f64>) {
        match throughput {
            Some(throughput) => self.lock().insert(replica, throughput),
            None => self.lock().remove(&replica),
        };
    }

    /// The sum over all servers, in pages per second; `None` before the first report.
    #[must_use]
    pub fn total_throughput(&self) -> Option<f64> {
        let throughputs = self.lock();
        (!throughputs.is_empty()).then(|| throughputs.values().sum())
    }

    /// A panic of another thread leaves the map as usable as before.
    fn lock(&self) -> MutexGuard<'_, HashMap<ReplicaId, f64>> {
        self.throughputs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
