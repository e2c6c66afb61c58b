//! The one buffer of a connection's reading side: it grows as needed, is compacted in place, and is bounded.

/// Smallest room offered to a read.
const MIN_ROOM: usize = 2 * 1024;
/// An empty buffer gives memory beyond this back.
const KEPT: usize = 16 * 1024;

/// Bytes that were read and not yet used.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    from: usize,
    to: usize,
}

impl Buffer {
    /// What is there to be used.
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.from..self.to]
    }

    /// Room for a read; follow with [`Buffer::filled`].
    pub fn free_space(&mut self) -> &mut [u8] {
        if self.bytes.len() - self.to < MIN_ROOM {
            self.bytes.copy_within(self.from..self.to, 0);
            self.to -= self.from;
            self.from = 0;
            if self.bytes.len() - self.to < MIN_ROOM {
                let size = (self.bytes.len() * 2).max(self.to + MIN_ROOM);
                self.bytes.resize(size, 0);
            }
        }
        &mut self.bytes[self.to..]
    }

    /// So many bytes of the room were read into.
    pub fn commit(&mut self, n: usize) {
        self.to = (self.to + n).min(self.bytes.len());
    }

    /// So many bytes were used.
    pub fn consume(&mut self, n: usize) {
        self.from = (self.from + n).min(self.to);
        if self.from == self.to {
            (self.from, self.to) = (0, 0);
            if self.bytes.len() > KEPT {
                self.bytes = Vec::new();
            }
        }
    }

    /// Copies bytes in, for callers that hold them already.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = self.free_space();
            let n = room.len().min(bytes.len());
            room[..n].copy_from_slice(&bytes[..n]);
            self.commit(n);
            bytes = &bytes[n..];
        }
    }

    /// Memory held.
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }
}
