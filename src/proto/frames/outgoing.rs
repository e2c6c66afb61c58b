//! The entries of a connection's output queue: frames that are to be written, and the attempts in
//! them.

use super::codec::{self, HEADER_BYTES};
use crate::coordinator::{AttemptKey, ClassMetrics};
use std::sync::Arc;

/// An attempt's share of an outgoing frame.
#[derive(Debug)]
pub(super) struct QueuedAttempt {
    /// The coordinator's key of the attempt.
    pub(super) key: AttemptKey,
    /// The length of the encoded attempt in the frame, in bytes.
    pub(super) bytes: usize,
    /// The counters of the attempt's class. The attempt is counted when its frame is fully written,
    /// even if it was cancelled after the frame's first byte.
    pub(super) metrics: Arc<ClassMetrics>,
}

/// A frame that is to be written.
#[derive(Debug)]
pub(super) struct OutgoingFrame {
    bytes: Vec<u8>,
    /// The number of bytes that have been written.
    written: usize,
    /// The attempts in the frame, in order; empty in a frame that cancels an attempt.
    attempts: Vec<QueuedAttempt>,
}

impl OutgoingFrame {
    /// Creates a frame that carries attempts.
    pub(super) fn query(payload: &[u8], attempts: Vec<QueuedAttempt>) -> Self {
        OutgoingFrame {
            bytes: codec::query_frame(payload),
            written: 0,
            attempts,
        }
    }

    /// Creates a frame that cancels an attempt.
    pub(super) fn cancel(id: &str) -> Self {
        OutgoingFrame {
            bytes: codec::cancel_frame(id),
            written: 0,
            attempts: Vec::new(),
        }
    }

    /// Returns the bytes that have not been written yet.
    pub(super) fn remaining(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    /// Records that this number of bytes was written. Returns whether they included the first byte.
    pub(super) fn record_written(&mut self, bytes: usize) -> bool {
        let started = self.written == 0 && bytes > 0;
        self.written += bytes;
        started
    }

    /// Returns whether all bytes have been written.
    pub(super) fn is_fully_written(&self) -> bool {
        self.written >= self.bytes.len()
    }

    /// Returns whether the frame carries attempts.
    pub(super) fn carries_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Returns whether the frame carries attempts and no byte of it has been written.
    pub(super) fn is_reclaimable(&self) -> bool {
        self.written == 0 && self.carries_attempts()
    }

    /// Returns whether the frame carries this attempt and no byte of it has been written.
    pub(super) fn carries_unwritten(&self, key: AttemptKey) -> bool {
        self.written == 0 && self.attempts.iter().any(|attempt| attempt.key == key)
    }

    /// Returns the keys of the attempts in the frame.
    pub(super) fn keys(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.attempts.iter().map(|attempt| attempt.key)
    }

    /// Returns the attempts in the frame.
    pub(super) fn into_attempts(self) -> Vec<QueuedAttempt> {
        self.attempts
    }

    /// Removes the attempts for which `keep` returns `false`. The frame is then written from its
    /// first byte, even if part of it was written before.
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
