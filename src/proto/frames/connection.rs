//! The protocol state of one connection to a data node: frames to write, attempts in flight, and
//! events for the coordinator.

use super::attempts::{AnsweredAttempt, AttemptTable};
use super::codec::{self, AttemptAnswer, FrameContent, FrameError};
use super::outgoing::{OutgoingFrame, QueuedAttempt};
use super::plain_text::plain_text_length;
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
    /// The end of the attempt that was answered last, until the bytes behind its answer show whether
    /// the answer's length is right.
    unconfirmed: Option<UnconfirmedEnd>,
}

/// The end of an attempt according to an answer whose length may be wrong.
#[derive(Debug)]
struct UnconfirmedEnd {
    key: AttemptKey,
    end: AttemptEnd,
}

impl UnconfirmedEnd {
    fn into_event(self) -> AttemptEvent {
        AttemptEvent::Ended(self.key, self.end)
    }

    /// Returns the event of an attempt whose answer is corrupt. The node may have run it.
    fn into_corrupt_event(self) -> AttemptEvent {
        AttemptEvent::Ended(self.key, AttemptEnd::Failed(Outcome::Reset))
    }
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

    /// Processes the input buffer and returns the number of complete frames in it. The event of the
    /// last answer is added once the next frame has been received, or by
    /// [`MultiplexedConnection::confirm_last_answer`].
    ///
    /// # Errors
    /// Fails if a frame is invalid. The events of the frames before it are valid.
    pub fn process_input(&mut self, events: &mut Vec<AttemptEvent>) -> Result<usize, FrameError> {
        let mut complete_frames = 0;
        loop {
            let frame = match codec::decode(self.input.data()) {
                Ok(Some(frame)) => frame,
                Ok(None) => return Ok(complete_frames),
                Err(error) => return Err(self.resolve_last_answer(error, events)),
            };
            events.extend(self.unconfirmed.take().map(UnconfirmedEnd::into_event));
            if let FrameContent::Answer(answer) = frame.content {
                self.unconfirmed = accept_answer(&mut self.attempts, answer)?;
            }
            self.input.consume(frame.length);
            complete_frames += 1;
        }
    }

    /// Adds the event of the last answer. The caller has read all bytes that have arrived: a node
    /// writes a frame at once, so that the rest of a value would have arrived with the frame.
    pub fn confirm_last_answer(&mut self, events: &mut Vec<AttemptEvent>) {
        events.extend(self.unconfirmed.take().map(UnconfirmedEnd::into_event));
    }

    /// Adds the event of the last answer, behind which there are invalid bytes, and returns the
    /// error. The attempt fails if these bytes may be the rest of its value.
    fn resolve_last_answer(
        &mut self,
        error: FrameError,
        events: &mut Vec<AttemptEvent>,
    ) -> FrameError {
        let Some(unconfirmed) = self.unconfirmed.take() else {
            return error;
        };
        if self.may_be_rest_of_value(self.input.data()) {
            events.push(unconfirmed.into_corrupt_event());
            return FrameError::ShortAnswer;
        }
        events.push(unconfirmed.into_event());
        error
    }

    /// Returns whether bytes that are no frame may be the rest of the value before them. The rest of
    /// a value is plain text, and only frames follow it. If the node has no more answers to send,
    /// text with other bytes behind it is noise.
    fn may_be_rest_of_value(&self, bytes: &[u8]) -> bool {
        let behind_text = &bytes[plain_text_length(bytes)..];
        let begins_with_text = behind_text.len() < bytes.len();
        begins_with_text
            && (self.attempts.awaits_any_answer() || codec::decode(behind_text).is_ok())
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
        self.confirm_last_answer(events);
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

/// Returns the end of an attempt in flight that is answered. Duplicate answers and answers to cancelled
/// attempts are ignored. An answer to an attempt that was never sent on this connection is an error:
/// its id must be corrupted, and the attempt to which it belongs would get no other answer.
fn accept_answer(
    attempts: &mut AttemptTable,
    answer: AttemptAnswer<'_>,
) -> Result<Option<UnconfirmedEnd>, FrameError> {
    match attempts.record_answer(answer.id) {
        AnsweredAttempt::InFlight(key) => Ok(Some(UnconfirmedEnd {
            key,
            end: answer.end,
        })),
        AnsweredAttempt::Retired => Ok(None),
        AnsweredAttempt::Unknown => Err(FrameError::UnknownAttempt),
    }
}
