//! The state of the process that its services share.

use super::generations::ProcessGenerations;
use super::signals::Signals;
use crate::time::Clock;
use std::sync::Arc;

/// The state that all services of a process share.
#[derive(Clone)]
pub(super) struct ProcessContext {
    /// The clock that all timestamps are read from.
    pub(super) clock: Clock,
    /// The signals, which request reloads and the shutdown.
    pub(super) signals: Arc<Signals>,
    /// The predecessor and the successor of this process.
    pub(super) generations: Arc<ProcessGenerations>,
}

impl ProcessContext {
    /// Creates the context that each service receives a clone of.
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
