//! The words between a coordinator and the module: settings, events and actions. Plain data, no decisions.

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
    /// The number that ties parts to their query.
    GroupId(u32);
    /// A shard, from 0.
    ShardId(u32);
    /// A place in [`Settings::classes`].
    ClassId(u16);
    /// A place in [`Settings::tenants`].
    TenantId(u32);
    /// A zone: servers of one room fail together.
    ZoneId(u16);
    /// A cell of replicas; see [`Settings::reach`].
    CellId(u16);
    /// Four bytes of address and two of port, sent back as they came.
    ReplicaId([u8; 6]);
    /// The number of an attempt at a part, from 0.
    AttemptNo(u16);
}

/// What happens when a part runs twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: repeat it freely.
    Idempotent,
    /// Repeats are dropped for so long after the first attempt that may have run.
    Deduplicated(Nanos),
    /// Harm: never again unless no earlier attempt ran.
    NonIdempotent,
}

/// A class of query.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name, which outlives its number.
    pub name: String,
    /// It is in the settings in force; one that is not is kept for the queries that began with it.
    pub active: bool,
    /// Wanted within this time.
    pub latency_objective: Nanos,
    /// The aim grows by so many times the work that the query's hint names.
    pub objective_stretch: f64,
    /// The client's patience over all its tries.
    pub deadline: Nanos,
    /// May its parts run twice?
    pub effect: Effect,
    /// Worth of a whole answer.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// Share of the first step's weight that makes a whole answer.
    pub required_share: f64,
    /// Least share of the weight that an answer may be given from.
    pub min_share: f64,
    /// Parts of the second step; 0 where there is none.
    pub follow_up_parts: u32,
    /// Most attempts at a part.
    pub max_attempts: u32,
}

impl Class {
    /// An answer may lack parts.
    #[must_use]
    pub fn allows_partial(&self) -> bool {
        self.min_share < self.required_share
    }
}

/// A tenant and its quota of queries a second, over all coordinators; `None` where none is stated.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Queries a second within its share.
    pub quota: Option<f64>,
}

/// The budget for attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// So many are free in any window.
    pub free: f64,
    /// And so many for each query or part taken in it.
    pub ratio: f64,
    /// The window.
    pub window: Nanos,
}

/// When a replica that just started falls over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartRule {
    /// It falls when sent this multiple of what it can do,
    pub overload_factor: f64,
    /// for this long.
    pub overload_window: Nanos,
    /// Least share of its capacity at the start.
    pub initial_capacity: f64,
    /// Warm after this time at the latest.
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

/// What an instance is told at its start.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// How many coordinators share the replicas, this one included.
    pub coordinators: u32,
    /// The shortest time between two batches.
    pub tick: Nanos,
    /// The classes of query.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a query past its tenant's quota, as a share of its class's.
    pub over_quota_weight: f64,
    /// Number of shards.
    pub shards: u32,
    /// Number of cells: shard `s` is held by cells `(s + j) % cells`, `j` below `reach`.
    pub cells: u32,
    /// See `cells`.
    pub cells_per_shard: u32,
    /// Most parts that one call carries.
    pub max_batch: u32,
    /// Work of a call beside its parts'.
    pub call_overhead: Nanos,
    /// The list comes only when asked; without asking for so long an instance counts as told. `None`: it
    /// comes on its own.
    pub max_poll_interval: Option<Nanos>,
    /// The budget for further attempts, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// The rule for replicas that just started, if there is one.
    pub slow_start: Option<SlowStartRule>,
    /// Attempts can be called off.
    pub cancellation: bool,
    /// Two attempts at a part may be out at once.
    pub hedging: bool,
    /// Longest wait that a refused client obeys; `None` where it is not told.
    pub max_retry_after: Option<Nanos>,
    /// What the level of reduced service takes back.
    pub reduction: ServiceReduction,
}

impl Settings {
    /// A class by its number.
    ///
    /// # Panics
    /// Where the settings have no such class.
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

/// What a level of reduced service takes back; the default takes nothing.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReduction {
    /// Share of each class's queries that is admitted, by its number; a class without one is admitted whole.
    pub admitted_shares: Vec<f64>,
    /// Late parts of samples are called off like others.
    pub skip_late_samples: bool,
    /// A class that may lack parts is answered after this share of its aim, once its floor is in.
    pub answer_after: f64,
    /// The least that a refused client is told to wait, half of the most, comes so many times nearer to that.
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

/// The state of a replica in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Wraps up; nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// A line of the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Endpoint {
    /// Which replica.
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

/// How much of the list came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changes only.
    Delta,
    /// All of it.
    Full,
    /// All of it, as this instance last had it.
    Cached,
    /// A call for it failed, or the subscription broke; nothing came.
    Failed,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error came back; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent: it never ran.
    NotSent,
}

impl Outcome {
    /// The attempt may have run at the replica: nothing proves that it did not.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a coordinator tells the module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list.
    Endpoints {
        /// How much of it came.
        kind: EndpointListKind,
        /// Its lines.
        endpoints: Vec<Endpoint>,
    },
    /// What a replica holds, where its cell does not tell; comes ahead of the list that names it.
    Placement {
        /// Which replica.
        replica: ReplicaId,
        /// The shards it holds.
        shards: Vec<ShardId>,
    },
    /// A query was taken; its parts follow in the same batch.
    Query {
        /// Its id.
        query: QueryId,
        /// The number its parts bear.
        group: GroupId,
        /// Its class.
        class: ClassId,
        /// Its tenant.
        tenant: TenantId,
        /// Expected work of all parts, where told.
        expected_work: Option<Nanos>,
        /// Time before the client abandons this try.
        time_left: Nanos,
    },
    /// A part of a query: of the first step, or of the second after the first answer.
    Part {
        /// Its id.
        part: PartId,
        /// The number of its query.
        group: GroupId,
        /// Its shard.
        shard: ShardId,
        /// Its weight in its step.
        weight: f64,
    },
    /// An attempt ended.
    Outcome {
        /// The part.
        part: PartId,
        /// Which attempt.
        attempt: AttemptNo,
        /// How.
        outcome: Outcome,
        /// How long ago it was sent.
        elapsed: Nanos,
    },
    /// The client of a query has left, or the query's time is over.
    Abandoned(QueryId),
    /// The settings change. Open queries keep the number of their class, and what it says stays as it was.
    Settings {
        /// From now on.
        settings: Box<Settings>,
        /// For each class, the one whose seen figures it goes on with.
        class_mapping: Vec<ClassId>,
    },
    /// A wake-up is due.
    TimerFired,
}

/// What the module tells its coordinator to do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Launch an attempt at a part.
    Send {
        /// The part.
        part: PartId,
        /// Where to.
        replica: ReplicaId,
        /// Time-out of this attempt.
        timeout: Nanos,
        /// Not begun to leave by then it never may: it would repeat a part outside its class's window.
        not_after: Nanos,
    },
    /// Call an attempt off.
    Cancel {
        /// The part.
        part: PartId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Answer from the parts that are in; the first of two steps' answers brings further parts.
    Answer {
        /// Which query.
        query: QueryId,
        /// It is whole.
        complete: bool,
    },
    /// Send a query back: asking again does no harm.
    Reject {
        /// Which query.
        query: QueryId,
        /// When to come back, where clients are told.
        retry_after: Option<Nanos>,
    },
    /// Give a query up, with no promise.
    Fail(QueryId),
    /// Send [`Event::Wake`] at this time.
    SetTimer(Nanos),
    /// Close the idle connections to a replica.
    CloseIdle(ReplicaId),
    /// Subscribe to the list.
    Subscribe,
}
