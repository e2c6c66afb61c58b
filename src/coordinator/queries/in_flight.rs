//! The attempts in flight and their timers.

use crate::coordinator::request::AttemptKey;
use crate::interface::{AttemptNo, ClassId, PartId, ReplicaId};
use crate::time::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// An attempt that was dispatched and has not ended.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// The server to which the attempt was dispatched.
    pub(super) replica: ReplicaId,
    /// The time of the dispatch.
    pub(super) dispatched_at: Micros,
    /// The time at which the attempt times out.
    pub(super) deadline: Micros,
    /// The time of the attempt's timer: the deadline, or the time by which the write must have
    /// started if that is earlier.
    pub(super) timer_at: Micros,
    /// Whether some of the request was written, so that the attempt may run.
    pub(super) write_started: bool,
    /// The id of the request.
    pub(super) request_id: Arc<str>,
    /// The class of the query.
    pub(super) class: ClassId,
}

/// The timer of an attempt; ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptTimer {
    at: Micros,
    key: AttemptKey,
}

/// All attempts in flight, their timers, and the number of the next attempt at each part.
#[derive(Debug, Default)]
pub(super) struct InFlightAttempts {
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
    timers: BTreeSet<AttemptTimer>,
    next_numbers: HashMap<PartId, u16>,
}

impl InFlightAttempts {
    /// Returns the number of attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether this attempt is in flight.
    pub(super) fn contains(&self, key: AttemptKey) -> bool {
        self.attempts.contains_key(&key)
    }

    /// Returns whether an attempt at this part is in flight.
    pub(super) fn contains_part(&self, part: PartId) -> bool {
        self.attempts.keys().any(|key| key.part == part)
    }

    /// Returns whether an attempt is in flight to this server.
    pub(super) fn contains_replica(&self, replica: ReplicaId) -> bool {
        self.attempts
            .values()
            .any(|attempt| attempt.replica == replica)
    }

    /// Returns the time of the next timer.
    pub(super) fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|timer| timer.at)
    }

    /// Returns the key of the next attempt at a part.
    pub(super) fn next_key(&mut self, part: PartId) -> AttemptKey {
        let number = self.next_numbers.entry(part).or_insert(0);
        let key = AttemptKey {
            part,
            attempt: AttemptNo(*number),
        };
        *number += 1;
        key
    }

    /// Removes the number of the next attempt at a part that has ended, since no other attempt
    /// follows.
    pub(super) fn remove_part(&mut self, part: PartId) {
        self.next_numbers.remove(&part);
    }

    /// Adds a dispatched attempt and sets its timer.
    pub(super) fn insert(&mut self, key: AttemptKey, attempt: InFlightAttempt) {
        self.timers.insert(AttemptTimer {
            at: attempt.timer_at,
            key,
        });
        self.attempts.insert(key, attempt);
    }

    /// Removes an attempt and its timer, so that it can have no second outcome.
    pub(super) fn remove(&mut self, key: AttemptKey) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&key)?;
        self.timers.remove(&AttemptTimer {
            at: attempt.timer_at,
            key,
        });
        Some(attempt)
    }

    /// Records that some of an attempt's request was written.
    pub(super) fn mark_write_started(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.write_started = true;
        }
    }

    /// Returns the attempts at a part whose write has not started.
    pub(super) fn unwritten_at(&self, part: PartId) -> Vec<AttemptKey> {
        let key = |number| AttemptKey {
            part,
            attempt: AttemptNo(number),
        };
        let attempts = self.attempts.range(key(0)..=key(u16::MAX));
        attempts
            .filter(|(_, attempt)| !attempt.write_started)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Returns the first attempt that has expired: its deadline has passed, or its write has not
    /// started in time. If the write has started in time, the timer is set to the deadline.
    pub(super) fn next_expired(&mut self, now: Micros) -> Option<AttemptKey> {
        while let Some(timer) = self.timers.first().copied().filter(|timer| timer.at <= now) {
            self.timers.pop_first();
            let Some(attempt) = self.attempts.get_mut(&timer.key) else {
                continue;
            };
            if !attempt.write_started || now >= attempt.deadline {
                return Some(timer.key);
            }
            attempt.timer_at = attempt.deadline;
            self.timers.insert(AttemptTimer {
                at: attempt.deadline,
                key: timer.key,
            });
        }
        None
    }
}
