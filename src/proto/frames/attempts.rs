//! The table of the attempts on one connection, which maps the coordinator's keys to the ids in the
//! frames, and back.

use crate::coordinator::AttemptKey;
use std::collections::{HashMap, VecDeque};

/// The maximum number of ids of ended attempts that are kept, to recognize late and duplicate
/// answers.
const MAX_RETIRED_IDS: usize = 256;

/// The attempts in flight on a connection, which include queued ones, and the ids of attempts that
/// have ended.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    /// The attempts in flight by their ids.
    in_flight: HashMap<String, InFlightAttempt>,
    /// The ids of the attempts in flight by their keys.
    ids: HashMap<AttemptKey, String>,
    /// The ids of attempts that were sent and have ended, oldest first.
    retired: VecDeque<RetiredId>,
}

/// An attempt in flight.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InFlightAttempt {
    /// The coordinator's key of the attempt.
    pub(super) key: AttemptKey,
    /// Whether the last byte of the attempt's frame has been written.
    pub(super) fully_written: bool,
}

/// The id of an attempt that has ended.
#[derive(Debug)]
struct RetiredId {
    id: String,
    /// Whether an answer with this id was received.
    answered: bool,
}

/// The attempt that an answer belongs to.
pub(super) enum AnsweredAttempt {
    /// An attempt in flight.
    InFlight(AttemptKey),
    /// An attempt that has ended: the answer is a duplicate, or belongs to a cancelled attempt.
    Retired,
    /// No attempt that was sent on this connection.
    Unknown,
}

impl AttemptTable {
    /// Returns the number of attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether no attempt is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Returns whether this attempt is in flight.
    pub(super) fn contains(&self, key: AttemptKey) -> bool {
        self.ids.contains_key(&key)
    }

    /// Adds an attempt that is to be written. Replaces an attempt in flight with the same id.
    pub(super) fn insert(&mut self, key: AttemptKey, id: String) {
        self.ids.insert(key, id.clone());
        let attempt = InFlightAttempt {
            key,
            fully_written: false,
        };
        if let Some(replaced) = self.in_flight.insert(id, attempt) {
            self.ids.remove(&replaced.key);
        }
    }

    /// Removes an attempt and returns its id.
    pub(super) fn remove(&mut self, key: AttemptKey) -> Option<String> {
        let id = self.ids.remove(&key)?;
        self.in_flight.remove(&id);
        Some(id)
    }

    /// Removes and returns all attempts, ordered by key.
    pub(super) fn drain(&mut self) -> Vec<InFlightAttempt> {
        self.ids.clear();
        let mut attempts: Vec<_> = self.in_flight.drain().map(|(_, attempt)| attempt).collect();
        attempts.sort_unstable();
        attempts
    }

    /// Records that an attempt's last byte was written. Returns whether the attempt is still in
    /// flight.
    pub(super) fn mark_fully_written(&mut self, key: AttemptKey) -> bool {
        let attempt = self.ids.get(&key).and_then(|id| self.in_flight.get_mut(id));
        match attempt {
            Some(attempt) => {
                attempt.fully_written = true;
                true
            }
            None => false,
        }
    }

    /// Returns whether the node may send an answer: to an attempt in flight, or to a cancelled one.
    pub(super) fn awaits_any_answer(&self) -> bool {
        self.any_fully_written() || self.retired.iter().any(|retired| !retired.answered)
    }

    /// Returns whether the node may have run one of the attempts in flight.
    pub(super) fn any_fully_written(&self) -> bool {
        self.in_flight.values().any(|attempt| attempt.fully_written)
    }

    /// Records an answer with this id. If it belongs to an attempt in flight, that attempt has ended.
    pub(super) fn record_answer(&mut self, id: &str) -> AnsweredAttempt {
        if let Some(attempt) = self.in_flight.remove(id) {
            self.ids.remove(&attempt.key);
            self.retire(id.to_owned(), true);
            return AnsweredAttempt::InFlight(attempt.key);
        }
        match self.retired.iter_mut().find(|retired| retired.id == id) {
            Some(retired) => {
                retired.answered = true;
                AnsweredAttempt::Retired
            }
            None => AnsweredAttempt::Unknown,
        }
    }

    /// Keeps the id of an attempt that has ended, and whether it was answered. Drops the oldest id if
    /// there are too many.
    pub(super) fn retire(&mut self, id: String, answered: bool) {
        self.retired.retain(|retired| retired.id != id);
        self.retired.push_back(RetiredId { id, answered });
        if self.retired.len() > MAX_RETIRED_IDS {
            self.retired.pop_front();
        }
    }

    /// Drops the ids of all attempts that have ended.
    pub(super) fn clear_retired(&mut self) {
        self.retired.clear();
    }

    /// Returns whether an earlier attempt with this id was cancelled and may still be answered.
    pub(super) fn awaits_late_answer(&self, id: &str) -> bool {
        self.retired
            .iter()
            .any(|retired| retired.id == id && !retired.answered)
    }
}
