//! Events, which a coordinator reports to its policy.

use super::{
    AttemptNo, ClassId, Endpoint, EndpointListKind, GroupId, Nanos, Outcome, PartId, QueryId, ReplicaId,
    Settings, ShardId, TenantId,
};

/// What a coordinator reports to its policy.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An endpoint list was received, or a poll for it failed.
    Endpoints {
        /// What it covers.
        kind: EndpointListKind,
        /// Its replicas.
        endpoints: Vec<Endpoint>,
    },
    /// The shards of a replica, where its cell does not determine them; precedes the list that names it.
    Placement {
        /// The replica.
        replica: ReplicaId,
        /// The shards it holds.
        shards: Vec<ShardId>,
    },
    /// A query was received; its parts follow in the same batch.
    Query {
        /// Its id.
        query: QueryId,
        /// The number that its parts have in common with it.
        group: GroupId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// The expected work of all its parts, where the client stated it.
        expected_work: Option<Nanos>,
        /// The time until the client abandons this attempt.
        time_left: Nanos,
    },
    /// A part of a query was received: of its first step or, after the first answer, of its follow-up step.
    Part {
        /// Its id.
        part: PartId,
        /// The number that it has in common with its query.
        group: GroupId,
        /// Its shard.
        shard: ShardId,
        /// Its share of its step's weight.
        weight: f64,
    },
    /// An attempt ended.
    Outcome {
        /// The part.
        part: PartId,
        /// The number of the attempt.
        attempt: AttemptNo,
        /// How it ended.
        outcome: Outcome,
        /// How long ago it was sent.
        elapsed: Nanos,
    },
    /// The client of a query has disconnected, or its time is over.
    Abandoned(QueryId),
    /// The settings have changed. Open queries keep their class, whose settings stay as they were.
    Settings {
        /// The settings in force from now on.
        settings: Box<Settings>,
        /// For each class, the former one whose statistics it continues.
        class_mapping: Vec<ClassId>,
    },
    /// The timer of [`Action::SetTimer`] fired.
    TimerFired,
}
