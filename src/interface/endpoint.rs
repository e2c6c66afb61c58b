//! Endpoint lists and the replicas that they name.

use super::{CellId, Nanos, ReplicaId, ZoneId};

/// The state of a replica in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts work.
    Ready,
    /// It completes what it has and accepts nothing new.
    Draining,
    /// It is gone.
    Removed,
}

/// A replica in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub replica: ReplicaId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; 0: long ago.
    pub started_at: Nanos,
}

/// What an endpoint list covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changes to the list.
    Delta,
    /// The full list.
    Full,
    /// The full list, as this instance last had it.
    Cached,
    /// Nothing: a poll failed, or the subscription broke.
    Failed,
}
