//! Settings of a coordinator.

use super::{Class, ClassId, Nanos, ServiceReduction};

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Quota over all coordinators, in queries per second; `None` if the tenant is not limited.
    pub quota: Option<f64>,
}

/// Budget for retries and hedged requests: attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Number of attempts that are free in any window.
    pub free: f64,
    /// Number of attempts that each query or part received in the window adds.
    pub ratio: f64,
    /// Length of the window.
    pub window: Nanos,
}

/// Limit of the load that a replica may receive after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartRule {
    /// Multiple of its capacity that overloads the replica, if sustained for the window.
    pub overload_factor: f64,
    /// Length of the window.
    pub overload_window: Nanos,
    /// Capacity at the start, as a share of the capacity when warm.
    pub initial_capacity: f64,
    /// Time after the start at which the replica has its full capacity.
    pub warm_up: Nanos,
}

impl SlowStartRule {
    /// Returns the capacity of a replica that started `age` ago, as a share of its capacity when
    /// warm.
    #[must_use]
    pub fn capacity(&self, age: Nanos) -> f64 {
        let warm_up_progress = (age as f64 / self.warm_up.max(1) as f64).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * warm_up_progress
    }
}

/// Settings of a coordinator.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Settings {
    /// Number of coordinators that share the replicas, this one included.
    pub coordinators: u32,
    /// Shortest time between two batches.
    pub tick: Nanos,
    /// Classes of queries, by [`ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, by [`TenantId`](super::TenantId).
    pub tenants: Vec<Tenant>,
    /// Priority weight of a query beyond its tenant's quota, as a share of that of its class.
    pub over_quota_weight: f64,
    /// Number of shards.
    pub shards: u32,
    /// Number of cells. Shard `s` is held by the cells `(s + n) % cells`, with `n` below
    /// `cells_per_shard`.
    pub cells: u32,
    /// Number of cells that hold a shard.
    pub cells_per_shard: u32,
    /// Maximum number of parts in one call.
    pub max_batch: u32,
    /// Work of a call in addition to that of its parts.
    pub call_overhead: Nanos,
    /// Longest interval between polls for the endpoint list. The discovery service counts a
    /// coordinator that has not polled for this long as notified of all changes. `None` if the list
    /// is pushed.
    pub max_poll_interval: Option<Nanos>,
    /// Retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Slow-start rule, if there is one.
    pub slow_start: Option<SlowStartRule>,
    /// Whether attempts can be cancelled.
    pub cancellation: bool,
    /// Whether two attempts at a part may be in flight at once.
    pub hedging: bool,
    /// Longest `Retry-After` that a rejected client follows; `None` if clients get none.
    pub max_retry_after: Option<Nanos>,
    /// Reductions of service in force.
    pub reduction: ServiceReduction,
}

impl Settings {
    /// Returns a class by its index.
    ///
    /// # Panics
    /// If there is no such class.
    #[must_use]
    pub fn class(&self, id: ClassId) -> &Class {
        &self.classes[usize::from(id.0)]
    }

    /// Returns the shortest latency objective of an active class, or a tick if no class is active.
    #[must_use]
    pub fn min_latency_objective(&self) -> Nanos {
        self.active_classes()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(self.tick)
    }

    /// Returns the highest priority weight of an active class, or 0 if no class is active.
    #[must_use]
    pub fn max_priority_weight(&self) -> f64 {
        self.active_classes()
            .map(|class| class.priority_weight)
            .fold(0.0, f64::max)
    }

    /// Returns the duration of `count` ticks.
    #[must_use]
    pub fn ticks(&self, count: u64) -> Nanos {
        count * self.tick
    }

    fn active_classes(&self) -> impl Iterator<Item = &Class> {
        self.classes.iter().filter(|class| class.active)
    }
}
