//! The state of one connection to a data node, which the pool and the connection's driver share.

use super::silence::SilenceDetector;
use crate::coordinator::{AttemptKey, AttemptRequest};
use crate::proto::frames::{AttemptEvent, MultiplexedConnection};
use crate::sync::lock;
use crate::time::Micros;
use may::io::WaitIoWaker;
use std::sync::{Mutex, MutexGuard};

/// The maximum time from the first bytes of a frame to its end. A frame that takes longer is
/// assumed to have a wrong length: it would never end, and the frames after it would be read as its
/// content.
const PARTIAL_FRAME_TIMEOUT: Micros = Micros::from_millis(50);

/// A connection to a data node, established or not yet.
#[derive(Default)]
pub(super) struct NodeConnection {
    state: Mutex<ConnectionState>,
}

impl NodeConnection {
    /// Creates a connection that is dialed at the time `now`.
    pub(super) fn opened_at(now: Micros) -> Self {
        let silence = SilenceDetector::opened_at(now);
        NodeConnection {
            state: Mutex::new(ConnectionState {
                silence,
                opened_at: now,
                last_used: now,
                ..ConnectionState::default()
            }),
        }
    }

    /// Locks the state.
    pub(super) fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }
}

/// The state of a [`NodeConnection`].
#[derive(Default)]
pub(super) struct ConnectionState {
    /// The protocol state.
    pub(super) protocol: MultiplexedConnection,
    /// The silence detection.
    pub(super) silence: SilenceDetector,
    /// The waker of the driver; set while the connection is established.
    pub(super) waker: Option<WaitIoWaker>,
    /// Whether the connection has ended or could not be established.
    pub(super) closed: bool,
    /// Whether no new attempts are sent, and the connection is closed once nothing is in flight.
    pub(super) closing: bool,
    /// Whether the connection counted as silent when an attempt on it was cancelled.
    silent_on_cancel: bool,
    /// Whether received bytes cannot be used, so that the connection is closed at once.
    pub(super) corrupt: bool,
    /// The time since which part of a frame has been received; `None` between frames.
    partial_frame_since: Option<Micros>,
    /// Whether a complete frame was received since the connection was established.
    pub(super) frame_received: bool,
    /// Whether the endpoint list shows that the node's process at the other end has ended.
    pub(super) superseded: bool,
    /// The time of the first dial.
    opened_at: Micros,
    /// The time at which an attempt was last dispatched or cancelled.
    last_used: Micros,
}

impl ConnectionState {
    /// Wakes the driver, if the connection is established.
    pub(super) fn wake_driver(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    /// Closes the connection once nothing is in flight. Nothing new is sent on it.
    pub(super) fn close_when_idle(&mut self) {
        self.closing = true;
        self.wake_driver();
    }

    /// Returns whether nothing is in flight and the connection was not used for `idle_timeout`.
    pub(super) fn is_idle_for(&self, idle_timeout: Micros, now: Micros) -> bool {
        self.protocol.is_idle() && now.since(self.last_used) >= idle_timeout
    }

    /// Returns whether these attempts may be sent on this connection, which carries at most
    /// `max_attempts` at a time. An attempt may not be sent if the answer to an earlier attempt
    /// at its part may still arrive here: that answer would be mistaken for the one to the new
    /// attempt.
    pub(super) fn accepts(&self, requests: &[AttemptRequest], max_attempts: usize) -> bool {
        !self.closing
            && self.protocol.in_flight() + requests.len() <= max_attempts
            && !requests
                .iter()
                .any(|request| self.protocol.awaits_late_answer(request))
    }

    /// Returns whether the connection is neither silent nor in the middle of a frame.
    pub(super) fn is_responsive(&self, now: Micros, silence_timeout: Micros) -> bool {
        self.partial_frame_since.is_none() && self.silence.silent_for(now) <= silence_timeout
    }

    /// Queues these attempts for sending.
    pub(super) fn dispatch(&mut self, requests: &[AttemptRequest], now: Micros) {
        self.protocol.enqueue(requests);
        for request in requests {
            self.silence.record_dispatched(request.key, now);
        }
        self.last_used = now;
        self.wake_driver();
    }

    /// Cancels an attempt. Returns whether this is the first cancellation that finds the connection
    /// silent. Such a connection is closed once nothing is in flight.
    pub(super) fn cancel(&mut self, key: AttemptKey, now: Micros, silence_timeout: Micros) -> bool {
        self.protocol.cancel(key);
        self.last_used = now;
        let silent = self.silence.record_cancelled(key, now, silence_timeout);
        let became_silent = silent && !self.silent_on_cancel;
        if became_silent {
            self.silent_on_cancel = true;
            self.closing = true;
        }
        self.wake_driver();
        became_silent
    }

    /// Reclaims attempts of which nothing was written, and closes the connection once the others
    /// have ended. Returns the ends of the reclaimed attempts.
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

    /// Ends the connection since the process at its other end has ended. Returns the ends of the
    /// attempts of which nothing was written. The driver ends the others after it has read the
    /// bytes that were already received.
    pub(super) fn supersede(&mut self) -> Vec<AttemptEvent> {
        self.superseded = true;
        self.drain()
    }

    /// Returns the time of the first dial.
    pub(super) fn opened_at(&self) -> Micros {
        self.opened_at
    }

    /// Records the number of frames that the last read completed, and whether part of another frame
    /// is left.
    pub(super) fn record_frames(&mut self, complete_frames: usize, now: Micros) {
        self.frame_received |= complete_frames > 0;
        let since = self
            .partial_frame_since
            .filter(|_| complete_frames == 0)
            .unwrap_or(now);
        self.partial_frame_since = self.protocol.has_partial_frame().then_some(since);
    }

    /// Returns whether a frame has been incomplete for too long.
    pub(super) fn is_frame_overdue(&self, now: Micros) -> bool {
        self.partial_frame_since
            .is_some_and(|since| now.since(since) > PARTIAL_FRAME_TIMEOUT)
    }

    /// Closes the connection at once, since received bytes cannot be used.
    pub(super) fn close_corrupt(&mut self) {
        self.corrupt = true;
        self.close_when_idle();
    }

    /// Prepares the unsent attempts for another connection after this one has ended. Returns
    /// whether to dial again.
    pub(super) fn prepare_redial(&mut self) -> bool {
        self.waker = None;
        self.partial_frame_since = None;
        !self.closing && self.protocol.restart_unsent()
    }
}
