//! The input buffer of a connection, which grows as needed and compacts in place.

/// The minimum free space offered to a read, in bytes.
const MIN_READ_BYTES: usize = 2 * 1024;
/// The largest capacity that an empty buffer keeps, in bytes.
const MAX_IDLE_BYTES: usize = 16 * 1024;

/// Bytes that were read from a socket and have not been consumed yet.
#[derive(Debug, Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    /// The index in `bytes` of the first unconsumed byte.
    start: usize,
    /// The index in `bytes` after the last unconsumed byte.
    end: usize,
}

impl Buffer {
    /// Returns the unconsumed bytes.
    #[must_use]
    pub fn data(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Returns space for a read of at least 2 KiB. [`Buffer::commit`] takes over the bytes that
    /// were read into it.
    pub fn free_space(&mut self) -> &mut [u8] {
        if self.bytes.len() - self.end < MIN_READ_BYTES {
            self.compact();
        }
        if self.bytes.len() - self.end < MIN_READ_BYTES {
            let length = (self.bytes.len() * 2).max(self.end + MIN_READ_BYTES);
            self.bytes.resize(length, 0);
        }
        &mut self.bytes[self.end..]
    }

    /// Takes over the first `count` bytes of the free space, which were filled.
    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(self.bytes.len());
    }

    /// Drops the first `count` unconsumed bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start < self.end {
            return;
        }
        self.start = 0;
        self.end = 0;
        if self.bytes.len() > MAX_IDLE_BYTES {
            self.bytes = Vec::new();
        }
    }

    /// Appends a copy of the bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let space = self.free_space();
            let count = space.len().min(bytes.len());
            space[..count].copy_from_slice(&bytes[..count]);
            self.commit(count);
            bytes = &bytes[count..];
        }
    }

    /// Returns the memory held, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.bytes.len()
    }

    /// Moves the unconsumed bytes to the front.
    fn compact(&mut self) {
        self.bytes.copy_within(self.start..self.end, 0);
        self.end -= self.start;
        self.start = 0;
    }
}
