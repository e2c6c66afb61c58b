//! Attempts in flight, by where they are.

use crate::interface::{AttemptNo, ClassId, Nanos, Outcome, PartId, ReplicaId};
use std::collections::{BTreeMap, BTreeSet};

/// An attempt: its part, and its number among the part's attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The part.
    pub part: PartId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
}

/// What is to be known of an attempt when it ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InFlight {
    /// Where it was sent.
    pub replica: ReplicaId,
    /// The class of its query.
    pub class: ClassId,
    /// How many of this instance's attempts were in flight at the replica then, it included.
    pub concurrency: usize,
    /// It was sent on a connection that had been idle.
    pub idle_connection: bool,
}

/// An attempt that is no longer in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndedAttempt {
    /// What was known of it.
    pub attempt: InFlight,
    /// How it ended.
    pub outcome: Outcome,
    /// How long ago it was sent.
    pub elapsed: Nanos,
    /// Its replica answered nothing since it was sent.
    pub silent: bool,
}

/// All attempts in flight.
pub type InFlightTable = BTreeMap<AttemptKey, InFlight>;

/// An attempt in order of age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SentAttempt {
    sent_at: Nanos,
    key: AttemptKey,
}

/// The attempts in flight at one replica, the oldest first.
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

    /// When the oldest attempt was sent.
    #[must_use]
    pub fn oldest(&self) -> Option<Nanos> {
        self.attempts.first().map(|attempt| attempt.sent_at)
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// There are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
