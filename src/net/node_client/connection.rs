//! One connection to a data node as the pool and the connection's driver share it.

use super::silence::SilenceDetector;
use crate::coordinator::{AttemptKey, AttemptRequest};
use crate::proto::frames::{AttemptEvent, MultiplexedConnection};
use crate::sync::lock;
use crate::time::Micros;
use may::io::WaitIoWaker;
use std::sync::{Mutex, MutexGuard};

/// A frame that began to arrive is complete after this time, or its length is wrong and it never will be: what is received
/// after it would be taken for its end.
const PARTIAL_FRAME_TIMEOUT: Micros = Micros::from_millis(50);

/// A connection to a data node, or one that is being established.
#[derive(Default)]
pub(super) struct NodeConnection {
    state: Mutex<ConnectionState>,
}

impl NodeConnection {
    pub(super) fn opened_at(now: Micros) -> Self {
        let silence = SilenceDetector::opened_at(now);
        NodeConnection {
            state: Mutex::new(ConnectionState {
                silence,
                last_used: now,
                ..ConnectionState::default()
            }),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }
}

/// The state of a [`NodeConnection`].
#[derive(Default)]
pub(super) struct ConnectionState {
    pub(super) protocol: MultiplexedConnection,
    pub(super) silence: SilenceDetector,
    /// Wakes the driver; set while a connection is established.
    pub(super) waker: Option<WaitIoWaker>,
    /// It has ended, or was never established.
    pub(super) closed: bool,
    /// It is to be closed once nothing is in flight.
    pub(super) closing: bool,
    /// Nothing was received for too long while attempts waited.
    unresponsive: bool,
    /// What was received cannot be used: it is to be closed at once.
    pub(super) corrupt: bool,
    /// Since when the beginning of a frame has been here without its end.
    partial_frame_since: Option<Micros>,
    /// Whether a complete frame was received since it was established.
    pub(super) frame_received: bool,
    /// When an attempt on it was last dispatched or cancelled.
    last_used: Micros,
}

impl ConnectionState {
    pub(super) fn wake_driver(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    /// Closes the connection once nothing is in flight; nothing new is sent on it.
    pub(super) fn close_when_idle(&mut self) {
        self.closing = true;
        self.wake_driver();
    }

    /// Whether nothing is in flight on it and it was not used for `idle_limit`.
    pub(super) fn is_idle_for(&self, idle_limit: Micros, now: Micros) -> bool {
        self.protocol.is_idle() && now.since(self.last_used) >= idle_limit
    }

    /// Whether these attempts may be sent on it, with at most `max_attempts` in flight.
    pub(super) fn accepts(&self, requests: &[AttemptRequest], max_attempts: usize) -> bool {
        !self.closing
            && self.protocol.in_flight() + requests.len() <= max_attempts
            && !requests
                .iter()
                .any(|request| self.protocol.awaits_late_answer(request))
    }

    /// Whether it is neither silent nor in the middle of a frame.
    pub(super) fn is_responsive(&self, now: Micros, silence_timeout: Micros) -> bool {
        self.partial_frame_since.is_none() && self.silence.silent_for(now) <= silence_timeout
    }

    /// Sends these attempts.
    pub(super) fn dispatch(&mut self, requests: &[AttemptRequest], now: Micros) {
        self.protocol.enqueue(requests);
        for request in requests {
            self.silence.record_dispatched(request.key, now);
        }
        self.last_used = now;
        self.wake_driver();
    }

    /// Cancels an attempt; true if this makes the connection unresponsive.
    pub(super) fn cancel(&mut self, key: AttemptKey, now: Micros, silence_timeout: Micros) -> bool {
        self.protocol.cancel(key);
        self.last_used = now;
        let silent = self.silence.record_cancelled(key, now, silence_timeout);
        let became_unresponsive = silent && !self.unresponsive;
        if became_unresponsive {
            self.unresponsive = true;
            self.closing = true;
        }
        self.wake_driver();
        became_unresponsive
    }

    /// Takes back what is not written yet and closes the connection once the rest has ended; the ends of what was taken
    /// back.
    pub(super) fn drain(&mut self) -> Vec<AttemptEvent> {
        let mut events = Vec::new();
        self.protocol.reclaim_unwritten(&mut events);
        for event in &events {
            if let AttemptEvent::Ended(key, _) = event {
                self.silence.record_ended(*key);
            }
        }
        self.close_when_idle();
        events
    }

    /// Notes the frames that what was just received has completed, and whether the beginning of another one is left.
    pub(super) fn record_frames(&mut self, complete_frames: usize, now: Micros) {
        self.frame_received |= complete_frames > 0;
        let since = self
            .partial_frame_since
            .filter(|_| complete_frames == 0)
            .unwrap_or(now);
        self.partial_frame_since = self.protocol.has_partial_frame().then_some(since);
    }

    /// Whether the end of a frame is overdue.
    pub(super) fn is_frame_overdue(&self, now: Micros) -> bool {
        self.partial_frame_since
            .is_some_and(|since| now.since(since) > PARTIAL_FRAME_TIMEOUT)
    }

    /// Closes the connection at once, since what was received cannot be used.
    pub(super) fn close_corrupt(&mut self) {
        self.corrupt = true;
        self.close_when_idle();
    }

    /// The connection has ended: prepares what is unsent for another one; false if there is to be none.
    pub(super) fn prepare_redial(&mut self) -> bool {
        self.waker = None;
        self.partial_frame_since = None;
        !self.closing && self.protocol.restart_unsent()
    }
}
