//! The interface between a coordinator and its policy: settings, events and actions. Plain data, no decisions.
//!
//! All times are [`Nanos`] of the caller's clock.

/// A point in time or a span of it, in nanoseconds of the caller's clock.
pub type Nanos = u64;

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

/// What happens when a part runs more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it may be retried freely.
    Idempotent,
    /// Replicas drop repeats for this time after the first attempt that may have run.
    Deduplicated(Nanos),
    /// Harm: it is not retried unless no earlier attempt can have run.
    NonIdempotent,
}

/// A class of queries, and what its clients expect.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name, by which it is found again after a change of settings.
    pub name: String,
    /// It is in the settings in force; others remain for the queries that began with them.
    pub active: bool,
    /// An answer within this time earns the full weight.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the query's expected work.
    pub objective_stretch: f64,
    /// How long a client waits over all its attempts.
    pub deadline: Nanos,
    /// What happens when a part runs more than once.
    pub effect: Effect,
    /// The weight of a complete answer, against those of other classes.
    pub priority_weight: f64,
    /// The share of that weight which an answer after the objective still earns.
    pub late_weight: f64,
    /// The share of the first step's weight that makes an answer complete.
    pub required_share: f64,
    /// The least share of the weight that an answer may be given from.
    pub min_share: f64,
    /// How many parts the follow-up step has; 0 where there is none.
    pub follow_up_parts: u32,
    /// The most attempts at a part; at least one is made.
    pub max_attempts: u32,
}

impl Class {
    /// An answer may lack parts.
    #[must_use]
    pub fn allows_partial(&self) -> bool {
        self.min_share < self.required_share
    }
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its quota in queries a second over all coordinators, if there is one.
    pub quota: Option<f64>,
}

/// The budget for retries and hedged requests: attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// How many are free in any window.
    pub free: f64,
    /// How many each query or part received in the window adds.
    pub ratio: f64,
    /// The length of the window.
    pub window: Nanos,
}

/// How much load a replica that has just started may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartRule {
    /// It is overloaded when it is sent this multiple of its capacity,
    pub overload_factor: f64,
    /// for this long.
    pub overload_window: Nanos,
    /// Its capacity at the start, as a share of that when warm.
    pub initial_capacity: f64,
    /// It has its full capacity after this time.
    pub warm_up: Nanos,
}

impl SlowStartRule {
    /// The capacity of a replica that started so long ago, as a share of its capacity when warm.
    #[must_use]
    pub fn capacity(&self, age: Nanos) -> f64 {
        let warmth = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * warmth
    }
}

/// The settings of an instance.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// How many coordinators share the replicas, this one included.
    pub coordinators: u32,
    /// The shortest time between two batches.
    pub tick: Nanos,
    /// The classes of queries, by [`ClassId`].
    pub classes: Vec<Class>,
    /// The tenants, by [`TenantId`].
    pub tenants: Vec<Tenant>,
    /// The weight of a query beyond its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// The number of shards.
    pub shards: u32,
    /// The number of cells: shard `s` is held by cells `(s + n) % cells`, `n` below `cells_per_shard`.
    pub cells: u32,
    /// The number of cells that hold a shard.
    pub cells_per_shard: u32,
    /// The most parts that one call carries.
    pub max_batch: u32,
    /// The work of a call beside that of its parts.
    pub call_overhead: Nanos,
    /// The endpoint list comes only when polled; an instance that does not poll for this long counts as notified.
    /// `None`: it comes on its own.
    pub max_poll_interval: Option<Nanos>,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The slow-start rule, if there is one.
    pub slow_start: Option<SlowStartRule>,
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// Two attempts at a part may be in flight at once.
    pub hedging: bool,
    /// The longest `Retry-After` that a rejected client follows; `None` where clients get none.
    pub max_retry_after: Option<Nanos>,
    /// What the level of reduced service in force cuts back.
    pub reduction: ServiceReduction,
}

impl Settings {
    /// A class by its number, which the settings must have.
    #[must_use]
    pub fn class(&self, id: ClassId) -> &Class {
        &self.classes[usize::from(id.0)]
    }

    /// The shortest latency objective of an active class; a tick where no class is active.
    #[must_use]
    pub fn min_latency_objective(&self) -> Nanos {
        self.active_classes().map(|class| class.latency_objective).min().unwrap_or(self.tick)
    }

    /// The highest priority weight of an active class; 0 where no class is active.
    #[must_use]
    pub fn max_priority_weight(&self) -> f64 {
        self.active_classes().map(|class| class.priority_weight).fold(0.0, f64::max)
    }

    /// The time of so many ticks.
    #[must_use]
    pub fn ticks(&self, count: u64) -> Nanos {
        count * self.tick
    }

    fn active_classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.iter().filter(|class| class.active)
    }
}

/// What a level of reduced service cuts back; the default cuts nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReduction {
    /// The share of each class's queries that is admitted, by [`ClassId`]; a class without one has no limit.
    pub admitted_shares: Vec<f64>,
    /// Late parts of sampled queries are cancelled like others.
    pub skip_late_samples: bool,
    /// Where parts may be missing an answer is given after this share of the objective, from the floor on.
    pub answer_after: f64,
    /// The shortest `Retry-After` is half of the longest; this factor brings it that many times nearer to it.
    pub retry_after_factor: f64,
}

impl Default for ServiceReduction {
    fn default() -> Self {
        ServiceReduction {
            admitted_shares: Vec::new(),
            skip_late_samples: false,
            answer_after: 1.0,
            retry_after_factor: 1.0,
        }
    }
}

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

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It was answered.
    Ok,
    /// The replica returned an error; it may have run.
    Error,
    /// The replica rejected it: it never ran.
    Rejected,
    /// It timed out; it may have run.
    TimedOut,
    /// No connection was made: it never ran.
    ConnectFailed,
    /// The connection was reset; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was not sent: it never ran.
    NotSent,
}

impl Outcome {
    /// The attempt may have run at the replica: nothing proves that it did not.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

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

/// What a policy has its coordinator do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt at a part.
    Send {
        /// The part.
        part: PartId,
        /// The replica it goes to.
        replica: ReplicaId,
        /// The time-out of this attempt.
        timeout: Nanos,
        /// Unless its writing has started by then it must not be sent: it would repeat a part too late.
        not_after: Nanos,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// The number of the attempt.
        attempt: AttemptNo,
    },
    /// Answer from the parts received; the answer from a first step brings the parts of the follow-up step.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer is complete.
        complete: bool,
    },
    /// Reject a query: the client may safely retry it.
    Reject {
        /// The query.
        query: QueryId,
        /// The `Retry-After`, where clients get one.
        retry_after: Option<Nanos>,
    },
    /// Fail a query: it may have run.
    Fail(QueryId),
    /// Report [`Event::TimerFired`] at this time.
    SetTimer(Nanos),
    /// Close the idle connections to a replica.
    CloseIdle(ReplicaId),
    /// Subscribe to the endpoint list.
    Subscribe,
}
