//! Bodies of responses: queues of owned bytes and of ranges of shared bytes, which are written
//! without being copied.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;

/// Bytes with several owners, such as a page in a cache.
pub type SharedBytes = Arc<dyn AsRef<[u8]> + Send + Sync>;

/// The size up to which adjacent owned segments are joined, in bytes. Up to this size, the copy costs
/// less than another system call.
const MAX_JOINED_BYTES: usize = 16 * 1024;
/// The size up to which shared ranges are copied, in bytes. Up to this size, the copy costs less than
/// a separate segment.
const MAX_COPIED_BYTES: usize = 512;

/// A contiguous part of a body.
#[derive(Clone)]
enum Segment {
    Owned(Vec<u8>),
    Shared(SharedBytes, Range<usize>),
}

impl Segment {
    fn bytes(&self) -> &[u8] {
        match self {
            Segment::Owned(bytes) => bytes,
            Segment::Shared(shared, range) => &shared.as_ref().as_ref()[range.clone()],
        }
    }

    /// Returns the memory that is released with this segment, in bytes; shared bytes do not count.
    fn owned_memory(&self) -> usize {
        match self {
            Segment::Owned(bytes) => bytes.capacity(),
            Segment::Shared(..) => 0,
        }
    }
}

/// A queue of bytes, which is stored in segments.
#[derive(Clone, Default)]
pub struct Body {
    segments: VecDeque<Segment>,
    /// The number of bytes left in all segments.
    length: usize,
    /// The number of bytes of the first segment that have been consumed.
    consumed: usize,
}

impl Body {
    /// Appends a copy of the bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        match self.segments.back_mut() {
            Some(Segment::Owned(last)) if last.len() + bytes.len() <= MAX_JOINED_BYTES => {
                last.extend_from_slice(bytes)
            }
            _ if bytes.is_empty() => {}
            _ => self.segments.push_back(Segment::Owned(bytes.to_vec())),
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
        self.segments.push_back(Segment::Shared(shared, range));
    }

    /// Appends another body, of which nothing may have been consumed.
    pub fn append(&mut self, mut other: Body) {
        debug_assert_eq!(other.consumed, 0, "only complete bodies are joined");
        // The first segment of `other` is joined to the last one of `self`, so that a small response
        // takes one write.
        let is_short = |segment: &Segment| matches!(segment, Segment::Owned(bytes) if bytes.len() <= MAX_JOINED_BYTES);
        if other.segments.front().is_some_and(is_short) {
            if let Some(Segment::Owned(first)) = other.segments.pop_front() {
                other.length -= first.len();
                self.push(&first);
            }
        }
        self.length += other.length;
        self.segments.append(&mut other.segments);
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

    /// Returns the next contiguous bytes. They are empty only if no bytes are left.
    #[must_use]
    pub fn front(&self) -> &[u8] {
        self.segments
            .front()
            .map_or(&[], |segment| &segment.bytes()[self.consumed..])
    }

    /// Consumes the next `count` bytes.
    pub fn advance(&mut self, count: usize) {
        let mut count = count.min(self.length);
        self.length -= count;
        while let Some(first) = self.segments.front() {
            let left = first.bytes().len() - self.consumed;
            if count < left {
                self.consumed += count;
                return;
            }
            count -= left;
            self.consumed = 0;
            self.segments.pop_front();
        }
    }

    /// Returns the memory that is released with this body, in bytes; shared bytes do not count.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.segments.iter().map(Segment::owned_memory).sum()
    }

    /// Returns a copy of all bytes left.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        let mut all = Vec::with_capacity(self.length);
        self.segments
            .iter()
            .for_each(|segment| all.extend_from_slice(segment.bytes()));
        all.drain(..self.consumed);
        all
    }

    /// Returns the bytes left in each segment.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        let consumed = self.consumed;
        self.segments
            .iter()
            .enumerate()
            .map(move |(index, segment)| {
                let start = if index == 0 { consumed } else { 0 };
                &segment.bytes()[start..]
            })
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        let segments = if bytes.is_empty() {
            VecDeque::new()
        } else {
            VecDeque::from([Segment::Owned(bytes)])
        };
        Body {
            segments,
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
