//! Where discovery is and how often it has to be polled.

use crate::interface::Nanos;
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// The discovery service that a watch follows. A reload of the configuration may change it while it is followed, so that
/// clones share one state.
#[derive(Debug, Clone)]
pub struct DiscoverySource(Arc<Mutex<SourceSettings>>);

#[derive(Debug)]
struct SourceSettings {
    address: SocketAddr,
    max_poll_interval: Option<Nanos>,
}

impl DiscoverySource {
    /// Discovery at this address. `max_poll_interval` is set where lists are polled: a coordinator that does not poll within
    /// it counts as notified.
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

    /// The current address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.lock().address
    }

    /// The current longest interval between two polls, where lists are polled.
    pub(super) fn max_poll_interval(&self) -> Option<Nanos> {
        self.lock().max_poll_interval
    }

    /// Moves discovery to another address. The endpoint list in use stays; the watch goes on from its last revision.
    pub fn set_address(&self, address: SocketAddr) {
        self.lock().address = address;
    }

    /// Changes the longest interval between two polls.
    pub fn set_max_poll_interval(&self, max_poll_interval: Option<Nanos>) {
        self.lock().max_poll_interval = max_poll_interval;
    }
}
