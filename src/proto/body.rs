//! Bodies of responses: queues of owned bytes and of ranges of shared bytes, which are written
//! without being copied.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;

/// Bytes with several owners, such as a page in a cache.
pub type SharedBytes = Arc<dyn AsRef<[u8]> + Send + Sync>;

/// The size up to which adjacent owned pieces are joined, in bytes: another system call costs more
/// than the copy.
const MAX_JOINED_BYTES: usize = 16 * 1024;
/// The size up to which shared ranges are copied, in bytes: a piece of its own costs more.
const MAX_COPIED_BYTES: usize = 512;

/// A contiguous part of a body.
#[derive(Clone)]
enum Piece {
    Owned(Vec<u8>),
    Shared(SharedBytes, Range<usize>),
}

impl Piece {
    fn bytes(&self) -> &[u8] {
        match self {
            Piece::Owned(bytes) => bytes,
            Piece::Shared(shared, range) => &shared.as_ref().as_ref()[range.clone()],
        }
    }

    /// Returns the memory that is released with this piece, in bytes; shared bytes do not count.
    fn owned_memory(&self) -> usize {
        match self {
            Piece::Owned(bytes) => bytes.capacity(),
            Piece::Shared(..) => 0,
        }
    }
}

/// A queue of bytes, in pieces.
#[derive(Clone, Default)]
pub struct Body {
    pieces: VecDeque<Piece>,
    /// The number of bytes left in all pieces.
    length: usize,
    /// The number of bytes of the first piece that have been consumed.
    consumed: usize,
}

impl Body {
    /// Appends a copy of the bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        match self.pieces.back_mut() {
            Some(Piece::Owned(last)) if last.len() + bytes.len() <= MAX_JOINED_BYTES => {
                last.extend_from_slice(bytes)
            }
            _ if bytes.is_empty() => {}
            _ => self.pieces.push_back(Piece::Owned(bytes.to_vec())),
        }
    }

    /// Appends a range of shared bytes, which are referenced until they are written. Appends
    /// nothing if the range is out of bounds.
    pub fn push_shared(&mut self, shared: SharedBytes, range: Range<usize>) {
        let length = shared
            .as_ref()
            .as_ref()
            .get(range.clone())
            .map_or(0, <[u8]>::len);
        if length == 0 {
            return;
        }
        if length <= MAX_COPIED_BYTES {
            let bytes = shared.as_ref().as_ref()[range].to_vec();
            return self.push(&bytes);
        }
        self.length += length;
        self.pieces.push_back(Piece::Shared(shared, range));
    }

    /// Appends another body, of which nothing may have been consumed.
    pub fn append(&mut self, mut other: Body) {
        debug_assert_eq!(other.consumed, 0, "only complete bodies are joined");
        // The first piece is joined to the last one here, so that a small response is one write.
        let is_short =
            |piece: &Piece| matches!(piece, Piece::Owned(bytes) if bytes.len() <= MAX_JOINED_BYTES);
        if other.pieces.front().is_some_and(is_short) {
            if let Some(Piece::Owned(first)) = other.pieces.pop_front() {
                other.length -= first.len();
                self.push(&first);
            }
        }
        self.length += other.length;
        self.pieces.append(&mut other.pieces);
    }

    /// Returns the number of bytes left.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no bytes are left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the next contiguous bytes; empty only if none are left.
    #[must_use]
    pub fn front(&self) -> &[u8] {
        self.pieces
            .front()
            .map_or(&[], |piece| &piece.bytes()[self.consumed..])
    }

    /// Consumes the next `count` bytes.
    pub fn advance(&mut self, count: usize) {
        let mut count = count.min(self.length);
        self.length -= count;
        while let Some(first) = self.pieces.front() {
            let left = first.bytes().len() - self.consumed;
            if count < left {
                self.consumed += count;
                return;
            }
            count -= left;
            self.consumed = 0;
            self.pieces.pop_front();
        }
    }

    /// Returns the memory that is released with this body, in bytes; shared bytes do not count.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.pieces.iter().map(Piece::owned_memory).sum()
    }

    /// Returns a copy of all bytes left.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        let mut all = Vec::with_capacity(self.length);
        self.pieces
            .iter()
            .for_each(|piece| all.extend_from_slice(piece.bytes()));
        all.drain(..self.consumed);
        all
    }

    /// Returns the bytes left in each piece.
    pub fn chunks(&self) -> impl Iterator<Item = &[u8]> {
        let consumed = self.consumed;
        self.pieces.iter().enumerate().map(move |(index, piece)| {
            let start = if index == 0 { consumed } else { 0 };
            &piece.bytes()[start..]
        })
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        let pieces = if bytes.is_empty() {
            VecDeque::new()
        } else {
            VecDeque::from([Piece::Owned(bytes)])
        };
        Body {
            pieces,
            length,
            consumed: 0,
        }
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        text.into_bytes().into()
    }
}

impl From<&str> for Body {
    fn from(text: &str) -> Self {
        text.as_bytes().to_vec().into()
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        self.length == other.length && self.to_vec() == other.to_vec()
    }
}

impl Eq for Body {}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", String::from_utf8_lossy(&self.to_vec()))
    }
}

#[cfg(test)]
mod tests;
