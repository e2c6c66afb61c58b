//! Events, which a coordinator reports to its policy.

use super::{
    AttemptNo, ClassId, Endpoint, EndpointListKind, GroupId, Nanos, Outcome, PartId, QueryId,
    ReplicaId, Settings, ShardId, TenantId,
};

/// An event that a coordinator reports to its policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An endpoint list was received, or a poll for it failed.
    Endpoints {
        /// Scope of the list.
        kind: EndpointListKind,
        /// Replicas in the list.
        endpoints: Vec<Endpoint>,
    },
    /// The shards of a replica, where its cell does not determine them. This event precedes the
    /// endpoint list that names the replica.
    Placement {
        /// The replica.
        replica: ReplicaId,
        /// Shards that the replica holds.
        shards: Vec<ShardId>,
    },
    /// A query was received; its parts follow in the same batch.
    Query {
        /// Identifier of the query.
        query: QueryId,
        /// Identifier that the query shares with its parts.
        group: GroupId,
        /// Class of the query.
        class: ClassId,
        /// Tenant of the client.
        tenant: TenantId,
        /// Expected work of all parts, as processing time at the replicas; `None` if the client did
        /// not state it.
        expected_work: Option<Nanos>,
        /// Time until the client abandons the query.
        time_left: Nanos,
    },
    /// A part of a query was received. It belongs to the first step or, after the first answer, to
    /// the follow-up step.
    Part {
        /// Identifier of the part.
        part: PartId,
        /// Identifier that the part shares with its query.
        group: GroupId,
        /// Shard that has the answer.
        shard: ShardId,
        /// Share of its step's weight, 0 to 1.
        weight: f64,
    },
    /// An attempt ended.
    Outcome {
        /// Part that the attempt was made at.
        part: PartId,
        /// Ordinal of the attempt.
        attempt: AttemptNo,
        /// Outcome of the attempt.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Nanos,
    },
    /// The client of a query disconnected, or the query's deadline passed.
    Abandoned(QueryId),
    /// The settings changed. Open queries keep their class with its former settings.
    Settings {
        /// New settings.
        settings: Box<Settings>,
        /// For each class, the former class whose statistics it continues.
        class_mapping: Vec<ClassId>,
    },
    /// The timer of [`Action::SetTimer`](super::Action::SetTimer) fired.
    TimerFired,
}
