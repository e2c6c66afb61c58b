//! Frames that are to be written.

use super::codec::{self, HEADER_BYTES};
use crate::coordinator::{AttemptKey, ClassMetrics};
use std::sync::Arc;

/// An attempt's share of an outgoing frame.
#[derive(Debug)]
pub(super) struct QueuedAttempt {
    pub(super) key: AttemptKey,
    /// The bytes that it takes in the frame.
    pub(super) bytes: usize,
    /// Where it is counted once it is written, also when it was cancelled after its frame's first byte.
    pub(super) metrics: Arc<ClassMetrics>,
}

/// A frame that is to be written.
#[derive(Debug)]
pub(super) struct OutgoingFrame {
    bytes: Vec<u8>,
    written: usize,
    /// The attempts that it carries, in order; none in a frame that cancels one.
    attempts: Vec<QueuedAttempt>,
}

impl OutgoingFrame {
    /// A frame that carries attempts.
    pub(super) fn query(payload: &[u8], attempts: Vec<QueuedAttempt>) -> Self {
        OutgoingFrame {
            bytes: codec::query_frame(payload),
            written: 0,
            attempts,
        }
    }

    /// A frame that cancels an attempt.
    pub(super) fn cancel(id: &str) -> Self {
        OutgoingFrame {
            bytes: codec::cancel_frame(id),
            written: 0,
            attempts: Vec::new(),
        }
    }

    /// What is still to be written.
    pub(super) fn remaining(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Some bytes were written; true: these include the first one.
    pub(super) fn record_written(&mut self, bytes: usize) -> bool {
        let started = self.written == 0 && bytes > 0;
        self.written += bytes;
        started
    }

    pub(super) fn is_fully_written(&self) -> bool {
        self.written >= self.bytes.len()
    }

    pub(super) fn carries_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Whether it carries attempts that the node has seen nothing of.
    pub(super) fn is_reclaimable(&self) -> bool {
        self.written == 0 && self.carries_attempts()
    }

    /// Whether it carries this attempt and no byte of it is written.
    pub(super) fn is_unstarted_with(&self, key: AttemptKey) -> bool {
        self.written == 0 && self.attempts.iter().any(|attempt| attempt.key == key)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.attempts.iter().map(|attempt| attempt.key)
    }

    pub(super) fn into_attempts(self) -> Vec<QueuedAttempt> {
        self.attempts
    }

    /// Removes all other attempts. No byte of the frame may be written, or else all of it is written again.
    pub(super) fn retain(&mut self, keep: impl Fn(AttemptKey) -> bool) {
        self.written = 0;
        let mut start = HEADER_BYTES;
        let bytes = &mut self.bytes;
        self.attempts.retain(|attempt| {
            let kept = keep(attempt.key);
            if kept {
                start += attempt.bytes;
            } else {
                bytes.drain(start..start + attempt.bytes);
            }
            kept
        });
        codec::update_length(bytes);
    }
}
