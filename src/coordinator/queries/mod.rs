//! The pending queries and their attempts, from the request to the final answer.
//!
//! [`admission`] turns requests into pending queries, [`attempts`] dispatches attempts at their
//! parts and records the outcomes, [`completion`] gives the final answers. The decisions are the
//! policy's.

mod admission;
mod attempts;
mod completion;
mod in_flight;
mod pending;
mod request_ids;

pub(super) use attempts::DispatchOrder;

use super::classes::Classes;
use super::request::AttemptKey;
use crate::interface::{Class, ClassId, ReplicaId};
use crate::time::Micros;
use in_flight::InFlightAttempts;
use pending::PendingQueries;
use request_ids::RequestIds;

/// Tracks pending queries and in-flight attempts, with the classes and the request ids that they
/// use.
#[derive(Debug)]
pub(super) struct QueryTracker {
    classes: Classes,
    request_ids: RequestIds,
    pending: PendingQueries,
    in_flight: InFlightAttempts,
}

impl QueryTracker {
    /// Creates a tracker without queries.
    pub(super) fn new(classes: Classes) -> Self {
        Self {
            classes,
            request_ids: RequestIds::default(),
            pending: PendingQueries::new(),
            in_flight: InFlightAttempts::default(),
        }
    }

    /// Returns the number of pending queries.
    pub(super) fn pending_queries(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of attempts in flight.
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns whether this attempt is in flight.
    pub(super) fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.in_flight.contains(key)
    }

    /// Returns whether an attempt is in flight to this server.
    pub(super) fn has_attempts_at(&self, replica: ReplicaId) -> bool {
        self.in_flight.contains_replica(replica)
    }

    /// Returns the time at which the next attempt or query expires.
    pub(super) fn next_expiry(&self) -> Option<Micros> {
        let expiries = [self.in_flight.next_timer(), self.pending.next_deadline()];
        expiries.into_iter().flatten().min()
    }

    /// Starts the graceful shutdown: every pending query, and every later one, gets its answer by
    /// the final deadline.
    pub(super) fn set_final_deadline(&mut self, final_deadline: Micros) {
        self.pending.set_final_deadline(final_deadline);
    }

    /// Activates the classes of a reload; returns for each class the previous one whose statistics
    /// it continues.
    pub(super) fn replace_classes(&mut self, classes: &[Class]) -> Vec<ClassId> {
        self.classes.replace(classes)
    }

    /// Returns all classes that queries or attempts may have.
    pub(super) fn classes(&self) -> Vec<Class> {
        self.classes.all()
    }
}
