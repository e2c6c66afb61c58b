//! The protocol state of one connection to a data node: frames to write, attempts in flight, and
//! events for the coordinator.

use super::attempts::{AnsweredAttempt, AttemptTable};
use super::codec::{self, AttemptAnswer, FrameContent, FrameError};
use super::outgoing::{OutgoingFrame, QueuedAttempt};
use crate::coordinator::{AttemptEnd, AttemptKey, AttemptRequest};
use crate::interface::Outcome;
use crate::proto::buffer::Buffer;
use std::collections::VecDeque;

/// An event of an attempt, caused by bytes that were written or read.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// The first byte of the attempt's frame was written, so that the frame can no longer be
    /// reclaimed.
    WriteStarted(AttemptKey),
    /// The last byte of the attempt's frame was written.
    FullyWritten(AttemptKey),
    /// The attempt has ended.
    Ended(AttemptKey, AttemptEnd),
}

/// A connection to a data node that multiplexes attempts, without its socket: received bytes go in,
/// events and bytes to write come out.
#[derive(Debug, Default)]
pub struct MultiplexedConnection {
    input: Buffer,
    output: VecDeque<OutgoingFrame>,
    attempts: AttemptTable,
}

impl MultiplexedConnection {
    /// Queues one frame that carries these attempts.
    pub fn enqueue(&mut self, requests: &[AttemptRequest]) {
        let mut payload = Vec::new();
        let mut queued = Vec::new();
        for request in requests {
            let id = codec::attempt_id(request);
            let start = payload.len();
            codec::encode_attempt(&id, request, &mut payload);
            let bytes = payload.len() - start;
            queued.push(QueuedAttempt {
                key: request.key,
                bytes,
                metrics: request.metrics.clone(),
            });
            self.attempts.insert(request.key, id);
        }
        self.output
            .push_back(OutgoingFrame::query(&payload, queued));
    }

    /// Cancels an attempt. If no byte of its frame has been written, the attempt is removed from
    /// the frame; otherwise a frame that cancels it is queued.
    pub fn cancel(&mut self, key: AttemptKey) {
        let Some(id) = self.attempts.remove(key) else {
            return;
        };
        let Some(at) = self
            .output
            .iter()
            .position(|frame| frame.carries_unwritten(key))
        else {
            self.output.push_back(OutgoingFrame::cancel(&id));
            return self.attempts.retire(id, false);
        };
        self.output[at].retain(|other| other != key);
        if !self.output[at].carries_attempts() {
            self.output.remove(at);
        }
    }

    /// Returns whether an earlier attempt at this part was cancelled on this connection and may
    /// still be answered. Its answer would be mistaken for that to the new attempt, which has the
    /// same id. If it were a rejection or an error, the part would be sent a third time while the
    /// second attempt is still in flight.
    #[must_use]
    pub fn awaits_late_answer(&self, request: &AttemptRequest) -> bool {
        request.key.attempt.0 > 0
            && self
                .attempts
                .awaits_late_answer(&codec::attempt_id(request))
    }

    /// Reclaims every frame of which no byte has been written, since a draining node receives no new
    /// attempts. Their attempts end with [`Outcome::NotSent`].
    pub fn reclaim_unwritten(&mut self, events: &mut Vec<AttemptEvent>) {
        let (reclaimed, kept): (Vec<_>, Vec<_>) = self
            .output
            .drain(..)
            .partition(OutgoingFrame::is_reclaimable);
        self.output = kept.into();
        for key in reclaimed.iter().flat_map(OutgoingFrame::keys) {
            if self.attempts.remove(key).is_some() {
                events.push(AttemptEvent::Ended(
                    key,
                    AttemptEnd::Failed(Outcome::NotSent),
                ));
            }
        }
    }

    /// Returns the bytes to write next.
    #[must_use]
    pub fn output(&self) -> &[u8] {
        self.output.front().map_or(&[], OutgoingFrame::remaining)
    }

    /// Records that `bytes` bytes of [`MultiplexedConnection::output`] were written.
    pub fn record_written(&mut self, bytes: usize, events: &mut Vec<AttemptEvent>) {
        let Some(front) = self.output.front_mut() else {
            return;
        };
        let started = front.record_written(bytes);
        if !front.is_fully_written() {
            if started {
                let in_flight = front.keys().filter(|key| self.attempts.contains(*key));
                events.extend(in_flight.map(AttemptEvent::WriteStarted));
            }
            return;
        }
        let Some(written) = self.output.pop_front() else {
            return;
        };
        for attempt in written.into_attempts() {
            attempt.metrics.attempts.increment();
            if self.attempts.mark_fully_written(attempt.key) {
                events.push(AttemptEvent::FullyWritten(attempt.key));
            }
        }
    }

    /// Returns the buffer for reads, each of which is followed by
    /// [`MultiplexedConnection::process_input`].
    pub fn input(&mut self) -> &mut Buffer {
        &mut self.input
    }

    /// Processes the input buffer and returns the number of complete frames in it.
    ///
    /// # Errors
    /// Fails if a frame is invalid. The events of the frames before it are valid.
    pub fn process_input(&mut self, events: &mut Vec<AttemptEvent>) -> Result<usize, FrameError> {
        let mut complete_frames = 0;
        while let Some(frame) = codec::decode(self.input.data())? {
            if let FrameContent::Answer(answer) = frame.content {
                events.extend(accept_answer(&mut self.attempts, answer)?);
            }
            self.input.consume(frame.length);
            complete_frames += 1;
        }
        Ok(complete_frames)
    }

    /// Returns whether part of a frame has been received.
    #[must_use]
    pub fn has_partial_frame(&self) -> bool {
        !self.input.data().is_empty()
    }

    /// Prepares the frames for another connection after this one has ended, so that no part fails
    /// because a node closed an idle connection. Every frame is written again from its first byte.
    /// Returns `false` and changes nothing if the node may have run an attempt in flight, or if none
    /// is in flight.
    pub fn restart_unsent(&mut self) -> bool {
        if self.attempts.is_empty() || self.attempts.any_fully_written() {
            return false;
        }
        self.input = Buffer::default();
        self.attempts.clear_retired();
        let attempts = &self.attempts;
        self.output
            .iter_mut()
            .for_each(|frame| frame.retain(|key| attempts.contains(key)));
        self.output.retain(OutgoingFrame::carries_attempts);
        true
    }

    /// Ends every attempt after the connection has ended or could not be established. The node can
    /// only have run an attempt whose last byte was written.
    pub fn fail_all(&mut self, events: &mut Vec<AttemptEvent>) {
        self.output.clear();
        for attempt in self.attempts.drain() {
            let outcome = if attempt.fully_written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            events.push(AttemptEvent::Ended(
                attempt.key,
                AttemptEnd::Failed(outcome),
            ));
        }
    }

    /// Returns the number of attempts that are in flight or queued.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether nothing is in flight and nothing is to be written.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.output.is_empty()
    }

    /// Returns whether this attempt is in flight or queued here.
    #[must_use]
    pub fn contains(&self, key: AttemptKey) -> bool {
        self.attempts.contains(key)
    }
}

/// Returns the event of an answer to an attempt in flight. Duplicate answers and answers to cancelled
/// attempts are ignored. An answer to an attempt that was never sent on this connection is an error:
/// its id must be corrupted, and the attempt to which it belongs would get no other answer.
fn accept_answer(
    attempts: &mut AttemptTable,
    answer: AttemptAnswer<'_>,
) -> Result<Option<AttemptEvent>, FrameError> {
    match attempts.record_answer(answer.id) {
        AnsweredAttempt::InFlight(key) => Ok(Some(AttemptEvent::Ended(key, answer.end))),
        AnsweredAttempt::Retired => Ok(None),
        AnsweredAttempt::Unknown => Err(FrameError::UnknownAttempt),
    }
}
