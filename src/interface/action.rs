//! Actions, which a coordinator carries out for its policy.

use super::{AttemptNo, Nanos, PartId, QueryId, ReplicaId};

/// An action that a coordinator carries out for its policy; actions are executed in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt at a part.
    Send {
        /// Part that the attempt is made at.
        part: PartId,
        /// Replica that the attempt is sent to.
        replica: ReplicaId,
        /// Timeout of the attempt.
        timeout: Nanos,
        /// Time after which writing the attempt must not start, since the replica might no longer
        /// recognize it as a repeat.
        write_by: Nanos,
    },
    /// Cancel an attempt.
    Cancel {
        /// Part that the attempt was made at.
        part: PartId,
        /// Ordinal of the attempt.
        attempt: AttemptNo,
    },
    /// Answer a query from the parts received. After an answer from the first step, the coordinator
    /// reports the parts of the follow-up step, if the class has one.
    Answer {
        /// Query to answer.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// Reject a query: the client may safely retry it.
    Reject {
        /// Query to reject.
        query: QueryId,
        /// Value of `Retry-After`; `None` if clients get none.
        retry_after: Option<Nanos>,
    },
    /// Fail a query: it may have run.
    Fail(QueryId),
    /// Set a timer, and report [`Event::TimerFired`](super::Event::TimerFired) at this time.
    SetTimer(Nanos),
    /// Close the idle connections to a replica.
    CloseIdle(ReplicaId),
    /// Subscribe to the endpoint list.
    Subscribe,
}
