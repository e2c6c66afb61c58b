//! Bound on the concurrent work of a feature server, with simulated service times.

use crate::sync::lock;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Capacity of a server.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Number of requests processed concurrently; others wait.
    pub slots: usize,
    /// Service time of a request without its features.
    pub base: Duration,
    /// Additional service time of each feature in the response.
    pub per_feature: Duration,
}

/// Worker slots of a server. Without a capacity, requests take no service time.
#[derive(Default)]
pub(super) struct WorkerSlots {
    capacity: Mutex<Option<Capacity>>,
    busy: Mutex<usize>,
    slot_freed: Condvar,
}

impl WorkerSlots {
    /// Sets the capacity, or removes it.
    pub(super) fn set_capacity(&self, capacity: Option<Capacity>) {
        *lock(&self.capacity) = capacity;
    }

    /// Waits for a slot and holds it for the service time of a response with this many features.
    pub(super) fn work(&self, features: usize) {
        let Some(capacity) = *lock(&self.capacity) else {
            return;
        };
        let mut busy = lock(&self.busy);
        while *busy >= capacity.slots {
            busy = self
                .slot_freed
                .wait(busy)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(capacity.base + capacity.per_feature * features as u32);
        *lock(&self.busy) -= 1;
        self.slot_freed.notify_one();
    }
}
