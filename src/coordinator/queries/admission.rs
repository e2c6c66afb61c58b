//! Admission: a request becomes a pending query, or is rejected immediately.

use super::pending::{slots, PendingQuery, NETWORK_MARGIN};
use super::QueryTracker;
use crate::coordinator::active_settings::ActiveSettings;
use crate::coordinator::counters::COUNTERS;
use crate::coordinator::messages::{Answer, Command};
use crate::coordinator::request::Request;
use crate::coordinator::turn::Turn;
use crate::time::Micros;

impl QueryTracker {
    /// Accepts a request as a pending query, or rejects it.
    pub(in crate::coordinator) fn submit(
        &mut self,
        request: Request,
        settings: &ActiveSettings,
        turn: &mut Turn<'_>,
    ) {
        let Some(class) = self.classes.find(&request.class) else {
            reply_unknown_class(&request, turn);
            return;
        };
        let deadline = self
            .pending
            .bounded_deadline(request.sent_at + request.timeout);
        if let Some(answer) = self.rejection(&request, deadline, settings, turn.now) {
            self.reply(class, &request, answer, turn);
            return;
        }
        COUNTERS.queries_accepted.increment();
        self.request_ids.acquire(&request.request_id);
        self.classes.acquire(class);
        let objective =
            request.sent_at + Micros::from_nanos(self.classes.get(class).latency_objective);
        self.pending
            .insert(PendingQuery::new(request, class, deadline, objective), turn);
    }

    /// Rejects a request for whose payload there is no memory.
    pub(in crate::coordinator) fn reject_for_memory(
        &mut self,
        request: &Request,
        settings: &ActiveSettings,
        turn: &mut Turn<'_>,
    ) {
        let Some(class) = self.classes.find(&request.class) else {
            reply_unknown_class(request, turn);
            return;
        };
        COUNTERS.rejected_over_memory.increment();
        COUNTERS.queries_rejected.increment();
        let answer = Answer::Rejected {
            retry_after: settings.max_retry_after(),
            late: false,
        };
        self.reply(class, request, answer, turn);
    }

    /// Returns the rejection of a request that cannot be accepted. Nothing of the request was sent,
    /// so a retry is safe.
    fn rejection(
        &self,
        request: &Request,
        deadline: Micros,
        settings: &ActiveSettings,
        now: Micros,
    ) -> Option<Answer> {
        if deadline <= now + NETWORK_MARGIN {
            COUNTERS.rejected_expired.increment();
            COUNTERS.queries_rejected.increment();
            return Some(Answer::Rejected {
                retry_after: None,
                late: true,
            });
        }
        if self.pending.reserved_slots() + slots(request) > settings.max_reserved_slots() {
            COUNTERS.rejected_over_capacity.increment();
            COUNTERS.queries_rejected.increment();
            return Some(Answer::Rejected {
                retry_after: settings.max_retry_after(),
                late: false,
            });
        }
        if self.request_ids.is_in_use(&request.request_id) {
            COUNTERS.duplicate_request_ids.increment();
            return Some(Answer::DuplicateRequestId);
        }
        None
    }
}

/// Answers a request whose class a reload dropped before the coordinator received the request.
fn reply_unknown_class(request: &Request, turn: &mut Turn<'_>) {
    COUNTERS.bad_requests.increment();
    turn.commands.push(Command::Reply {
        token: request.token,
        answer: Answer::UnknownClass,
    });
}
