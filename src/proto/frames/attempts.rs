//! The attempts on one connection, by their keys here and by their ids at the node.

use crate::coordinator::AttemptKey;
use std::collections::{HashMap, VecDeque};

/// How many ids of ended attempts are remembered: late answers and duplicates refer to them.
const MAX_RETIRED_IDS: usize = 256;

/// The attempts in flight on a connection, and the ids of those that ended.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    in_flight: HashMap<String, InFlightAttempt>,
    ids: HashMap<AttemptKey, String>,
    /// The ids of attempts that were sent and have ended, the oldest first.
    retired: VecDeque<RetiredId>,
}

/// An attempt in flight.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InFlightAttempt {
    pub(super) key: AttemptKey,
    pub(super) fully_written: bool,
}

#[derive(Debug)]
struct RetiredId {
    id: String,
    answered: bool,
}

/// Which attempt an answer belongs to.
pub(super) enum AnsweredAttempt {
    InFlight(AttemptKey),
    /// One that has ended: the answer is a duplicate, or to a cancelled attempt.
    Retired,
    Unknown,
}

impl AttemptTable {
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty()
    }

    pub(super) fn contains(&self, key: AttemptKey) -> bool {
        self.ids.contains_key(&key)
    }

    /// Adds an attempt that is to be written; it replaces one with the same id.
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

    /// Removes an attempt; its id at the node.
    pub(super) fn remove(&mut self, key: AttemptKey) -> Option<String> {
        let id = self.ids.remove(&key)?;
        self.in_flight.remove(&id);
        Some(id)
    }

    /// Removes all attempts, ordered by key.
    pub(super) fn drain(&mut self) -> Vec<InFlightAttempt> {
        self.ids.clear();
        let mut attempts: Vec<_> = self.in_flight.drain().map(|(_, attempt)| attempt).collect();
        attempts.sort_unstable();
        attempts
    }

    /// Notes that an attempt's last byte is written; false if it is not in flight any more.
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

    pub(super) fn any_fully_written(&self) -> bool {
        self.in_flight.values().any(|attempt| attempt.fully_written)
    }

    /// Notes an answer. An attempt that it belongs to is not in flight any more.
    pub(super) fn answer(&mut self, id: &str) -> AnsweredAttempt {
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

    /// Remembers the id of an attempt that has ended.
    pub(super) fn retire(&mut self, id: String, answered: bool) {
        self.retired.retain(|retired| retired.id != id);
        self.retired.push_back(RetiredId { id, answered });
        if self.retired.len() > MAX_RETIRED_IDS {
            self.retired.pop_front();
        }
    }

    pub(super) fn clear_retired(&mut self) {
        self.retired.clear();
    }

    /// Whether an earlier attempt with this id was cancelled and may still be answered.
    pub(super) fn is_unanswered(&self, id: &str) -> bool {
        self.retired
            .iter()
            .any(|retired| retired.id == id && !retired.answered)
    }
}
