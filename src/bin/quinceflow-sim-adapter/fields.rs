//! A reader over the fields of a frame or record: little-endian, one after the other.

use crate::error::AdapterError;
use quinceflow::ReplicaId;

/// The fields that are left of a frame or record.
pub struct Fields<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// What is read, for errors.
    context: &'static str,
}

macro_rules! little_endian {
    ($($name:ident: $type:ty),*) => {$(
        pub fn $name(&mut self) -> Result<$type, AdapterError> {
            self.array().map(<$type>::from_le_bytes)
        }
    )*};
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], context: &'static str) -> Self {
        Self {
            bytes,
            offset: 0,
            context,
        }
    }

    little_endian!(u8: u8, u16: u16, u32: u32, u64: u64, f32: f32);

    /// So many bytes as they are.
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

    pub fn replica(&mut self) -> Result<ReplicaId, AdapterError> {
        self.array().map(ReplicaId)
    }

    /// The values of a load report, which the policy has no use for.
    pub fn skip_load_report(&mut self) -> Result<(), AdapterError> {
        for _ in 0..self.u8()? {
            self.f32()?;
        }
        Ok(())
    }

    /// An integer that travels as a float; `None` below 0.
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

    /// Nothing is left.
    pub fn is_empty(&self) -> bool {
        self.offset == self.bytes.len()
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], AdapterError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }
}
