//! Outlier detection: what a replica's answers tell about it, and how long a part is to wait there.

use super::Context;
use crate::interface::{Class, Effect, Nanos, Outcome};
use crate::queries::{AttemptsByAge, EndedAttempt};
use crate::stats::{Backoff, DecayingAverage};

/// An attempt is overdue after so many times the fleet's baseline response time.
const OVERDUE_RATIO: f64 = 5.5;
/// Weight of a new response time in a replica's smoothed one.
const LATENCY_GAIN: f64 = 0.5;
/// That loses half its distance to the fleet's in so many objectives: a skipped replica gets another look.
const LATENCY_HALF_LIFE: f64 = 0.5;
/// Weight of a new answer in a replica's error rate, which loses half of itself in so many objectives.
const ERROR_GAIN: f64 = 0.15;
const ERROR_HALF_LIFE: f64 = 4.0;
/// What an error costs a part that may be repeated, in mean response times: the way there and another.
const ERROR_COST: f64 = 2.0;
/// Share of the objective that a latency fades to at most, so that a jam's memory can't outlive it.
const MAX_BASELINE: f64 = 0.25;
/// Capacity of a replica with each of its silent failures in a row, as a share of before.
const FAILURE_FACTOR: f64 = 0.5;

/// Has an attempt been in flight for so long that another is due?
pub fn is_overdue(sent_at: Nanos, context: &Context) -> bool {
    (context.now - sent_at) as f64 > OVERDUE_RATIO * context.fleet.latency.baseline()
}

/// The health of one replica, as its answers tell.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    latency: DecayingAverage,
    error_rate: DecayingAverage,
    pub last_success: Nanos,
    /// Failures in a row without any answer, until the next probe.
    backoff: Backoff,
}

impl OutlierDetector {
    /// A replica that nothing is known of is taken for one like the others.
    pub fn new(latency: f64, now: Nanos) -> Self {
        OutlierDetector { latency: DecayingAverage::new(latency, now), ..OutlierDetector::default() }
    }

    /// What it is thought to do after its failures, as a share of what it does when sound.
    pub fn capacity(&self) -> f64 {
        FAILURE_FACTOR.powi(self.backoff.failures() as i32)
    }

    /// Takes how an attempt ended.
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
            // Rejected in no time, yet a full queue is a long wait, whatever was seen before.
            Outcome::Rejected => self.latency.raise_to(context.now, objective as f64),
            // Not sent, lost with an idle connection, or ended early where answers came lately: no sign.
            _ if outcome == Outcome::NotSent || idle_connection => {}
            Outcome::Cancelled | Outcome::Reset | Outcome::Error if brief => {}
            // Given up on while others were answered: the wait is known to be at least this long.
            _ if !silent && outcome != Outcome::ConnectFailed => {
                self.latency.record_lower_bound(context.now, elapsed, LATENCY_GAIN);
            }
            // Nothing answered since it was sent: a probe after two mean response times, then four, ...
            _ => self.backoff.fail(context.now, context.fleet.latency.mean()),
        }
    }

    /// The one judgement of a replica: the wait to expect there, in ns. The longest of what it took lately,
    /// which fades; how long its oldest attempt has been in flight; and what own attempts there cost. One
    /// that was silent, or has an attempt out past the objective, has an objective on top: it is passed over
    /// where another can be had. When a probe is due, classes with parts to spare make it; the others have
    /// half an objective on top, so that nothing is rejected for ever for a silence that is long over.
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

    /// What errors there may cost a part, as time: one that must not run twice is lost with its query.
    /// A replica that fails fast looks idle; parts that can go again find out when it is sound again.
    pub fn error_cost(&self, class: &Class, context: &Context) -> f64 {
        let half_life = ERROR_HALF_LIFE * context.settings.min_latency_objective() as f64;
        let error_rate = self.error_rate.value_at(context.now, half_life, 0.0);
        let lost = class.effect == Effect::NonIdempotent;
        error_rate
            * if lost { class.latency_objective as f64 } else { ERROR_COST * context.fleet.latency.mean() }
    }
}
