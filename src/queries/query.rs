//! The records of one query.

use crate::interface::{
    Action, AttemptNo, ClassId, GroupId, Nanos, Outcome, PartId, QueryId, ReplicaId, ShardId,
};

/// What rounding may take from a sum of weights.
pub const WEIGHT_TOLERANCE: f64 = 1e-6;

/// An attempt at a part.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// Where it was sent.
    pub replica: ReplicaId,
    /// When it was sent.
    pub sent_at: Nanos,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Nothing proves that it did not run at the replica.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }
}

/// A part of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// Its id.
    pub id: PartId,
    /// The shard it asks.
    pub shard: ShardId,
    /// Its share of its step's weight.
    pub weight: f64,
    /// It belongs to the follow-up step.
    pub follow_up: bool,
    /// It is to be asked; otherwise the query does without it.
    pub requested: bool,
    /// The attempts at it, in order.
    pub attempts: Vec<Attempt>,
    /// When its answer was received.
    pub answered_at: Option<Nanos>,
}

impl Part {
    /// A part that is to be asked. A weight that is no share counts as 0.
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

    /// Its answer was received.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.answered_at.is_some()
    }

    /// Its attempts in flight, the oldest first.
    pub fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.outcome.is_none())
    }

    /// Some attempt is in flight.
    #[must_use]
    pub fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Nothing proves that none of its attempts ran.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
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

    /// The actions that cancel what is in flight.
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

/// How far a query is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Received in this batch; not yet admitted.
    Received,
    /// Admitted; the parts of the first step are asked.
    FirstStep,
    /// Answered once; the parts of the follow-up step are awaited or asked.
    FollowUp,
    /// Its final answer is given.
    Closed,
}

/// The answer from the first step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAnswer {
    /// When it was given.
    pub at: Nanos,
    /// It was complete.
    pub complete: bool,
}

/// A query that was received.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// Its class.
    pub class: ClassId,
    /// The number its parts bear.
    pub group: GroupId,
    /// The priority weight of its class, less beyond its tenant's quota.
    pub priority: f64,
    /// A draw, 0 to 1, by which it is admitted among its equals.
    pub admission_draw: f64,
    /// How far it is.
    pub stage: Stage,
    /// When it was received.
    pub received_at: Nanos,
    /// When to answer, so that the client has the answer within its latency objective.
    pub respond_by: Nanos,
    /// When to give the final answer at the latest.
    pub deadline: Nanos,
    /// It is sampled for the quality of answers.
    pub sampled: bool,
    /// The answer from its first step.
    pub first_answer: Option<FirstAnswer>,
    /// Its parts, of both steps.
    pub parts: Vec<Part>,
}

impl Query {
    /// A query that was received at `now`, without parts yet, to be answered at once; the rest is for the caller.
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

    /// It awaits its final answer.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.stage != Stage::Closed
    }

    /// Returns whether a part belongs to the present step.
    #[must_use]
    pub fn is_in_step(&self, part: &Part) -> bool {
        part.follow_up == (self.stage == Stage::FollowUp)
    }

    /// Returns the parts of the present step.
    pub fn step_parts(&self) -> impl Iterator<Item = &Part> {
        self.parts.iter().filter(|part| self.is_in_step(part))
    }

    /// The weight that was answered in its present step, each part once.
    #[must_use]
    pub fn answered_weight(&self) -> f64 {
        self.step_parts()
            .filter(|part| part.is_answered())
            .map(|part| part.weight)
            .sum()
    }

    /// Its present step has parts, and all of them are answered.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        answered(self.step_parts())
    }

    /// Its present step has parts that are to be asked, and all of those are answered.
    #[must_use]
    pub fn all_requested_answered(&self) -> bool {
        answered(self.step_parts().filter(|part| part.requested))
    }
}

fn answered<'a>(parts: impl Iterator<Item = &'a Part>) -> bool {
    let mut parts = parts.peekable();
    parts.peek().is_some() && parts.all(Part::is_answered)
}
