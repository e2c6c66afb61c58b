//! Concurrency limit of a feature server, with simulated service times.

use crate::sync::lock;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Capacity of a server.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Number of requests processed concurrently; others wait.
    pub slots: usize,
    /// Service time of a request, in addition to that of its features.
    pub base: Duration,
    /// Additional service time of each feature in the response.
    pub per_feature: Duration,
}

/// Slots of a server, each for one request. Without a capacity, requests take no service time.
#[derive(Default)]
pub(super) struct WorkerSlots {
    capacity: Mutex<Option<Capacity>>,
    busy_slots: Mutex<usize>,
    slot_freed: Condvar,
}

impl WorkerSlots {
    /// Sets the capacity, or removes it.
    pub(super) fn set_capacity(&self, capacity: Option<Capacity>) {
        *lock(&self.capacity) = capacity;
    }

    /// Waits for a slot and holds it for the service time of a response with this many features.
    pub(super) fn simulate_work(&self, feature_count: usize) {
        let Some(capacity) = *lock(&self.capacity) else {
            return;
        };
        let mut busy_slots = lock(&self.busy_slots);
        while *busy_slots >= capacity.slots {
            busy_slots = self
                .slot_freed
                .wait(busy_slots)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *busy_slots += 1;
        drop(busy_slots);
        std::thread::sleep(capacity.base + capacity.per_feature * feature_count as u32);
        *lock(&self.busy_slots) -= 1;
        self.slot_freed.notify_one();
    }
}
