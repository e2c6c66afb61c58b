//! Attempts: decides which first attempts, retries and hedged requests are sent, and enforces the
//! rules on sending.

mod next_step;
mod retry_limiter;
mod rules;

#[cfg(test)]
mod tests;

pub use rules::may_attempt_again;

use super::replicas::{ReplicaTable, Target};
use crate::interface::{Action, Nanos, ReplicaId, Settings};
use crate::queries::{Part, Query};
use next_step::{next_step, NextStep};
use retry_limiter::RetryLimiter;
use rules::write_by;

/// Maximum number of attempts at a part in flight at once, where hedging is allowed.
const MAX_HEDGED_ATTEMPTS: usize = 2;

/// An attempt that was decided on, and is sent if the rules allow it.
#[derive(Debug, Clone, Copy)]
struct PlannedAttempt {
    /// Index of the part among those of its query.
    part_index: usize,
    replica: ReplicaId,
    timeout: Nanos,
}

/// Returns the timeout of an attempt that is sent now.
///
/// The timeout lasts until the query's deadline if the query is late already, or if a late answer
/// is of use: in sampled queries, and where late answers have weight, unless low-priority queries
/// are being rejected. Otherwise it lasts until the query must be answered.
pub fn attempt_timeout(
    query: &Query,
    is_rejecting: bool,
    settings: &Settings,
    now: Nanos,
) -> Nanos {
    let is_measured = query.sampled && !settings.reduction.skip_late_samples;
    let late_answer_counts = settings.class(query.class).late_weight > 0.0;
    let awaits_late_answer = is_measured || (late_answer_counts && !is_rejecting);
    let end = if awaits_late_answer || now >= query.respond_by {
        query.deadline
    } else {
        query.respond_by
    };
    end.saturating_sub(now).max(settings.tick)
}

/// Sender of attempts, which enforces the retry budget.
#[derive(Debug, Default)]
pub struct AttemptSender {
    retries: RetryLimiter,
}

impl AttemptSender {
    /// Counts a query or part that was received towards the retry budget.
    pub fn record_received(&mut self, now: Nanos) {
        self.retries.record_received(now);
    }

    /// Removes records that are too old to count towards the retry budget.
    pub fn expire(&mut self, settings: &Settings, now: Nanos) {
        self.retries.expire(settings, now);
    }

    /// Sends, retries and cancels attempts at the parts of a query as needed, and returns the
    /// actions that do so.
    pub fn send_parts(
        &mut self,
        query: &mut Query,
        timeout: Nanos,
        replicas: &mut ReplicaTable,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for part_index in 0..query.parts.len() {
            let part = &query.parts[part_index];
            match next_step(query, part, replicas, &self.retries, settings, now) {
                NextStep::Send(replica) => {
                    let planned = PlannedAttempt {
                        part_index,
                        replica,
                        timeout,
                    };
                    actions.extend(self.send(query, planned, replicas, settings, rng, now));
                }
                NextStep::Cancel => actions.extend(part.cancellations()),
                NextStep::Wait(_) => {}
            }
        }
        actions
    }

    /// Sends an attempt if the rules allow it. Attempts are sent only here.
    fn send(
        &mut self,
        query: &mut Query,
        planned: PlannedAttempt,
        replicas: &mut ReplicaTable,
        settings: &Settings,
        rng: &mut fastrand::Rng,
        now: Nanos,
    ) -> Vec<Action> {
        if !self.is_allowed(query, planned, replicas, settings, now) {
            return Vec::new();
        }
        let class = settings.class(query.class);
        let target = target_of(query, planned.part_index);
        let replica = planned.replica;
        let part = &mut query.parts[planned.part_index];
        let write_by = write_by(part, class, settings);
        if !part.attempts.is_empty() {
            self.retries.record_retry(now);
        }
        let key = part.add_attempt(replica, now);
        let mut actions = Vec::new();
        if replicas.record_send(key, target, replica, settings, rng, now) {
            actions.push(Action::CloseIdle(replica));
        }
        actions.push(Action::Send {
            part: key.part,
            replica,
            timeout: planned.timeout,
            write_by,
        });
        actions
    }

    /// Returns whether every rule on sending allows an attempt, regardless of why it was planned.
    fn is_allowed(
        &self,
        query: &Query,
        planned: PlannedAttempt,
        replicas: &ReplicaTable,
        settings: &Settings,
        now: Nanos,
    ) -> bool {
        let class = settings.class(query.class);
        let part = &query.parts[planned.part_index];
        let target = target_of(query, planned.part_index);
        let is_retry = !part.attempts.is_empty();
        let is_wanted = query.is_open() && query.is_in_step(part) && !part.is_answered();
        let in_time = now < query.deadline && now < write_by(part, class, settings);
        is_wanted
            && in_time
            && may_attempt_again(part, class)
            && allows_concurrent_attempt(part, settings)
            && (!is_retry || self.retries.allows(settings, now))
            && replicas.accepts(target, planned.replica, settings, now)
    }
}

/// Returns whether the settings allow one more attempt at a part to be in flight.
fn allows_concurrent_attempt(part: &Part, settings: &Settings) -> bool {
    let max_in_flight = if settings.hedging {
        MAX_HEDGED_ATTEMPTS
    } else {
        1
    };
    part.in_flight().count() < max_in_flight
}

/// Returns the target of a part.
fn target_of(query: &Query, part_index: usize) -> Target {
    Target {
        class: query.class,
        shard: query.parts[part_index].shard,
    }
}
