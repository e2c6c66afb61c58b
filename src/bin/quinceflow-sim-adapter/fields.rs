//! A reader of the fields of a frame or record. Fields are little-endian and have no separators.

use crate::error::AdapterError;
use quinceflow::ReplicaId;

/// The fields of a frame or record that have not been read yet.
pub struct Fields<'a> {
    bytes: &'a [u8],
    /// The index in `bytes` of the next field.
    offset: usize,
    /// The name of the frame or record in errors.
    context: &'static str,
}

/// Defines methods of [`Fields`] that each read one little-endian number of a type.
macro_rules! little_endian {
    ($($name:ident: $type:ty),*) => {$(
        pub fn $name(&mut self) -> Result<$type, AdapterError> {
            self.array().map(<$type>::from_le_bytes)
        }
    )*};
}

impl<'a> Fields<'a> {
    /// Creates a reader of all fields of a frame or record.
    pub fn new(bytes: &'a [u8], context: &'static str) -> Self {
        Self {
            bytes,
            offset: 0,
            context,
        }
    }

    little_endian!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32);

    /// Reads this number of bytes.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], AdapterError> {
        let end = self
            .offset
            .checked_add(count)
            .filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(AdapterError::Truncated {
                context: self.context,
                requested: count,
                offset: self.offset,
                available: self.bytes.len() - self.offset,
            });
        };
        let bytes = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(bytes)
    }

    /// Reads the address of a replica.
    pub fn replica(&mut self) -> Result<ReplicaId, AdapterError> {
        self.array().map(ReplicaId)
    }

    /// Skips a load report, which the policy does not use: the number of values, and the values.
    pub fn skip_load_report(&mut self) -> Result<(), AdapterError> {
        for _ in 0..self.u8()? {
            self.f32()?;
        }
        Ok(())
    }

    /// Reads an integer that is encoded as a float. Returns `None` if it is negative.
    pub fn integer(&mut self) -> Result<Option<u32>, AdapterError> {
        let value = self.f32()?;
        if !value.is_finite() || value > u32::MAX as f32 {
            let offset = self.offset - size_of::<f32>();
            return Err(AdapterError::NotANumber {
                context: self.context,
                value,
                offset,
            });
        }
        Ok((value >= 0.0).then_some(value as u32))
    }

    /// Returns whether all fields have been read.
    pub fn is_empty(&self) -> bool {
        self.offset == self.bytes.len()
    }

    /// Reads a fixed number of bytes.
    fn array<const N: usize>(&mut self) -> Result<[u8; N], AdapterError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }
}
