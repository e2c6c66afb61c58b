//! The body of a response: bytes of its own and stretches of pages that others hold too, written without being copied.

use std::collections::VecDeque;
use std::ops::Range;
use std::sync::Arc;

/// Bytes that are shared.
pub type SharedBytes = Arc<dyn AsRef<[u8]> + Send + Sync>;

/// Small pieces are joined up to this: a system call costs more than the copy.
const JOINED: usize = 16 * 1024;

#[derive(Clone)]
enum Piece {
    Owned(Vec<u8>),
    Shared(SharedBytes, Range<usize>),
}

impl Piece {
    fn bytes(&self) -> &[u8] {
        match self {
            Piece::Owned(bytes) => bytes,
            Piece::Shared(held, range) => &held.as_ref().as_ref()[range.clone()],
        }
    }
}

/// Bytes in pieces, in order.
#[derive(Clone, Default)]
pub struct Body {
    pieces: VecDeque<Piece>,
    length: usize,
    /// Bytes of the first piece that are gone.
    gone: usize,
}

impl Body {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        match self.pieces.back_mut() {
            Some(Piece::Owned(last)) if last.len() + bytes.len() <= JOINED => last.extend_from_slice(bytes),
            _ if bytes.is_empty() => {}
            _ => self.pieces.push_back(Piece::Owned(bytes.to_vec())),
        }
    }

    /// Adds a stretch of what is held elsewhere; it is kept until it is written.
    pub fn push_shared(&mut self, held: SharedBytes, range: Range<usize>) {
        let length = held.as_ref().as_ref().get(range.clone()).map_or(0, <[u8]>::len);
        if length == 0 {
            return;
        }
        if length <= 512 {
            let bytes = held.as_ref().as_ref()[range].to_vec();
            return self.push(&bytes);
        }
        self.length += length;
        self.pieces.push_back(Piece::Shared(held, range));
    }

    /// Adds all of another.
    pub fn append(&mut self, mut other: Body) {
        debug_assert_eq!(other.gone, 0, "only whole bodies are joined");
        // The first piece is joined to what is here, so that a small answer is one write.
        if matches!(other.pieces.front(), Some(Piece::Owned(first)) if first.len() <= JOINED) {
            if let Some(Piece::Owned(first)) = other.pieces.pop_front() {
                other.length -= first.len();
                self.push(&first);
            }
        }
        self.length += other.length;
        self.pieces.append(&mut other.pieces);
    }

    /// Bytes left.
    pub fn len(&self) -> usize {
        self.length
    }

    /// None are left.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The first bytes that are left: some of them, unless none are.
    pub fn front(&self) -> &[u8] {
        self.pieces.front().map_or(&[], |p| &p.bytes()[self.gone..])
    }

    /// So many of the first bytes are done with.
    pub fn advance(&mut self, mut n: usize) {
        n = n.min(self.length);
        self.length -= n;
        while let Some(first) = self.pieces.front() {
            let left = first.bytes().len() - self.gone;
            if n < left {
                self.gone += n;
                return;
            }
            n -= left;
            self.gone = 0;
            self.pieces.pop_front();
        }
    }

    /// Memory that ends with it; what others hold too is theirs.
    pub fn memory(&self) -> usize {
        let own = |p: &Piece| if let Piece::Owned(bytes) = p { bytes.capacity() } else { 0 };
        self.pieces.iter().map(own).sum()
    }

    /// All bytes left, copied.
    pub fn to_vec(&self) -> Vec<u8> {
        let mut all = Vec::with_capacity(self.length);
        self.pieces.iter().for_each(|p| all.extend_from_slice(p.bytes()));
        all.drain(..self.gone);
        all
    }

    /// The pieces left, each as bytes.
    pub fn chunks(&self) -> impl Iterator<Item = &[u8]> {
        let gone = self.gone;
        self.pieces.iter().enumerate().map(move |(n, p)| &p.bytes()[if n == 0 { gone } else { 0 }..])
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        let pieces = if bytes.is_empty() { VecDeque::new() } else { VecDeque::from([Piece::Owned(bytes)]) };
        Body { pieces, length, gone: 0 }
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
mod tests {
    use super::*;

    #[test]
    fn pieces_are_written_in_order_however_little_at_a_time() {
        let held: SharedBytes = Arc::new(vec![b'h'; 5_000]);
        for step in [1, 7, 512, 100_000] {
            let mut body = Body::default();
            body.push(b"head ");
            let mut rest = Body::from("own ");
            rest.push_shared(held.clone(), 10..2_010);
            rest.push(b"");
            rest.push(b" tail");
            rest.push_shared(held.clone(), 0..3);
            rest.push_shared(held.clone(), 4_999..9_999);
            body.append(rest);
            let whole = [b"head own ".as_slice(), &[b'h'; 2_000], b" tailhhh"].concat();
            assert_eq!((body.len(), body.to_vec()), (whole.len(), whole.clone()));
            let mut written = Vec::new();
            while !body.is_empty() {
                let n = body.front().len().min(step);
                assert!(n > 0);
                written.extend_from_slice(&body.front()[..n]);
                body.advance(n);
                assert_eq!(body.chunks().map(<[u8]>::len).sum::<usize>(), body.len());
            }
            assert_eq!(written, whole);
            assert!(body.front().is_empty() && body.memory() == 0);
        }
        assert_eq!(Arc::strong_count(&held), 1, "nothing is kept once it is written");
    }
}
