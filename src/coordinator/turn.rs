//! What one turn of the coordinator reads and produces.

use super::messages::Command;
use crate::interface::Event;
use crate::time::Micros;

/// One turn: its time, the policy's events, and the commands for the drivers.
pub(super) struct Turn<'a> {
    /// The one reading of the clock.
    pub(super) now: Micros,
    /// Events that the policy handles in this turn.
    pub(super) events: Vec<Event>,
    /// Events that the policy handles in the next turn: those that its own actions and ended queries bring
    /// about.
    pub(super) deferred_events: Vec<Event>,
    /// What the drivers are to do, in order.
    pub(super) commands: &'a mut Vec<Command>,
}

impl<'a> Turn<'a> {
    /// A turn that begins with the events that an earlier one deferred.
    pub(super) fn new(now: Micros, events: Vec<Event>, commands: &'a mut Vec<Command>) -> Self {
        Self {
            now,
            events,
            deferred_events: Vec::new(),
            commands,
        }
    }
}
