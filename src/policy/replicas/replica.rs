//! One replica: its health, its warm-up, the attempts in flight there and its connections.

use super::outlier::OutlierDetector;
use super::slow_start::SlowStartLimiter;
use crate::interface::{Class, Nanos, ReplicaId, Settings};
use crate::policy::fleet::FleetStatistics;
use crate::queries::AttemptsByAge;

/// Least share of its capacity at which a failing or warming replica counts: some parts must probe
/// it.
const MIN_CAPACITY_SHARE: f64 = 0.1;
/// Fraction of the shortest latency objective after which an unused connection counts as idle.
const IDLE_DIVISOR: u64 = 4;
/// Share of sends that still use idle connections while these are dropped, to detect when that
/// ends.
const IDLE_SAMPLE_SHARE: f64 = 0.2;

/// State of one replica.
#[derive(Debug, Default)]
pub struct Replica {
    /// Health, by the answers of the replica.
    pub health: OutlierDetector,
    /// Guard of the load after a start.
    pub slow_start: SlowStartLimiter,
    /// Attempts in flight at the replica.
    pub in_flight: AttemptsByAge,
    /// Time at which a connection to the replica was last used; 0 if none was.
    pub last_used_at: Nanos,
    /// Whether the connection in use had been idle before.
    pub was_idle: bool,
}

/// A replica that a part may be sent to.
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// Wait to expect there, in ns.
    pub expected_wait: f64,
    /// Expected wait and cost of errors, in ns.
    pub cost: f64,
}

impl Replica {
    /// Creates the state of a replica that was just listed; `drawn_gap` in mean gaps between parts.
    pub fn new(fleet: &FleetStatistics, drawn_gap: f64, now: Nanos) -> Self {
        Replica {
            health: OutlierDetector::new(fleet.latency.mean(), now),
            slow_start: SlowStartLimiter::new(drawn_gap),
            ..Replica::default()
        }
    }

    /// Returns the capacity of the replica, as a share of that when warm and healthy.
    pub fn capacity(&self, settings: &Settings, now: Nanos) -> f64 {
        let warm = self.slow_start.capacity(settings.slow_start, now);
        (warm * self.health.capacity()).max(MIN_CAPACITY_SHARE)
    }

    /// Returns this replica as a candidate for a part of a class.
    pub fn candidate(
        &self,
        id: ReplicaId,
        class: &Class,
        fleet: &FleetStatistics,
        min_objective: Nanos,
        now: Nanos,
    ) -> Candidate {
        let expected_wait =
            self.health
                .expected_wait(&self.in_flight, class, fleet, min_objective, now);
        let error_cost = self.health.error_cost(class, fleet, min_objective, now);
        Candidate {
            replica: id,
            expected_wait,
            cost: expected_wait + error_cost,
        }
    }

    /// Notes whether the next attempt uses an idle connection, and returns whether idle connections
    /// must be closed first: while they are silently dropped, all but a sample are closed.
    pub fn prepare_connection(
        &mut self,
        fleet: &FleetStatistics,
        min_objective: Nanos,
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) -> bool {
        if self.last_used_at >= now || !self.in_flight.is_empty() {
            return false;
        }
        let idle_since = now.saturating_sub(min_objective / IDLE_DIVISOR);
        let idle = (1..idle_since).contains(&self.last_used_at);
        let close = idle && fleet.connections.idle_are_dropped() && rng.f64() > IDLE_SAMPLE_SHARE;
        self.was_idle = idle && !close;
        close
    }
}
