//! Identifiers of queries, parts, replicas and what they belong to.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A query, as the coordinator names it.
    QueryId(u64);
    /// One part of a query; queries and parts share one space of ids.
    PartId(u64);
    /// The number that parts have in common with their query.
    GroupId(u32);
    /// A shard, from 0.
    ShardId(u32);
    /// An index into [`Settings::classes`].
    ClassId(u16);
    /// An index into [`Settings::tenants`].
    TenantId(u32);
    /// An availability zone: replicas of one zone fail together.
    ZoneId(u16);
    /// A cell of replicas; see [`Settings::cells`].
    CellId(u16);
    /// A replica: four bytes of address and two of port, opaque to the policy.
    ReplicaId([u8; 6]);
    /// The number of an attempt at a part, from 0.
    AttemptNo(u16);
}
