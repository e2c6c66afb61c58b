//! The frames of the input: batches of records.

use crate::error::AdapterError;
use crate::fields::Fields;
use quinceflow::Nanos;
use std::io::{ErrorKind, Read};

/// The bytes of a frame that its length does not count: the number of records, and the length.
const HEADER_LENGTH: usize = 8;
/// The bytes of a frame before its records: the time, and the number of the batch.
const FIXED_LENGTH: u32 = 12;

/// A batch of records, which are not parsed yet.
#[derive(Debug)]
pub struct Batch {
    /// The number of records.
    pub records: u32,
    /// The time of the events, in nanoseconds.
    pub now: Nanos,
    /// The number of the batch, which its reply repeats.
    pub number: u32,
    /// The records.
    pub body: Vec<u8>,
}

impl Batch {
    /// Reads one batch; `None` at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
        let Some(header) = read_header(input)? else {
            return Ok(None);
        };
        let mut header = Fields::new(&header, "frame header");
        let records = header.u32()?;
        let length = header.u32()?;
        if length < FIXED_LENGTH {
            return Err(AdapterError::FrameTooShort {
                length,
                minimum: FIXED_LENGTH,
            });
        }
        let mut rest = Vec::new();
        input
            .take(u64::from(length))
            .read_to_end(&mut rest)
            .map_err(AdapterError::ReadFrame)?;
        if rest.len() < length as usize {
            return Err(AdapterError::FrameTruncated {
                announced: length,
                received: rest.len(),
            });
        }
        let mut fields = Fields::new(&rest, "frame header");
        let now = fields.u64()?;
        let number = fields.u32()?;
        Ok(Some(Batch {
            records,
            now,
            number,
            body: rest.split_off(FIXED_LENGTH as usize),
        }))
    }
}

/// Reads the header of a frame; `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_LENGTH]>, AdapterError> {
    let mut header = [0; HEADER_LENGTH];
    let mut received = 0;
    while received < header.len() {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::HeaderTruncated { received }),
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader(error)),
        }
    }
    Ok(Some(header))
}
