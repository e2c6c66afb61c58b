//! The other process of an upgrade, in which a new version starts while the old one is running.

use crate::coordinator::ProcessGeneration;
use crate::net::handover::PeerProcess;
use crate::sync;
use std::sync::Mutex;

/// The predecessor and the successor of this process.
#[derive(Debug, Default)]
pub(super) struct ProcessGenerations {
    /// The process that handed its listening sockets over to this one.
    predecessor: Option<PeerProcess>,
    /// The process that received this one's listening sockets.
    successor: Mutex<Option<PeerProcess>>,
}

impl ProcessGenerations {
    /// Creates the record of a process that has just started, with the predecessor whose listening
    /// sockets it received, if any.
    pub(super) fn new(predecessor: Option<PeerProcess>) -> Self {
        ProcessGenerations {
            predecessor,
            successor: Mutex::default(),
        }
    }

    /// Returns whether this process received its listening sockets from another one.
    pub(super) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Returns whether the predecessor has not exited yet.
    pub(super) fn is_predecessor_running(&self) -> bool {
        self.predecessor.as_ref().is_some_and(PeerProcess::is_alive)
    }

    /// Records the process that received this one's listening sockets.
    pub(super) fn set_successor(&self, successor: PeerProcess) {
        *sync::lock(&self.successor) = Some(successor);
    }

    /// Returns which of the two processes of an upgrade this one is; `None` unless both are
    /// running.
    pub(super) fn current(&self) -> Option<ProcessGeneration> {
        if sync::lock(&self.successor)
            .as_ref()
            .is_some_and(PeerProcess::is_alive)
        {
            return Some(ProcessGeneration::Predecessor);
        }
        self.is_predecessor_running()
            .then_some(ProcessGeneration::Successor)
    }
}
