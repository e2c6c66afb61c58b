//! Where discovery is and how often it is polled.

use crate::interface::Nanos;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Where discovery is, and how often it has to be asked: a reload may change both while it is followed.
#[derive(Debug, Clone)]
pub struct DiscoverySource(Arc<Mutex<(SocketAddr, Option<Nanos>)>>);

impl DiscoverySource {
    /// Discovery is here.
    pub fn new(address: SocketAddr, ask_within: Option<Nanos>) -> Self {
        DiscoverySource(Arc::new(Mutex::new((address, ask_within))))
    }

    fn lock(&self) -> MutexGuard<'_, (SocketAddr, Option<Nanos>)> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Where it is now.
    pub fn address(&self) -> SocketAddr {
        self.lock().0
    }

    /// Where lists are asked for: the time after which a coordinator that does not ask counts as told.
    pub(super) fn ask_within(&self) -> Option<Nanos> {
        self.lock().1
    }

    /// From now on it is there. The list in use stays; the watch goes on there from its last version.
    pub fn set_address(&self, address: SocketAddr) {
        self.lock().0 = address;
    }

    /// The settings are others.
    pub fn set_max_poll_interval(&self, ask_within: Option<Nanos>) {
        self.lock().1 = ask_within;
    }
}
