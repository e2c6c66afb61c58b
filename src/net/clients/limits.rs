//! How much of the process's descriptors and memory client connections may use.

use crate::limits::BASE_MEMORY;
use crate::net::admin;

/// Least memory for requests in progress, in bytes, however little the process has.
const MIN_BYTES: usize = 1024 * 1024;

/// The limits of one front's client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Open connections.
    pub connections: usize,
    /// Those of them that are between two queries. Clients that sent one query may never send another, yet hold places
    /// that the platform grants to its clients as a whole.
    pub idle: usize,
    /// Bytes buffered for requests that are not answered yet.
    pub bytes: usize,
}

impl ClientLimits {
    /// The limits of a process with so many descriptors and so many bytes of memory. Regular clients need a third of the
    /// descriptors; another third is for connections that send nothing until they are evicted, and the last one for
    /// servers, the watch on discovery and the runtime.
    #[must_use]
    pub fn new(descriptors: usize, memory: usize) -> Self {
        let available = descriptors.saturating_sub(admin::reserved(descriptors));
        ClientLimits {
            connections: (available * 2 / 3).max(1),
            idle: available / 6,
            bytes: (memory.saturating_sub(BASE_MEMORY) / 3).max(MIN_BYTES),
        }
    }

    /// The limits while two processes share them. Idle connections keep theirs, as far as half of the connections allow.
    #[must_use]
    pub fn halved(self) -> Self {
        let connections = (self.connections / 2).max(1);
        ClientLimits {
            connections,
            idle: self.idle.min(connections / 2),
            bytes: self.bytes / 2,
        }
    }

    /// The limits of each of so many fronts in one process.
    #[must_use]
    pub fn shared(self, fronts: usize) -> Self {
        let fronts = fronts.max(1);
        ClientLimits {
            connections: (self.connections / fronts).max(1),
            idle: self.idle / fronts,
            bytes: self.bytes / fronts,
        }
    }
}

#[cfg(test)]
mod tests;
