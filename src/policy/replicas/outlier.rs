//! Outlier detection: estimates the health of a replica, and the wait to expect there, from the
//! outcomes of attempts.

use crate::interface::{Class, Effect, Nanos, Outcome, Settings};
use crate::policy::fleet::FleetStatistics;
use crate::queries::{AttemptsByAge, EndedAttempt};
use crate::stats::{Backoff, DecayingAverage};

/// Gain of a replica's smoothed response time.
const LATENCY_GAIN: f64 = 0.5;
/// Half-life of the distance between a replica's smoothed response time and the mean over all
/// replicas, in latency objectives.
const LATENCY_HALF_LIFE_OBJECTIVES: f64 = 0.5;
/// Gain of a replica's error rate.
const ERROR_GAIN: f64 = 0.15;
/// Half-life of the error rate, in latency objectives.
const ERROR_HALF_LIFE_OBJECTIVES: f64 = 4.0;
/// Cost of an error to a part that may be retried, in mean response times: one for the attempt and
/// one for its retry.
const ERROR_COST_RESPONSE_TIMES: f64 = 2.0;
/// Maximum of the baseline that a replica's response time decays to, and of the wait for each
/// attempt in flight, as a share of the latency objective. Without it the fleet's averages, once
/// raised by an overload, would keep the estimates high.
const MAX_BASELINE_SHARE: f64 = 0.25;
/// Factor on a replica's capacity for each consecutive failure without an answer.
const FAILURE_CAPACITY_FACTOR: f64 = 0.5;
/// Penalty of an ejected replica, in latency objectives of the class.
const EJECTION_PENALTY_OBJECTIVES: f64 = 1.0;
/// Penalty of a due probe for a class that needs all parts, in its latency objectives.
const PROBE_PENALTY_OBJECTIVES: f64 = 0.5;

/// Evidence that an ended attempt gives about its replica.
enum Evidence {
    /// The replica answered.
    Answer,
    /// The replica's queue is full.
    FullQueue,
    /// The response time is at least the time that the attempt took.
    LowerBound,
    /// The replica answered nothing since the attempt was sent.
    Silence,
    /// The attempt gives no evidence.
    None,
}

/// Health of one replica, estimated from its answers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    response_time: DecayingAverage,
    error_rate: DecayingAverage,
    last_success_at: Nanos,
    /// Number of consecutive failures without any answer, and the time of the next probe.
    backoff: Backoff,
}

impl OutlierDetector {
    /// Creates the detector of a new replica, with the response time, in ns, that is assumed until
    /// it has answered.
    pub fn new(response_time: f64, now: Nanos) -> Self {
        OutlierDetector {
            response_time: DecayingAverage::new(response_time, now),
            ..OutlierDetector::default()
        }
    }

    /// Returns the capacity assumed after failures, as a share of the capacity when healthy.
    pub fn capacity(&self) -> f64 {
        FAILURE_CAPACITY_FACTOR.powi(self.backoff.failures() as i32)
    }

    /// Returns whether the replica has answered anything since a time.
    pub fn has_answered_since(&self, at: Nanos) -> bool {
        self.last_success_at > at
    }

    /// Returns whether the replica has answered nothing during the last `elapsed`, the time that an
    /// attempt took.
    pub fn is_silent_for(&self, elapsed: Nanos, now: Nanos) -> bool {
        self.last_success_at < now.saturating_sub(elapsed)
    }

    /// Records how an attempt ended.
    pub fn record(
        &mut self,
        ended: &EndedAttempt,
        fleet: &FleetStatistics,
        settings: &Settings,
        now: Nanos,
    ) {
        let objective = settings.class(ended.attempt.class).latency_objective;
        self.record_error_rate(ended.outcome, settings.min_latency_objective(), now);
        match self.evidence(ended, objective, fleet, now) {
            Evidence::Answer => {
                self.backoff.succeed();
                self.response_time
                    .record(now, ended.elapsed as f64, LATENCY_GAIN);
                self.last_success_at = now;
            }
            // A rejection is fast, but a full queue means a long wait.
            Evidence::FullQueue => self.response_time.raise_to(now, objective as f64),
            Evidence::LowerBound => {
                self.response_time
                    .record_lower_bound(now, ended.elapsed as f64, LATENCY_GAIN);
            }
            Evidence::Silence => self.backoff.fail(now, fleet.latency.mean()),
            Evidence::None => {}
        }
    }

    fn record_error_rate(&mut self, outcome: Outcome, min_objective: Nanos, now: Nanos) {
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            let error = f64::from(outcome == Outcome::Error);
            let half_life = error_half_life(min_objective);
            self.error_rate
                .record_decayed(now, half_life, error, ERROR_GAIN);
        }
    }

    fn evidence(
        &self,
        ended: &EndedAttempt,
        objective: Nanos,
        fleet: &FleetStatistics,
        now: Nanos,
    ) -> Evidence {
        let answered_recently = now - self.last_success_at < objective;
        let inconclusive =
            (ended.elapsed as f64) < fleet.latency.overdue_after() && answered_recently;
        let lost_on_idle_connection =
            ended.attempt.idle_connection && ended.silent && fleet.connections.idle_are_dropped();
        match ended.outcome {
            Outcome::Ok => Evidence::Answer,
            Outcome::Rejected => Evidence::FullQueue,
            Outcome::NotSent => Evidence::None,
            _ if lost_on_idle_connection => Evidence::None,
            Outcome::Cancelled | Outcome::Reset | Outcome::Error if inconclusive => Evidence::None,
            Outcome::ConnectFailed => Evidence::Silence,
            _ if ended.silent => Evidence::Silence,
            _ => Evidence::LowerBound,
        }
    }

    /// Returns the wait to expect at the replica, in ns.
    ///
    /// This is the longest of the decayed response time, the age of the oldest attempt in flight
    /// and the queueing time of this coordinator's attempts in flight there, plus a penalty while
    /// the replica is ejected or due to be probed.
    pub fn expected_wait(
        &self,
        in_flight: &AttemptsByAge,
        class: &Class,
        fleet: &FleetStatistics,
        min_objective: Nanos,
        now: Nanos,
    ) -> f64 {
        let max_baseline = min_objective as f64 * MAX_BASELINE_SHARE;
        let oldest_age = in_flight.oldest().map_or(0, |sent_at| now - sent_at);
        let wait_for_each = fleet.latency.per_in_flight().min(max_baseline);
        let queueing = wait_for_each * (in_flight.len() as f64 + 1.0);
        let wait = self
            .decayed_response_time(fleet, min_objective, now)
            .max(oldest_age as f64)
            .max(queueing);
        wait + self.penalty(in_flight, oldest_age, class, now) * class.latency_objective as f64
    }

    /// Returns the smoothed response time, in ns, which decays towards the mean over all replicas,
    /// so that a replica that was skipped is tried again.
    fn decayed_response_time(
        &self,
        fleet: &FleetStatistics,
        min_objective: Nanos,
        now: Nanos,
    ) -> f64 {
        let objective = min_objective as f64;
        let baseline = fleet.latency.mean().min(objective * MAX_BASELINE_SHARE);
        let shortest = LATENCY_HALF_LIFE_OBJECTIVES * objective;
        let half_life = shortest.max(fleet.connections.reuse_interval());
        self.response_time.value_at(now, half_life, baseline)
    }

    /// Returns the penalty on the replica, in latency objectives of the class.
    ///
    /// A replica is ejected while it fails, or has an attempt in flight for longer than the latency
    /// objective: it is used only if there is no other. Once its backoff is over, classes that
    /// allow partial answers probe it. For other classes a smaller penalty remains, so that an old
    /// failure does not cause their queries to be rejected forever.
    fn penalty(
        &self,
        in_flight: &AttemptsByAge,
        oldest_age: Nanos,
        class: &Class,
        now: Nanos,
    ) -> f64 {
        let failing = self.backoff.is_failing();
        let probe_due = in_flight.is_empty() && self.backoff.is_due(now);
        let ejected = (failing && !probe_due) || oldest_age >= class.latency_objective;
        if ejected {
            EJECTION_PENALTY_OBJECTIVES
        } else if failing && !class.allows_partial() {
            PROBE_PENALTY_OBJECTIVES
        } else {
            0.0
        }
    }

    /// Returns the expected cost of errors, in ns.
    ///
    /// A replica that fails fast has a short expected wait; without this cost it would be sent most
    /// parts. The cost is high for a non-idempotent part, whose query fails with it, and lower for
    /// parts that may be retried, so that these detect when the replica has recovered.
    pub fn error_cost(
        &self,
        class: &Class,
        fleet: &FleetStatistics,
        min_objective: Nanos,
        now: Nanos,
    ) -> f64 {
        let error_rate = self
            .error_rate
            .value_at(now, error_half_life(min_objective), 0.0);
        let cost_of_error = if class.effect == Effect::NonIdempotent {
            class.latency_objective as f64
        } else {
            ERROR_COST_RESPONSE_TIMES * fleet.latency.mean()
        };
        error_rate * cost_of_error
    }
}

/// Returns the half-life of an error rate, in ns.
fn error_half_life(min_objective: Nanos) -> f64 {
    ERROR_HALF_LIFE_OBJECTIVES * min_objective as f64
}
