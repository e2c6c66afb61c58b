//! Completion: each pending query ends once, with its final answer, or without an answer if its
//! client has disconnected.

use super::pending::{part_ids, PendingQuery};
use super::QueryTracker;
use crate::coordinator::counters::COUNTERS;
use crate::coordinator::diagnostics::check_invariant;
use crate::coordinator::messages::{Answer, Command};
use crate::coordinator::request::{Request, Token};
use crate::coordinator::turn::Turn;
use crate::interface::{ClassId, Effect, Event, QueryId};
use crate::time::Micros;

/// The amount by which a sum of part weights may fall short of a share, since the weights are
/// rounded.
const WEIGHT_TOLERANCE: f64 = 1e-4;

impl QueryTracker {
    /// Removes the query of a client that has disconnected.
    pub(in crate::coordinator) fn abandon(&mut self, token: Token, turn: &mut Turn<'_>) {
        let Some(query) = self.pending.find(token) else {
            return;
        };
        COUNTERS.queries_abandoned.increment();
        turn.events.push(Event::Abandoned(query));
        if let Some(pending) = self.remove_query(query, turn) {
            self.retain_id(&pending);
        }
    }

    /// Keeps the id of an abandoned query in use until its deadline if its parts must not run twice:
    /// they may have run, and a request with the same id would run them again.
    fn retain_id(&mut self, abandoned: &PendingQuery) {
        if self.classes.get(abandoned.class).effect == Effect::NonIdempotent {
            self.request_ids
                .retain(&abandoned.request.request_id, abandoned.deadline);
        }
    }

    /// Answers a query with the values of its parts.
    pub(in crate::coordinator) fn answer(
        &mut self,
        query: QueryId,
        complete: bool,
        turn: &mut Turn<'_>,
    ) {
        let Some(mut pending) = self.remove_query(query, turn) else {
            return check_invariant(
                false,
                "an answer was ordered for a query that is not pending",
            );
        };
        let class = self.classes.get(pending.class);
        let min_weight = if complete {
            class.required_share
        } else {
            class.min_share
        };
        let has_required_weight = pending.served_weight() + WEIGHT_TOLERANCE >= min_weight;
        check_invariant(
            has_required_weight,
            "an answer was ordered with too few answered parts",
        );
        let counter = if complete {
            &COUNTERS.queries_complete
        } else {
            &COUNTERS.queries_partial
        };
        counter.increment();
        let answer = Answer::Served {
            complete,
            parts: pending.take_served_parts(),
        };
        self.reply(pending.class, &pending.request, answer, turn);
    }

    /// Rejects a query, which the client may safely retry.
    pub(in crate::coordinator) fn reject(
        &mut self,
        query: QueryId,
        retry_after: Option<Micros>,
        turn: &mut Turn<'_>,
    ) {
        let Some(pending) = self.remove_query(query, turn) else {
            return check_invariant(
                false,
                "a rejection was ordered for a query that is not pending",
            );
        };
        COUNTERS.rejected_by_policy.increment();
        COUNTERS.queries_rejected.increment();
        let answer = Answer::Rejected {
            retry_after,
            late: pending.is_late(turn.now),
        };
        self.reply(pending.class, &pending.request, answer, turn);
    }

    /// Fails a query, of which parts may have run.
    pub(in crate::coordinator) fn fail(&mut self, query: QueryId, turn: &mut Turn<'_>) {
        let Some(pending) = self.remove_query(query, turn) else {
            return check_invariant(
                false,
                "a failure was ordered for a query that is not pending",
            );
        };
        COUNTERS.queries_failed.increment();
        let answer = Answer::Failed {
            late: pending.is_late(turn.now),
        };
        self.reply(pending.class, &pending.request, answer, turn);
    }

    /// Fails the queries whose deadline has passed. The policy ends each query before its deadline,
    /// except during a graceful shutdown; if it does not, the client still gets one answer.
    pub(in crate::coordinator) fn expire_queries(&mut self, turn: &mut Turn<'_>) {
        self.request_ids.release_expired(turn.now);
        while let Some(query) = self.pending.next_expired(turn.now) {
            if let Some(pending) = self.remove_query(query, turn) {
                let is_final_deadline = self.pending.is_final(pending.deadline);
                check_invariant(is_final_deadline, "a query is pending after its deadline");
                COUNTERS.queries_failed.increment();
                self.reply(
                    pending.class,
                    &pending.request,
                    Answer::Failed { late: true },
                    turn,
                );
            }
            turn.deferred_events.push(Event::Abandoned(query));
        }
    }

    /// Removes a query and releases its request id and class. Its attempts whose write has not
    /// started are cancelled even if the settings do not allow cancellation at the servers: the
    /// result of an attempt that still waits for a connection would be of no use.
    fn remove_query(&mut self, query: QueryId, turn: &mut Turn<'_>) -> Option<PendingQuery> {
        let pending = self.pending.remove(query)?;
        self.request_ids.release(&pending.request.request_id);
        self.classes.release(pending.class);
        for part in part_ids(query, &pending.request) {
            self.in_flight.remove_part(part);
            for key in self.in_flight.unwritten_at(part) {
                self.cancel(key, turn);
            }
        }
        Some(pending)
    }

    /// Gives a request its final answer and counts it in the metrics of its class. Answers are
    /// counted nowhere else.
    pub(super) fn reply(
        &self,
        class: ClassId,
        request: &Request,
        answer: Answer,
        turn: &mut Turn<'_>,
    ) {
        if request.counted {
            let metrics = self.classes.metrics(class);
            let counter = match answer {
                Answer::Served { .. } => &metrics.served,
                Answer::Rejected { .. } => &metrics.rejected,
                Answer::Failed { .. } | Answer::DuplicateRequestId | Answer::UnknownClass => {
                    &metrics.errors
                }
            };
            counter.increment();
        }
        turn.commands.push(Command::Reply {
            token: request.token,
            answer,
        });
    }
}
