//! The address and the poll interval of discovery, which a reload may change.

use crate::interface::Nanos;
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// The discovery service that a watch follows. Clones share one state, since a reload of the
/// configuration may change it while it is followed.
#[derive(Debug, Clone)]
pub struct DiscoverySource(Arc<Mutex<SourceSettings>>);

#[derive(Debug)]
struct SourceSettings {
    address: SocketAddr,
    max_poll_interval: Option<Nanos>,
}

impl DiscoverySource {
    /// Creates the source at this address. `max_poll_interval`, in nanoseconds, is set if lists are
    /// polled from a shared discovery service, which counts a coordinator that does not poll for
    /// this long as notified of every change.
    #[must_use]
    pub fn new(address: SocketAddr, max_poll_interval: Option<Nanos>) -> Self {
        DiscoverySource(Arc::new(Mutex::new(SourceSettings {
            address,
            max_poll_interval,
        })))
    }

    fn lock(&self) -> MutexGuard<'_, SourceSettings> {
        lock(&self.0)
    }

    /// Returns the current address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.lock().address
    }

    /// Returns the current maximum interval between two polls, in nanoseconds; `None` if lists are
    /// pushed.
    pub(super) fn max_poll_interval(&self) -> Option<Nanos> {
        self.lock().max_poll_interval
    }

    /// Changes the address of discovery. The endpoint list in use stays, and the watch continues
    /// from its last revision.
    pub fn set_address(&self, address: SocketAddr) {
        self.lock().address = address;
    }

    /// Changes the maximum interval between two polls, in nanoseconds; `None` if lists are pushed.
    pub fn set_max_poll_interval(&self, max_poll_interval: Option<Nanos>) {
        self.lock().max_poll_interval = max_poll_interval;
    }
}
