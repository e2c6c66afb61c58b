//! The shares of the process's descriptors and memory that client connections may use.

use crate::limits::{payload_memory, BASE_MEMORY_BYTES};
use crate::net::admin;

/// The minimum memory for requests in progress, in bytes.
const MIN_REQUEST_BYTES: usize = 1024 * 1024;

/// The limits of one front's client connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The maximum number of connections between two queries. A client that sent one query may
    /// never send another, but its open connection counts against the number that the platform
    /// allows all its clients.
    pub idle: usize,
    /// The maximum memory for requests that are not answered yet, in bytes.
    pub bytes: usize,
    /// The maximum memory for the payloads of requests in progress, in bytes.
    pub payload_bytes: usize,
}

impl ClientLimits {
    /// Creates the limits of a process with `descriptors` descriptors and `memory_bytes` bytes of
    /// memory. Regular clients need a third of the descriptors. Another third is for connections
    /// that send nothing until they are evicted, and the last third for servers, the discovery
    /// watch and the runtime.
    #[must_use]
    pub fn new(descriptors: usize, memory_bytes: usize) -> Self {
        let available = descriptors.saturating_sub(admin::reserved_descriptors(descriptors));
        ClientLimits {
            connections: (available * 2 / 3).max(1),
            idle: available / 6,
            bytes: (memory_bytes.saturating_sub(BASE_MEMORY_BYTES) / 3).max(MIN_REQUEST_BYTES),
            payload_bytes: payload_memory(memory_bytes).max(MIN_REQUEST_BYTES),
        }
    }

    /// Returns the limits of each of two processes that share these limits. The limit on idle
    /// connections is unchanged unless it exceeds half of the connections.
    #[must_use]
    pub fn halved(self) -> Self {
        let connections = (self.connections / 2).max(1);
        ClientLimits {
            connections,
            idle: self.idle.min(connections / 2),
            bytes: self.bytes / 2,
            payload_bytes: self.payload_bytes / 2,
        }
    }

    /// Returns the limits of each of `fronts` fronts in one process.
    #[must_use]
    pub fn shared(self, fronts: usize) -> Self {
        let fronts = fronts.max(1);
        ClientLimits {
            connections: (self.connections / fronts).max(1),
            idle: self.idle / fronts,
            bytes: self.bytes / fronts,
            payload_bytes: self.payload_bytes / fronts,
        }
    }
}

#[cfg(test)]
mod tests;
