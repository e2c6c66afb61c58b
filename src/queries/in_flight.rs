//! Attempts in flight, by their key and by the replica that they were sent to.

use crate::interface::{AttemptNo, ClassId, Nanos, Outcome, PartId, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

/// Identity of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// Part that the attempt was made at.
    pub part: PartId,
    /// Ordinal of the attempt among those at its part.
    pub attempt: AttemptNo,
}

/// Record of an attempt in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InFlight {
    /// Replica that the attempt was sent to.
    pub replica: ReplicaId,
    /// Class of the query.
    pub class: ClassId,
    /// Number of this coordinator's attempts in flight at the replica when this one was sent,
    /// itself included.
    pub concurrency: usize,
    /// Whether the attempt was sent on a connection that was idle before.
    pub idle_connection: bool,
}

/// Record of an attempt that ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndedAttempt {
    /// Record that was made when the attempt was sent.
    pub attempt: InFlight,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub elapsed: Nanos,
    /// Whether the replica has answered no attempt since this one was sent.
    pub silent: bool,
}

/// All attempts in flight.
pub type InFlightTable = BTreeMap<AttemptKey, InFlight>;

/// An attempt in flight at a replica; ordered by age, the oldest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentAttempt {
    sent_at: Nanos,
    key: AttemptKey,
}

/// Attempts in flight at one replica, the oldest first.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct AttemptsByAge {
    attempts: BTreeSet<SentAttempt>,
}

impl AttemptsByAge {
    /// Adds an attempt.
    pub fn insert(&mut self, sent_at: Nanos, key: AttemptKey) {
        self.attempts.insert(SentAttempt { sent_at, key });
    }

    /// Removes an attempt.
    pub fn remove(&mut self, key: AttemptKey) {
        self.attempts.retain(|attempt| attempt.key != key);
    }

    /// Returns the time at which the oldest attempt was sent.
    #[must_use]
    pub fn oldest(&self) -> Option<Nanos> {
        self.attempts.first().map(|attempt| attempt.sent_at)
    }

    /// Returns the number of attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether there is no attempt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
