//! Frames as bytes: encoding of requests, decoding and validation of answers.

use crate::coordinator::{AttemptEnd, AttemptRequest};
use crate::interface::Outcome;

/// The most bytes of a frame from a data node: the bound of a value and its line.
const MAX_FRAME_LENGTH: usize = 64 * 1024 + 1024;
/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// The bytes of a frame's length and letter.
pub(super) const HEADER_BYTES: usize = LENGTH_BYTES + 1;
/// Timeouts in frames are in milliseconds.
const MICROS_PER_MILLI: u64 = 1_000;

/// The letters for the kinds of frames.
mod letter {
    /// Attempts at parts of queries, to the node.
    pub(super) const QUERY: u8 = b'q';
    /// The id of a cancelled attempt, to the node.
    pub(super) const CANCEL: u8 = b'c';
    /// The answer to an attempt.
    pub(super) const ANSWER: u8 = b'a';
    /// The node could not use a frame and closes the connection.
    pub(super) const ERROR: u8 = b'e';
    /// A health check, or its answer; this program sends none.
    pub(super) const HEALTH_CHECK: u8 = b'p';
    /// A request for a load report, or its answer; this program sends none.
    pub(super) const LOAD_REPORT: u8 = b'l';
}

/// Why bytes from a data node cannot be used; the connection ends then.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length of a frame is zero or beyond the bound.
    #[error("a frame of {0} bytes")]
    Length(usize),
    /// The kind of a frame is not known.
    #[error("unknown letter {0:?}")]
    UnknownLetter(char),
    /// The node rejected a frame, for this reason.
    #[error("refused: {0}")]
    Rejected(String),
    /// The line of an answer has no end.
    #[error("an answer with no end of its line")]
    UnterminatedLine,
    /// The line of an answer has too few fields, or is no text.
    #[error("an answer with a line that cannot be read")]
    MalformedLine,
    /// The score of an answer is no number, or its value is no plain text.
    #[error("an answer with a score or a value that cannot be read")]
    MalformedValue,
    /// An answer reports an end that is not known.
    #[error("an answer with the unknown end {0:?}")]
    UnknownEnd(String),
    /// The answer is to an attempt that was never sent on the connection.
    #[error("an answer to what never went out")]
    UnknownAttempt,
}

/// A frame from a data node.
pub(super) struct IncomingFrame<'a> {
    /// Its bytes, header included.
    pub(super) length: usize,
    pub(super) content: FrameContent<'a>,
}

/// What a frame from a data node carries.
pub(super) enum FrameContent<'a> {
    Answer(AttemptAnswer<'a>),
    /// Something that this program does not ask for; it does no harm.
    Ignored,
}

/// The answer to one attempt.
pub(super) struct AttemptAnswer<'a> {
    /// The attempt's id at the node.
    pub(super) id: &'a str,
    pub(super) end: AttemptEnd,
}

/// What an attempt is called at its node; all attempts at a part have the same id.
pub(super) fn attempt_id(request: &AttemptRequest) -> String {
    format!("{}.{}", request.request_id, request.shard.0)
}

/// Appends one attempt to the payload of a query frame.
pub(super) fn encode_attempt(id: &str, request: &AttemptRequest, payload: &mut Vec<u8>) {
    // The node's timeout is this program's, rounded up: it must not give up first.
    let timeout_ms = request.timeout.0.div_ceil(MICROS_PER_MILLI);
    let line = format!(
        "{id} {} d={timeout_ms} {}\n",
        request.shard.0,
        request.payload.len()
    );
    payload.extend_from_slice(line.as_bytes());
    payload.extend_from_slice(&request.payload);
}

/// A query frame with this payload.
pub(super) fn query_frame(payload: &[u8]) -> Vec<u8> {
    frame(letter::QUERY, payload)
}

/// A frame that cancels an attempt.
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

/// Writes the length of a frame whose payload has changed.
pub(super) fn update_length(frame: &mut [u8]) {
    let length = (frame.len() - LENGTH_BYTES) as u32;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Decodes the frame at the front of what was received; `None` while it is incomplete.
pub(super) fn decode(data: &[u8]) -> Result<Option<IncomingFrame<'_>>, FrameError> {
    let Some(length) = data.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_LENGTH {
        return Err(FrameError::Length(length));
    }
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

/// Decodes an answer: a line of id, end, score and load report, then the value. Only a value exactly as the node made it may
/// reach a client, so that anything malformed invalidates the answer; only the load report may be anything, since nothing
/// depends on it.
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

/// A value with a valid score and no control characters: two frames run together by a wrong length contain the second one's
/// header.
fn checked_value<'a>(score: &str, value: &'a [u8]) -> Result<&'a [u8], FrameError> {
    let score_valid = score.parse::<f64>().is_ok_and(f64::is_finite);
    let is_plain_text = |text: &str| !text.contains(char::is_control);
    if score_valid && std::str::from_utf8(value).is_ok_and(is_plain_text) {
        Ok(value)
    } else {
        Err(FrameError::MalformedValue)
    }
}

#[cfg(test)]
mod tests;
