//! Identifiers of queries, parts, attempts and replicas, and of the groups they belong to.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifier of a query, assigned by the coordinator.
    QueryId(u64);
    /// Identifier of one part of a query; queries and parts share one space of identifiers.
    PartId(u64);
    /// Identifier that a query shares with its parts.
    GroupId(u32);
    /// Index of a shard, from 0.
    ShardId(u32);
    /// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(u32);
    /// Identifier of an availability zone: replicas of one zone fail together.
    ZoneId(u16);
    /// Index of a cell of replicas; see [`Settings::cells`](super::Settings::cells).
    CellId(u16);
    /// Identifier of a replica: four bytes of address and two of port, opaque to the policy.
    ReplicaId([u8; 6]);
    /// Ordinal of an attempt among those at its part, from 0.
    AttemptNo(u16);
}
