//! A bound on what a feature server works on at a time.

use crate::sync::lock;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// What bounds a server's work.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Requests in work at a time; others wait.
    pub slots: usize,
    /// Work of a request, without its features.
    pub base: Duration,
    /// Work of each feature in the response.
    pub per_feature: Duration,
}

/// The slots of a server. Without a capacity work takes no time.
#[derive(Default)]
pub(super) struct WorkerSlots {
    capacity: Mutex<Option<Capacity>>,
    busy: Mutex<usize>,
    slot_freed: Condvar,
}

impl WorkerSlots {
    pub(super) fn set_capacity(&self, capacity: Option<Capacity>) {
        *lock(&self.capacity) = capacity;
    }

    /// Waits for a slot and holds it for the time that a response with so many features takes.
    pub(super) fn work(&self, features: usize) {
        let Some(capacity) = *lock(&self.capacity) else { return };
        let mut busy = lock(&self.busy);
        while *busy >= capacity.slots {
            busy = self.slot_freed.wait(busy).unwrap_or_else(PoisonError::into_inner);
        }
        *busy += 1;
        drop(busy);
        std::thread::sleep(capacity.base + capacity.per_feature * features as u32);
        *lock(&self.busy) -= 1;
        self.slot_freed.notify_one();
    }
}
