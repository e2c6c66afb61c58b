//! The state of the process that its services share.

use super::generations::ProcessGenerations;
use super::signals::Signals;
use crate::time::Clock;
use std::sync::Arc;

/// What all services of a process share.
#[derive(Clone)]
pub(super) struct ProcessContext {
    /// The clock of all times.
    pub(super) clock: Clock,
    /// Requests for a reload or a shutdown.
    pub(super) signals: Arc<Signals>,
    /// The other process during an upgrade.
    pub(super) generations: Arc<ProcessGenerations>,
}
