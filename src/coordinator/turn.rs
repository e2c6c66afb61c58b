//! The inputs and outputs of one turn of the coordinator.

use super::messages::Command;
use crate::interface::Event;
use crate::time::Micros;

/// The state of one turn: its time, the events for the policy, and the resulting commands.
pub(super) struct Turn<'a> {
    /// The time of the turn: its only reading of the clock.
    pub(super) now: Micros,
    /// The events that the policy handles in this turn.
    pub(super) events: Vec<Event>,
    /// The events that the policy handles in the next turn: the results of its own actions, and the
    /// queries that expired after it ran.
    pub(super) deferred_events: Vec<Event>,
    /// The commands for the coordinator's loop, in order.
    pub(super) commands: &'a mut Vec<Command>,
}

impl<'a> Turn<'a> {
    /// Creates a turn that starts with the events that an earlier one deferred.
    pub(super) fn new(now: Micros, events: Vec<Event>, commands: &'a mut Vec<Command>) -> Self {
        Self {
            now,
            events,
            deferred_events: Vec::new(),
            commands,
        }
    }
}
