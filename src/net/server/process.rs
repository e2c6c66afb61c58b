//! The state of the process that its services share.

use super::generations::ProcessGenerations;
use super::signals::Signals;
use crate::time::Clock;
use std::sync::Arc;

/// The state that all services of a process share.
#[derive(Clone)]
pub(super) struct ProcessContext {
    /// The clock of all timestamps.
    pub(super) clock: Clock,
    /// The signals, which request reloads and the shutdown.
    pub(super) signals: Arc<Signals>,
    /// The other process of an upgrade.
    pub(super) generations: Arc<ProcessGenerations>,
}

impl ProcessContext {
    /// Creates the context that is handed to each service.
    pub(super) fn new(
        clock: Clock,
        signals: Arc<Signals>,
        generations: Arc<ProcessGenerations>,
    ) -> Self {
        ProcessContext {
            clock,
            signals,
            generations,
        }
    }
}
