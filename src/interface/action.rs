//! Actions, which a policy has its coordinator carry out.

use super::{AttemptNo, Nanos, PartId, QueryId, ReplicaId};

/// What a policy has its coordinator do, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt at a part.
    Send {
        /// The part.
        part: PartId,
        /// The replica it goes to.
        replica: ReplicaId,
        /// The time-out of this attempt.
        timeout: Nanos,
        /// Unless its writing has started by then it must not be sent: it would repeat a part too late.
        not_after: Nanos,
    },
    /// Cancel an attempt.
    Cancel {
        /// The part.
        part: PartId,
        /// The number of the attempt.
        attempt: AttemptNo,
    },
    /// Answer from the parts received; the answer from a first step brings the parts of the follow-up step.
    Answer {
        /// The query.
        query: QueryId,
        /// The answer is complete.
        complete: bool,
    },
    /// Reject a query: the client may safely retry it.
    Reject {
        /// The query.
        query: QueryId,
        /// The `Retry-After`, where clients get one.
        retry_after: Option<Nanos>,
    },
    /// Fail a query: it may have run.
    Fail(QueryId),
    /// Report [`Event::TimerFired`] at this time.
    SetTimer(Nanos),
    /// Close the idle connections to a replica.
    CloseIdle(ReplicaId),
    /// Subscribe to the endpoint list.
    Subscribe,
}
