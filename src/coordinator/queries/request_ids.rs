//! The ids of requests in use.

use crate::time::Micros;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// The maximum number of ids that are retained after their queries were abandoned.
const MAX_RETAINED_IDS: usize = 4_096;

/// The ids of pending queries and in-flight attempts, with the number of their users. Servers
/// identify parts by the id of their request, so two requests must not share one.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    users: HashMap<Arc<str>, usize>,
    /// The ids that stay in use until a time although their query was abandoned.
    retained: BTreeSet<RetainedId>,
}

/// An id that stays in use until a time; ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RetainedId {
    until: Micros,
    id: Arc<str>,
}

impl RequestIds {
    /// Returns whether a query or an attempt uses this id.
    pub(super) fn is_in_use(&self, id: &Arc<str>) -> bool {
        self.users.contains_key(id)
    }

    /// Adds a user of an id.
    pub(super) fn acquire(&mut self, id: &Arc<str>) {
        *self.users.entry(id.clone()).or_insert(0) += 1;
    }

    /// Keeps an id in use until a time.
    pub(super) fn retain(&mut self, id: &Arc<str>, until: Micros) {
        let retained = RetainedId {
            until,
            id: id.clone(),
        };
        if self.retained.insert(retained) {
            self.acquire(id);
        }
        if self.retained.len() > MAX_RETAINED_IDS {
            self.release_first();
        }
    }

    /// Releases the ids that were retained until now.
    pub(super) fn release_expired(&mut self, now: Micros) {
        while let Some(first) = self.retained.first() {
            if first.until > now {
                return;
            }
            self.release_first();
        }
    }

    /// Releases the id that is retained for the shortest time.
    fn release_first(&mut self) {
        if let Some(first) = self.retained.pop_first() {
            self.release(&first.id);
        }
    }

    /// Removes a user of an id. The id is free again once it has no users.
    pub(super) fn release(&mut self, id: &Arc<str>) {
        let Some(users) = self.users.get_mut(id) else {
            return;
        };
        *users -= 1;
        if *users == 0 {
            self.users.remove(id);
        }
    }
}
