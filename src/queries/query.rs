//! Records of one query: its parts, their attempts, and the answers given.

use super::AttemptKey;
use crate::interface::{
    Action, AttemptNo, ClassId, GroupId, Nanos, Outcome, PartId, QueryId, ReplicaId, ShardId,
};

/// Rounding error that is tolerated in a sum of weights.
pub const WEIGHT_TOLERANCE: f64 = 1e-6;

/// An attempt at a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Time at which the attempt was sent.
    pub sent_at: Nanos,
    /// Outcome of the attempt; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the attempt may have run at the replica, which includes attempts in flight.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// A part of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// Identifier of the part.
    pub id: PartId,
    /// Shard that has the answer.
    pub shard: ShardId,
    /// Share of its step's weight, 0 to 1.
    pub weight: f64,
    /// Whether the part belongs to the follow-up step.
    pub follow_up: bool,
    /// Whether the part is requested; `false` if it is omitted.
    pub requested: bool,
    /// Attempts at the part, in order.
    pub attempts: Vec<Attempt>,
    /// Time at which the first answer to the part was received.
    pub answered_at: Option<Nanos>,
}

impl Part {
    /// Creates a part of the first step that is requested and not attempted yet. A weight that is
    /// negative or not finite counts as 0.
    #[must_use]
    pub fn new(id: PartId, shard: ShardId, weight: f64) -> Self {
        let weight = if weight.is_finite() {
            weight.max(0.0)
        } else {
            0.0
        };
        Part {
            id,
            shard,
            weight,
            follow_up: false,
            requested: true,
            attempts: Vec::new(),
            answered_at: None,
        }
    }

    /// Returns whether the part is answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Returns the attempts in flight, the oldest first.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
    }

    /// Returns whether any attempt is in flight.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Returns whether any attempt may have run at its replica.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Records an attempt that is sent now, and returns its identity.
    pub fn add_attempt(&mut self, replica: ReplicaId, now: Nanos) -> AttemptKey {
        let attempt = AttemptNo(self.attempts.len() as u16);
        self.attempts.push(Attempt {
            replica,
            sent_at: now,
            outcome: None,
        });
        AttemptKey {
            part: self.id,
            attempt,
        }
    }

    /// Records how an attempt ended.
    pub fn complete_attempt(&mut self, attempt: AttemptNo, outcome: Outcome, now: Nanos) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(attempt.0)) {
            attempt.outcome = Some(outcome);
        }
        if outcome == Outcome::Ok {
            self.answered_at = self.answered_at.or(Some(now));
        }
    }

    /// Returns the actions that cancel the attempts in flight.
    pub fn cancellations(&self) -> impl Iterator<Item = Action> + '_ {
        let in_flight = self
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.outcome.is_none());
        in_flight.map(|(number, _)| Action::Cancel {
            part: self.id,
            attempt: AttemptNo(number as u16),
        })
    }
}

/// Stage of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The query was received in this batch and is not admitted yet.
    Received,
    /// The query is admitted; the parts of the first step are requested.
    FirstStep,
    /// The first step is answered; the parts of the follow-up step are awaited or requested.
    FollowUp,
    /// The query was answered, rejected or failed, or its client disconnected.
    Closed,
}

/// The answer from the first step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAnswer {
    /// Time of the answer.
    pub at: Nanos,
    /// Whether the answer was complete.
    pub complete: bool,
}

/// A query that was received.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// Identifier of the query.
    pub id: QueryId,
    /// Class of the query.
    pub class: ClassId,
    /// Identifier that the query shares with its parts.
    pub group: GroupId,
    /// Priority weight of the class, reduced if the query is beyond its tenant's quota.
    pub priority: f64,
    /// Random number, 0 to 1, by which queries of equal priority are admitted or rejected.
    pub admission_draw: f64,
    /// Stage of the query.
    pub stage: Stage,
    /// Time at which the query was received.
    pub received_at: Nanos,
    /// Time by which to answer, so that the client has the answer within the latency objective.
    pub respond_by: Nanos,
    /// Latest time of the final answer.
    pub deadline: Nanos,
    /// Whether the query is sampled to measure answer quality.
    pub sampled: bool,
    /// Answer from the first step; `None` until it is given.
    pub first_answer: Option<FirstAnswer>,
    /// Parts of both steps.
    pub parts: Vec<Part>,
}

impl Query {
    /// Creates a query received at `now`, without parts. The priority is 0, and `respond_by` and
    /// `deadline` are `now`, until the caller sets them.
    #[must_use]
    pub fn new(id: QueryId, class: ClassId, group: GroupId, now: Nanos) -> Self {
        Query {
            id,
            class,
            group,
            priority: 0.0,
            admission_draw: 0.0,
            stage: Stage::Received,
            received_at: now,
            respond_by: now,
            deadline: now,
            sampled: false,
            first_answer: None,
            parts: Vec::new(),
        }
    }

    /// Returns whether the query awaits its final answer.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage != Stage::Closed
    }

    /// Returns whether a part belongs to the current step.
    #[must_use]
    pub fn is_in_step(&self, part: &Part) -> bool {
        part.follow_up == (self.stage == Stage::FollowUp)
    }

    /// Returns the parts of the current step.
    pub fn step_parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(|part| self.is_in_step(part))
    }

    /// Returns the sum of the weights of the answered parts in the current step.
    #[must_use]
    pub fn answered_weight(&self) -> f64 {
        self.step_parts()
            .filter(|part| part.is_answered())
            .map(|part| part.weight)
            .sum()
    }

    /// Returns whether the current step has parts and all of them are answered.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        are_all_answered(self.step_parts())
    }

    /// Returns whether the current step has requested parts and all of those are answered.
    #[must_use]
    pub fn all_requested_answered(&self) -> bool {
        are_all_answered(self.step_parts().filter(|part| part.requested))
    }
}

/// Returns whether there are parts and all of them are answered.
fn are_all_answered<'a>(parts: impl Iterator<Item = &'a Part>) -> bool {
    let mut parts = parts.peekable();
    parts.peek().is_some() && parts.all(Part::is_answered)
}
