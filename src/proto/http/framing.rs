//! The framing of bodies (RFC 9112, sections 6 and 7). The end of a body is given by a length, by the
//! last chunk, or by the end of the connection.

use super::HttpError;
use crate::proto::buffer::Buffer;

/// The maximum length of a chunk's size line, and of one trailer field, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// The line end that follows the data of a chunk.
const CRLF: &[u8] = b"\r\n";

/// The framing of a body and the state of reading it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Framing {
    /// A body with a length, of which this number of bytes has not been received yet.
    ContentLength(u64),
    /// A body in chunks, which ends after the last chunk and the trailer fields.
    Chunked(ChunkState),
    /// A body that ends with the connection.
    CloseDelimited,
}

/// The next element of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ChunkState {
    /// The size line of a chunk.
    Size,
    /// The data of a chunk, of which this number of bytes has not been received yet.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// The trailer section, which ends with an empty line.
    Trailers,
}

/// The result of reading one element of a chunked body.
enum ChunkProgress {
    /// The element is complete, and another one follows.
    Advanced,
    /// The element is incomplete.
    NeedsInput,
    /// The body is complete.
    Complete,
}

impl Framing {
    /// Creates a chunked body of which nothing has been read.
    pub(super) fn chunked() -> Self {
        Framing::Chunked(ChunkState::Size)
    }

    /// Moves the available part of the body from `buffer` to `body`, which may hold at most
    /// `max_body` bytes. Returns whether the body is complete. The end of the connection completes a
    /// [`Framing::CloseDelimited`] body, so it is never complete here.
    pub(super) fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        max_body: usize,
    ) -> Result<bool, HttpError> {
        match self {
            Framing::ContentLength(left) => {
                move_counted(left, buffer, body, max_body)?;
                Ok(*left == 0)
            }
            Framing::Chunked(state) => state.read(buffer, body, max_body),
            Framing::CloseDelimited => {
                move_all(buffer, body, max_body)?;
                Ok(false)
            }
        }
    }
}

impl ChunkState {
    fn read(
        &mut self,
        buffer: &mut Buffer,
        body: &mut Vec<u8>,
        max_body: usize,
    ) -> Result<bool, HttpError> {
        loop {
            let progress = match self {
                ChunkState::Size => self.read_size(buffer)?,
                ChunkState::Data(left) => {
                    move_counted(left, buffer, body, max_body)?;
                    if *left > 0 {
                        return Ok(false);
                    }
                    *self = ChunkState::DataEnd;
                    ChunkProgress::Advanced
                }
                ChunkState::DataEnd => self.read_data_end(buffer)?,
                ChunkState::Trailers => read_trailer(buffer)?,
            };
            match progress {
                ChunkProgress::Advanced => {}
                ChunkProgress::NeedsInput => return Ok(false),
                ChunkProgress::Complete => return Ok(true),
            }
        }
    }

    fn read_size(&mut self, buffer: &mut Buffer) -> Result<ChunkProgress, HttpError> {
        let data = buffer.data();
        match httparse::parse_chunk_size(data) {
            Ok(httparse::Status::Complete((length, size))) => {
                buffer.consume(length);
                *self = if size == 0 {
                    ChunkState::Trailers
                } else {
                    ChunkState::Data(size)
                };
                Ok(ChunkProgress::Advanced)
            }
            Ok(httparse::Status::Partial) if data.len() < MAX_CHUNK_LINE_BYTES => {
                Ok(ChunkProgress::NeedsInput)
            }
            _ => Err(HttpError::Malformed),
        }
    }

    fn read_data_end(&mut self, buffer: &mut Buffer) -> Result<ChunkProgress, HttpError> {
        let data = buffer.data();
        if data.len() < CRLF.len() {
            return Ok(ChunkProgress::NeedsInput);
        }
        if !data.starts_with(CRLF) {
            return Err(HttpError::Malformed);
        }
        buffer.consume(CRLF.len());
        *self = ChunkState::Size;
        Ok(ChunkProgress::Advanced)
    }
}

/// Skips one trailer field, or the empty line that ends the body.
fn read_trailer(buffer: &mut Buffer) -> Result<ChunkProgress, HttpError> {
    let data = buffer.data();
    let Some(length) = data.windows(CRLF.len()).position(|window| window == CRLF) else {
        return if data.len() < MAX_CHUNK_LINE_BYTES {
            Ok(ChunkProgress::NeedsInput)
        } else {
            Err(HttpError::Malformed)
        };
    };
    buffer.consume(length + CRLF.len());
    Ok(if length == 0 {
        ChunkProgress::Complete
    } else {
        ChunkProgress::Advanced
    })
}

/// Moves at most `left` bytes and subtracts their number from `left`. Fails before moving any byte if
/// `body` would exceed `max_body` bytes with all that is left.
fn move_counted(
    left: &mut u64,
    buffer: &mut Buffer,
    body: &mut Vec<u8>,
    max_body: usize,
) -> Result<(), HttpError> {
    if body.len() as u64 + *left > max_body as u64 {
        return Err(HttpError::BodyTooLarge);
    }
    let data = buffer.data();
    let length = data.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
    body.extend_from_slice(&data[..length]);
    buffer.consume(length);
    *left -= length as u64;
    Ok(())
}

/// Moves all received bytes. Fails if `body` would exceed `max_body` bytes.
fn move_all(buffer: &mut Buffer, body: &mut Vec<u8>, max_body: usize) -> Result<(), HttpError> {
    let data = buffer.data();
    let length = data.len();
    if body.len() + length > max_body {
        return Err(HttpError::BodyTooLarge);
    }
    body.extend_from_slice(data);
    buffer.consume(length);
    Ok(())
}
