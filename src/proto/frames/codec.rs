//! The encoding of frames: requests are encoded, answers are decoded and validated.

use super::plain_text::is_plain_text;
use crate::coordinator::{AttemptEnd, AttemptRequest};
use crate::interface::Outcome;

/// The maximum length of a frame from a data node, in bytes: that of the longest value and of the
/// line before it.
const MAX_FRAME_BYTES: usize = 64 * 1024 + 1024;
/// The size of a frame's length field, in bytes.
const LENGTH_BYTES: usize = 4;
/// The size of a frame's length field and letter, in bytes.
pub(super) const HEADER_BYTES: usize = LENGTH_BYTES + 1;
/// The number of microseconds in a millisecond, the unit of timeouts in frames.
const MICROS_PER_MILLI: u64 = 1_000;

/// The letters that denote the kinds of frames.
mod letter {
    /// Attempts at parts of queries, sent to the node.
    pub(super) const QUERY: u8 = b'q';
    /// The cancellation of an attempt, sent to the node.
    pub(super) const CANCEL: u8 = b'c';
    /// The answer to an attempt.
    pub(super) const ANSWER: u8 = b'a';
    /// An error: the node has rejected a frame and closes the connection.
    pub(super) const ERROR: u8 = b'e';
    /// A health check or its result. The coordinator sends no health checks.
    pub(super) const HEALTH_CHECK: u8 = b'p';
    /// A request for a load report, or the report. The coordinator sends no such requests.
    pub(super) const LOAD_REPORT: u8 = b'l';
}

/// The reason why bytes from a data node are rejected, after which the connection is closed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length of a frame is zero or exceeds the maximum. If part of the length field is missing,
    /// this is the smallest length that the field can state.
    #[error("frame length of {0} bytes is zero or exceeds the maximum")]
    InvalidLength(usize),
    /// The bytes behind an answer are no frame and may be the rest of its value, so that the
    /// answer's length may be too small.
    #[error("bytes behind an answer may be the rest of its value")]
    ShortAnswer,
    /// The letter of a frame denotes no known kind.
    #[error("unknown frame letter {0:?}")]
    UnknownLetter(char),
    /// The node rejected a frame for this reason.
    #[error("data node rejected a frame: {0}")]
    Rejected(String),
    /// The first line of an answer has no end.
    #[error("answer has an unterminated first line")]
    UnterminatedLine,
    /// The first line of an answer has too few fields, or is not UTF-8.
    #[error("answer has a malformed first line")]
    MalformedLine,
    /// The score of an answer is not a finite number, or the value is not plain text.
    #[error("answer has a malformed score or value")]
    MalformedValue,
    /// The answer states an unknown end of its attempt.
    #[error("answer has the unknown end {0:?}")]
    UnknownEnd(String),
    /// The answer belongs to no attempt that was sent on the connection.
    #[error("answer to an attempt that was never sent on this connection")]
    UnknownAttempt,
}

/// A frame from a data node.
pub(super) struct IncomingFrame<'a> {
    /// The length of the frame with its header, in bytes.
    pub(super) length: usize,
    /// The decoded content.
    pub(super) content: FrameContent<'a>,
}

/// The content of a frame from a data node.
pub(super) enum FrameContent<'a> {
    /// The answer to an attempt.
    Answer(AttemptAnswer<'a>),
    /// A frame of a kind that the coordinator does not use.
    Ignored,
}

/// The answer to one attempt.
pub(super) struct AttemptAnswer<'a> {
    /// The id of the attempt.
    pub(super) id: &'a str,
    /// The end of the attempt.
    pub(super) end: AttemptEnd,
}

/// Returns the id of an attempt in frames. All attempts at a part have the same id.
pub(super) fn attempt_id(request: &AttemptRequest) -> String {
    format!("{}.{}", request.request_id, request.shard.0)
}

/// Appends one attempt to the payload of a query frame.
pub(super) fn encode_attempt(id: &str, request: &AttemptRequest, payload: &mut Vec<u8>) {
    // The timeout is rounded up, so that the node does not time out before the coordinator.
    let timeout_ms = request.timeout.0.div_ceil(MICROS_PER_MILLI);
    let line = format!(
        "{id} {} d={timeout_ms} {}\n",
        request.shard.0,
        request.payload.len()
    );
    payload.extend_from_slice(line.as_bytes());
    payload.extend_from_slice(&request.payload);
}

/// Encodes a query frame with this payload.
pub(super) fn query_frame(payload: &[u8]) -> Vec<u8> {
    frame(letter::QUERY, payload)
}

/// Encodes a frame that cancels an attempt.
pub(super) fn cancel_frame(id: &str) -> Vec<u8> {
    frame(letter::CANCEL, id.as_bytes())
}

fn frame(letter: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(payload.len() + HEADER_BYTES);
    bytes.extend((payload.len() as u32 + 1).to_be_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(payload);
    bytes
}

/// Updates the length field of a frame whose payload has changed.
pub(super) fn update_length(frame: &mut [u8]) {
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Decodes the first frame of the received bytes. Returns `None` if the frame is incomplete.
pub(super) fn decode(data: &[u8]) -> Result<Option<IncomingFrame<'_>>, FrameError> {
    let Some(length) = decode_length(data)? else {
        return Ok(None);
    };
    let Some(body) = data.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
        return Ok(None);
    };
    let payload = &body[1..];
    let content = match body[0] {
        letter::ANSWER => FrameContent::Answer(decode_answer(payload)?),
        letter::HEALTH_CHECK | letter::LOAD_REPORT => FrameContent::Ignored,
        letter::ERROR => {
            return Err(FrameError::Rejected(
                String::from_utf8_lossy(payload).into_owned(),
            ))
        }
        other => return Err(FrameError::UnknownLetter(char::from(other))),
    };
    Ok(Some(IncomingFrame {
        length: LENGTH_BYTES + length,
        content,
    }))
}

/// Decodes the length field of a frame. Returns `None` if part of the field is missing, unless the
/// part that was received rules out a valid length.
fn decode_length(data: &[u8]) -> Result<Option<usize>, FrameError> {
    let received = data.len().min(LENGTH_BYTES);
    let mut field = [0; LENGTH_BYTES];
    field[..received].copy_from_slice(&data[..received]);
    let length = u32::from_be_bytes(field) as usize;
    let complete = received == LENGTH_BYTES;
    if length > MAX_FRAME_BYTES || (complete && length == 0) {
        return Err(FrameError::InvalidLength(length));
    }
    Ok(complete.then_some(length))
}

/// Decodes an answer: a line with the id, the end of the attempt, the score and the load report, and
/// after it the value. An answer with a malformed field is rejected, since no corrupted value may
/// reach a client. Only the load report is not checked, since it is not used.
fn decode_answer(payload: &[u8]) -> Result<AttemptAnswer<'_>, FrameError> {
    let line_end = payload
        .iter()
        .position(|b| *b == b'\n')
        .ok_or(FrameError::UnterminatedLine)?;
    let mut fields = payload[..line_end]
        .splitn(4, |b| *b == b' ')
        .map(std::str::from_utf8);
    let (Some(Ok(id)), Some(Ok(end)), Some(Ok(score)), Some(_load_report)) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return Err(FrameError::MalformedLine);
    };
    let end = match end {
        "served" => AttemptEnd::Served(checked_value(score, &payload[line_end + 1..])?.into()),
        "broke" => AttemptEnd::Failed(Outcome::Error),
        "skipped" => AttemptEnd::Failed(Outcome::Rejected),
        other => return Err(FrameError::UnknownEnd(other.to_owned())),
    };
    Ok(AttemptAnswer { id, end })
}

/// Returns the value if it is UTF-8 without control characters and the score is valid. If a corrupted
/// length joins two frames, the value contains the header of the second frame, which has control
/// characters.
fn checked_value<'a>(score: &str, value: &'a [u8]) -> Result<&'a [u8], FrameError> {
    let score_valid = score.parse::<f64>().is_ok_and(f64::is_finite);
    if score_valid && is_plain_text(value) {
        Ok(value)
    } else {
        Err(FrameError::MalformedValue)
    }
}

#[cfg(test)]
mod tests;
