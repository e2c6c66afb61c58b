//! Decides the next step for one part of a query: to send an attempt, to cancel one, or to wait.

use super::retry_limiter::RetryLimiter;
use super::rules::may_attempt_again;
use crate::interface::{Class, Effect, Nanos, ReplicaId, Settings};
use crate::policy::replicas::{Candidate, ReplicaTable, Target};
use crate::queries::{Attempt, Part, Query};

/// Next step for a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send an attempt to this replica.
    Send(ReplicaId),
    /// Cancel the attempts in flight, so that the part can be retried elsewhere.
    Cancel,
    /// Wait, for this reason.
    Wait(WaitReason),
}

/// Reason why nothing is done about a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// The part does not belong to the current step of the query.
    OtherStep,
    /// The part is omitted.
    Omitted,
    /// The part is answered.
    Answered,
    /// The effect or the maximum number of attempts of the class allows no other attempt.
    NoAttemptAllowed,
    /// An attempt is in flight and not overdue.
    InFlight,
    /// Two attempts are in flight already.
    Hedged,
    /// The retry budget is spent.
    RetryBudgetSpent,
    /// No replica accepts the part.
    NoReplica,
    /// Another attempt would be answered too late.
    TooLate,
}

/// Decides the next step for a part of a query.
pub fn next_step(
    query: &Query,
    part: &Part,
    replicas: &ReplicaTable,
    retries: &RetryLimiter,
    settings: &Settings,
    now: Nanos,
) -> NextStep {
    let class = settings.class(query.class);
    if let Some(reason) = no_attempt_reason(query, part, class) {
        return NextStep::Wait(reason);
    }
    let target = Target {
        class: query.class,
        shard: part.shard,
    };
    if part.attempts.is_empty() {
        return match replicas.choose(target, &[], settings, now) {
            Some(candidate) => NextStep::Send(candidate.replica),
            None => NextStep::Wait(WaitReason::NoReplica),
        };
    }
    let in_flight = part.in_flight().next();
    if let Some(reason) = retry_wait_reason(part, in_flight, replicas, retries, settings, now) {
        return NextStep::Wait(reason);
    }
    let Some(candidate) = retry_candidate(part, in_flight, target, replicas, settings, now) else {
        return NextStep::Wait(WaitReason::NoReplica);
    };
    match in_flight {
        Some(_) => hedge(query, part, &candidate, settings, now),
        None => retry(query, part, &candidate, class, now),
    }
}

/// Returns the reason why a part needs no attempt, or may not have another one; `None` if it may
/// need one.
fn no_attempt_reason(query: &Query, part: &Part, class: &Class) -> Option<WaitReason> {
    if !query.is_in_step(part) {
        Some(WaitReason::OtherStep)
    } else if !part.requested {
        Some(WaitReason::Omitted)
    } else if part.is_answered() {
        Some(WaitReason::Answered)
    } else if !may_attempt_again(part, class) {
        Some(WaitReason::NoAttemptAllowed)
    } else {
        None
    }
}

/// Returns the reason why a part that was attempted is not retried yet; `None` if a retry is due.
fn retry_wait_reason(
    part: &Part,
    in_flight: Option<&Attempt>,
    replicas: &ReplicaTable,
    retries: &RetryLimiter,
    settings: &Settings,
    now: Nanos,
) -> Option<WaitReason> {
    let is_overdue = |attempt: &Attempt| {
        let age = now - attempt.sent_at;
        age as f64 > replicas.latency().overdue_after()
    };
    if in_flight.is_some_and(|attempt| !is_overdue(attempt)) {
        Some(WaitReason::InFlight)
    } else if part.in_flight().count() > 1 {
        Some(WaitReason::Hedged)
    } else if !retries.allows(settings, now) {
        Some(WaitReason::RetryBudgetSpent)
    } else {
        None
    }
}

/// Returns the replica for another attempt: one that was not tried yet or, if all were, one where
/// no attempt at the part is in flight.
fn retry_candidate(
    part: &Part,
    in_flight: Option<&Attempt>,
    target: Target,
    replicas: &ReplicaTable,
    settings: &Settings,
    now: Nanos,
) -> Option<Candidate> {
    let tried: Vec<ReplicaId> = part.attempts.iter().map(|a| a.replica).collect();
    let busy: Vec<ReplicaId> = in_flight.iter().map(|a| a.replica).collect();
    replicas
        .choose(target, &tried, settings, now)
        .or_else(|| replicas.choose(target, &busy, settings, now))
}

/// Decides the next step for a part whose attempt in flight is overdue. It is hedged if an answer
/// is expected in time, or if it belongs to the follow-up step. Where hedging is not allowed, an
/// idempotent attempt is cancelled first if that is possible, and the part is retried afterwards.
fn hedge(
    query: &Query,
    part: &Part,
    candidate: &Candidate,
    settings: &Settings,
    now: Nanos,
) -> NextStep {
    let class = settings.class(query.class);
    let in_time = is_in_time(query, candidate, now);
    let cancel_first =
        !settings.hedging && settings.cancellation && class.effect == Effect::Idempotent;
    if in_time && cancel_first {
        NextStep::Cancel
    } else if in_time || part.follow_up {
        NextStep::Send(candidate.replica)
    } else {
        NextStep::Wait(WaitReason::TooLate)
    }
}

/// Decides the next step for a part whose attempts have failed. It is retried if an answer is
/// expected in time. Where late answers have weight, it is also retried if the query is late
/// already or the candidate was not tried yet.
fn retry(query: &Query, part: &Part, candidate: &Candidate, class: &Class, now: Nanos) -> NextStep {
    let tried = part.attempts.iter().any(|a| a.replica == candidate.replica);
    let query_is_late = now >= query.respond_by;
    let late_answer_counts = class.late_weight > 0.0 && (query_is_late || !tried);
    if is_in_time(query, candidate, now) || late_answer_counts {
        NextStep::Send(candidate.replica)
    } else {
        NextStep::Wait(WaitReason::TooLate)
    }
}

/// Returns whether an answer from this replica is expected before the query must be answered.
fn is_in_time(query: &Query, candidate: &Candidate, now: Nanos) -> bool {
    now as f64 + candidate.expected_wait < query.respond_by as f64
}
