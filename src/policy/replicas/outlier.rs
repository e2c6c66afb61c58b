//! Outlier detection: the health of a replica by its answers, and the expected wait there.

use super::Context;
use crate::interface::{Class, Effect, Nanos, Outcome};
use crate::queries::{AttemptsByAge, EndedAttempt};
use crate::stats::{Backoff, DecayingAverage};

/// An attempt is overdue after this multiple of the fleet's baseline response time.
const OVERDUE_RATIO: f64 = 5.5;
/// The gain of a replica's smoothed response time.
const LATENCY_GAIN: f64 = 0.5;
/// Its half-life towards the fleet's mean, in objectives: a skipped replica is tried again.
const LATENCY_HALF_LIFE: f64 = 0.5;
/// The gain of a replica's error rate, and its half-life in objectives.
const ERROR_GAIN: f64 = 0.15;
const ERROR_HALF_LIFE: f64 = 4.0;
/// The cost of an error to a part that may be retried, in mean response times: the attempt and its retry.
const ERROR_COST: f64 = 2.0;
/// The highest baseline that a latency decays to, as a share of the objective: past overload must decay.
const MAX_BASELINE: f64 = 0.25;
/// The factor on a replica's capacity for each consecutive failure without an answer.
const FAILURE_FACTOR: f64 = 0.5;

/// An attempt sent at this time has been in flight for so long that a retry is due.
pub fn is_overdue(sent_at: Nanos, context: &Context) -> bool {
    (context.now - sent_at) as f64 > OVERDUE_RATIO * context.fleet.latency.baseline()
}

/// The health of one replica, estimated from its answers.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    latency: DecayingAverage,
    error_rate: DecayingAverage,
    pub last_success: Nanos,
    /// Consecutive failures without any answer, and when the next probe is due.
    backoff: Backoff,
}

impl OutlierDetector {
    /// A new replica is assumed to be like the others.
    pub fn new(latency: f64, now: Nanos) -> Self {
        OutlierDetector { latency: DecayingAverage::new(latency, now), ..OutlierDetector::default() }
    }

    /// Its assumed capacity after its failures, as a share of that when healthy.
    pub fn capacity(&self) -> f64 {
        FAILURE_FACTOR.powi(self.backoff.failures() as i32)
    }

    /// Records how an attempt ended.
    pub fn record(&mut self, ended: &EndedAttempt, context: &Context) {
        let EndedAttempt { attempt, outcome, silent, .. } = *ended;
        let elapsed = ended.elapsed as f64;
        let objective = context.settings.class(attempt.class).latency_objective;
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            let half_life = ERROR_HALF_LIFE * context.settings.min_latency_objective() as f64;
            let error = f64::from(outcome == Outcome::Error);
            self.error_rate.record_decayed(context.now, half_life, error, ERROR_GAIN);
        }
        let answered_lately = context.now - self.last_success < objective;
        let brief = elapsed < OVERDUE_RATIO * context.fleet.latency.baseline() && answered_lately;
        let idle_connection =
            attempt.idle_connection && silent && context.fleet.connections.idle_are_dropped();
        match outcome {
            Outcome::Ok => {
                self.backoff.succeed();
                self.latency.record(context.now, elapsed, LATENCY_GAIN);
                self.last_success = context.now;
            }
            // A rejection is fast, but it means a full queue and thus a long wait.
            Outcome::Rejected => self.latency.raise_to(context.now, objective as f64),
            // Not sent, lost on an idle connection, or ended early amid recent answers: says nothing.
            _ if outcome == Outcome::NotSent || idle_connection => {}
            Outcome::Cancelled | Outcome::Reset | Outcome::Error if brief => {}
            // Given up on while others were answered: the response time is at least this long.
            _ if !silent && outcome != Outcome::ConnectFailed => {
                self.latency.record_lower_bound(context.now, elapsed, LATENCY_GAIN);
            }
            // No answer since it was sent: probed after two mean response times, then four, and so on.
            _ => self.backoff.fail(context.now, context.fleet.latency.mean()),
        }
    }

    /// The expected wait at a replica, in ns: the longest of its decaying response time, the age of its
    /// oldest attempt in flight, and the queueing of this instance's attempts there. An ejected replica,
    /// which fails or has an attempt beyond the objective, has an objective added: it is used only if there
    /// is no other. A due probe is made by classes that allow partial answers; for other classes half an
    /// objective is added, so that a failure of long ago does not reject their queries for ever.
    pub fn expected_wait(&self, in_flight: &AttemptsByAge, class: &Class, context: &Context) -> f64 {
        let objective = context.settings.min_latency_objective() as f64;
        let baseline = context.fleet.latency.mean().min(objective * MAX_BASELINE);
        let half_life = (LATENCY_HALF_LIFE * objective).max(context.fleet.connections.reuse_interval());
        let latency = self.latency.value_at(context.now, half_life, baseline);
        let oldest = in_flight.oldest().map_or(0, |sent_at| context.now - sent_at);
        let each = context.fleet.latency.per_in_flight().min(objective * MAX_BASELINE);
        let wait = latency.max(oldest as f64).max(each * (in_flight.len() as f64 + 1.0));
        let failing = self.backoff.is_failing();
        let probe = in_flight.is_empty() && self.backoff.is_due(context.now);
        let ejected = (failing && !probe) || oldest >= class.latency_objective;
        let penalty = if ejected { 1.0 } else { f64::from(failing && !class.allows_partial()) / 2.0 };
        wait + penalty * class.latency_objective as f64
    }

    /// The expected cost of errors, in ns: a part that is not idempotent is lost with its query. A replica
    /// that fails fast looks idle; parts that may be retried detect when it has recovered.
    pub fn error_cost(&self, class: &Class, context: &Context) -> f64 {
        let half_life = ERROR_HALF_LIFE * context.settings.min_latency_objective() as f64;
        let error_rate = self.error_rate.value_at(context.now, half_life, 0.0);
        let lost = class.effect == Effect::NonIdempotent;
        error_rate
            * if lost { class.latency_objective as f64 } else { ERROR_COST * context.fleet.latency.mean() }
    }
}
