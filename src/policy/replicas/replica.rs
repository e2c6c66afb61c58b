//! State of one replica: its health, its slow start, the attempts in flight there and its
//! connections.

use super::outlier::OutlierDetector;
use super::slow_start::SlowStartLimiter;
use crate::interface::{Class, Nanos, ReplicaId, Settings};
use crate::policy::fleet::FleetStatistics;
use crate::queries::AttemptsByAge;

/// Least capacity that is assumed of a failing or warming replica, as a share of its full capacity,
/// so that some parts are sent to probe it.
const MIN_CAPACITY_SHARE: f64 = 0.1;
/// Divisor of the shortest latency objective that gives the time after which an unused connection
/// counts as idle.
const IDLE_DIVISOR: u64 = 4;
/// Share of attempts that still use idle connections while these are silently dropped, to detect
/// when they no longer are.
const IDLE_SAMPLE_SHARE: f64 = 0.2;

/// State of one replica.
#[derive(Debug, Default)]
pub struct Replica {
    /// Health, as estimated from the answers of the replica.
    pub health: OutlierDetector,
    /// Limiter of the work sent after a start.
    pub slow_start: SlowStartLimiter,
    /// Attempts in flight at the replica.
    pub in_flight: AttemptsByAge,
    /// Time at which a connection to the replica was last used; 0 if none was.
    pub last_used_at: Nanos,
    /// Whether the connection in use was idle before.
    pub was_idle: bool,
}

/// A replica that a part may be sent to.
pub struct Candidate {
    /// The replica.
    pub replica: ReplicaId,
    /// Wait to expect there, in ns.
    pub expected_wait: f64,
    /// Sum of the expected wait and the expected cost of errors, in ns.
    pub cost: f64,
}

impl Replica {
    /// Creates the state of a replica that was just listed; `drawn_gap` is the gap before the first
    /// part in slow start, as a multiple of the mean gap between parts.
    pub fn new(fleet: &FleetStatistics, drawn_gap: f64, now: Nanos) -> Self {
        Replica {
            health: OutlierDetector::new(fleet.latency.mean(), now),
            slow_start: SlowStartLimiter::new(drawn_gap),
            ..Replica::default()
        }
    }

    /// Returns the capacity of the replica, as a share of its capacity when warm and healthy.
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

    /// Records whether the next attempt uses an idle connection, and returns whether idle
    /// connections must be closed first. While idle connections are silently dropped, all but a
    /// sample of the attempts require this.
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
