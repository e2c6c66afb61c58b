//! The settings of a coordinator.

use super::{Class, ClassId, Nanos, ServiceReduction};

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
