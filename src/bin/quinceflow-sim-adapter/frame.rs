//! The frames of the input. Each frame carries a batch of records.

use crate::error::AdapterError;
use crate::fields::Fields;
use quinceflow::Nanos;
use std::io::{ErrorKind, Read};

/// The size of a frame's header in bytes: the number of records, and the length of the rest of the
/// frame.
const HEADER_BYTES: usize = 8;
/// The size in bytes of the fixed fields between the header and the records: the time, and the number
/// of the batch.
const FIXED_FIELD_BYTES: u32 = 12;

/// A batch of records that have not been parsed yet.
#[derive(Debug)]
pub struct Batch {
    /// The number of records.
    pub record_count: u32,
    /// The time of the events.
    pub now: Nanos,
    /// The number of the batch, which its reply repeats.
    pub number: u32,
    /// The encoded records.
    pub body: Vec<u8>,
}

impl Batch {
    /// Reads one batch. Returns `None` at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
        let Some(header) = read_header(input)? else {
            return Ok(None);
        };
        let mut header = Fields::new(&header, "frame header");
        let record_count = header.u32()?;
        let length = header.u32()?;
        if length < FIXED_FIELD_BYTES {
            return Err(AdapterError::FrameTooShort {
                length,
                minimum: FIXED_FIELD_BYTES,
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
            record_count,
            now,
            number,
            body: rest.split_off(FIXED_FIELD_BYTES as usize),
        }))
    }
}

/// Reads the header of a frame. Returns `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, AdapterError> {
    let mut header = [0; HEADER_BYTES];
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
