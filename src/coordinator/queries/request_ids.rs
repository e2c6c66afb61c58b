//! The ids of requests in use.

use std::collections::HashMap;
use std::sync::Arc;

/// The ids of pending queries and in-flight attempts, with the number of their users. Servers
/// identify parts by the id of their request, so two requests must not share one.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    users: HashMap<Arc<str>, usize>,
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
