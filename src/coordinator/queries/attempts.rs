//! The life cycle of an attempt: dispatch, outcome, timeout and cancellation.

use super::in_flight::InFlightAttempt;
use super::pending::{PendingPart, PendingQuery};
use super::QueryTracker;
use crate::coordinator::active_settings::ActiveSettings;
use crate::coordinator::counters::{Counter, COUNTERS};
use crate::coordinator::diagnostics::check_invariant;
use crate::coordinator::messages::{AttemptEnd, AttemptRequest, Command};
use crate::coordinator::metrics::ClassMetrics;
use crate::coordinator::request::AttemptKey;
use crate::coordinator::turn::Turn;
use crate::interface::{Event, Outcome, PartId, ReplicaId};
use crate::time::Micros;
use std::sync::Arc;

/// The policy's order to dispatch an attempt at a part.
pub(in crate::coordinator) struct DispatchOrder {
    /// The part.
    pub(in crate::coordinator) part: PartId,
    /// The server.
    pub(in crate::coordinator) replica: ReplicaId,
    /// The time for which the coordinator waits for the value.
    pub(in crate::coordinator) timeout: Micros,
    /// The time by which the write must have started; a later write would repeat the part outside
    /// the deduplication window of its class.
    pub(in crate::coordinator) write_by: Micros,
}

impl QueryTracker {
    /// Dispatches an attempt at a part.
    pub(in crate::coordinator) fn dispatch(
        &mut self,
        order: &DispatchOrder,
        settings: &ActiveSettings,
        turn: &mut Turn<'_>,
    ) {
        let Some(pending) = self.pending.part(order.part) else {
            return check_invariant(false, "an attempt was ordered for a part that has ended");
        };
        let no_attempt_in_flight = || !self.in_flight.contains_part(order.part);
        check_invariant(
            settings.hedging() || no_attempt_in_flight(),
            "a part has two attempts in flight without hedging",
        );
        COUNTERS.attempts_dispatched.increment();
        let key = self.in_flight.next_key(order.part);
        let attempt = new_attempt(order, pending.query, turn.now);
        let metrics = self.classes.metrics(attempt.class);
        let request = new_request(key, &attempt, &pending, metrics);
        self.request_ids.acquire(&attempt.request_id);
        self.classes.acquire(attempt.class);
        self.in_flight.insert(key, attempt);
        turn.commands.push(Command::Dispatch {
            replica: order.replica,
            attempts: vec![request],
        });
    }

    /// Records that some of an attempt's request was written.
    pub(in crate::coordinator) fn write_started(&mut self, key: AttemptKey) {
        self.in_flight.mark_write_started(key);
    }

    /// Records that an attempt's request was written to the last byte.
    pub(in crate::coordinator) fn fully_written(&mut self, key: AttemptKey) {
        COUNTERS
            .attempts_fully_written
            .add(usize::from(self.is_in_flight(key)));
        self.in_flight.mark_write_started(key);
    }

    /// Records the end of an attempt. An attempt that was cancelled or has timed out is ignored,
    /// since its outcome is already recorded.
    pub(in crate::coordinator) fn attempt_ended(
        &mut self,
        key: AttemptKey,
        end: AttemptEnd,
        turn: &mut Turn<'_>,
    ) {
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        let outcome = match end {
            AttemptEnd::Served(value) => {
                self.pending.store(key.part, value);
                Outcome::Ok
            }
            AttemptEnd::Failed(outcome) => outcome,
        };
        turn.events
            .push(record_outcome(key, &attempt, outcome, turn.now));
    }

    /// Ends the attempts that have timed out or whose write has not started in time.
    pub(in crate::coordinator) fn expire_attempts(&mut self, turn: &mut Turn<'_>) {
        while let Some(key) = self.in_flight.next_expired(turn.now) {
            let Some(attempt) = self.stop_attempt(key, turn) else {
                continue;
            };
            // An attempt whose write has not started is never sent and never runs, so another
            // attempt is safe even at a part that must not be repeated. An attempt whose write has
            // started is written to its last byte, and may run.
            let outcome = if attempt.write_started {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            };
            turn.events
                .push(record_outcome(key, &attempt, outcome, turn.now));
        }
    }

    /// Cancels an attempt. Its outcome is reported to the policy in the next turn.
    pub(in crate::coordinator) fn cancel(&mut self, key: AttemptKey, turn: &mut Turn<'_>) {
        let Some(attempt) = self.stop_attempt(key, turn) else {
            return;
        };
        let outcome = if attempt.write_started {
            Outcome::Cancelled
        } else {
            Outcome::NotSent
        };
        turn.deferred_events
            .push(record_outcome(key, &attempt, outcome, turn.now));
    }

    /// Removes an attempt, and commands its driver to stop waiting for it.
    fn stop_attempt(&mut self, key: AttemptKey, turn: &mut Turn<'_>) -> Option<InFlightAttempt> {
        let attempt = self.remove_attempt(key)?;
        turn.commands.push(Command::CancelAttempt {
            replica: attempt.replica,
            key,
        });
        Some(attempt)
    }

    /// Removes an attempt and releases its request id and class. An attempt that was removed cannot
    /// have a second outcome.
    fn remove_attempt(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        let attempt = self.in_flight.remove(key)?;
        self.request_ids.release(&attempt.request_id);
        self.classes.release(attempt.class);
        Some(attempt)
    }
}

/// Returns an attempt that is dispatched now.
fn new_attempt(order: &DispatchOrder, query: &PendingQuery, now: Micros) -> InFlightAttempt {
    let deadline = (now + order.timeout).min(query.deadline);
    InFlightAttempt {
        replica: order.replica,
        dispatched_at: now,
        deadline,
        // The connection may be established much later than the dispatch. The timer cancels the
        // attempt before its write could start too late.
        timer_at: deadline.min(order.write_by),
        write_started: false,
        request_id: query.request.request_id.clone(),
        class: query.class,
    }
}

/// Returns the request of an attempt to its server.
fn new_request(
    key: AttemptKey,
    attempt: &InFlightAttempt,
    pending: &PendingPart<'_>,
    metrics: &Arc<ClassMetrics>,
) -> AttemptRequest {
    AttemptRequest {
        key,
        request_id: attempt.request_id.clone(),
        shard: pending.part.shard,
        payload: pending.query.request.payload.clone(),
        context: pending.part.context.clone(),
        timeout: attempt.deadline.since(attempt.dispatched_at),
        metrics: metrics.clone(),
    }
}

/// Counts the outcome of an attempt, and returns the event that reports it to the policy.
fn record_outcome(
    key: AttemptKey,
    attempt: &InFlightAttempt,
    outcome: Outcome,
    now: Micros,
) -> Event {
    outcome_counter(outcome).increment();
    let waited = now.since(attempt.dispatched_at).to_nanos();
    Event::Outcome {
        part: key.part,
        attempt: key.attempt,
        outcome,
        elapsed: waited,
    }
}

/// Returns the counter of the attempts with this outcome.
fn outcome_counter(outcome: Outcome) -> &'static Counter {
    match outcome {
        Outcome::Ok => &COUNTERS.attempts_served,
        Outcome::Error => &COUNTERS.attempts_error,
        Outcome::Rejected => &COUNTERS.attempts_rejected,
        Outcome::TimedOut => &COUNTERS.attempts_timed_out,
        Outcome::ConnectFailed => &COUNTERS.attempts_connect_failed,
        Outcome::Reset => &COUNTERS.attempts_reset,
        Outcome::Cancelled => &COUNTERS.attempts_cancelled,
        Outcome::NotSent => &COUNTERS.attempts_not_sent,
    }
}
