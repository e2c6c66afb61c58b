//! Endpoint lists and the replicas that they name.

use super::{CellId, Nanos, ReplicaId, ZoneId};

/// State of a replica in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The replica accepts work.
    Ready,
    /// The replica completes the work that it has and accepts none.
    Draining,
    /// The replica was removed.
    Removed,
}

/// Entry of the endpoint list: one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint {
    /// Identifier of the replica.
    pub replica: ReplicaId,
    /// Availability zone of the replica.
    pub zone: ZoneId,
    /// Cell of the replica.
    pub cell: CellId,
    /// State of the replica.
    pub state: EndpointState,
    /// Time of the replica's last start; 0 if it is unknown or long ago, in which case the replica
    /// counts as warm.
    pub started_at: Nanos,
}

/// Scope of an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changes to the previous list.
    Delta,
    /// The full list.
    Full,
    /// The full list as an earlier process last received it.
    Cached,
    /// No list: a poll failed, or the subscription ended.
    Failed,
}
