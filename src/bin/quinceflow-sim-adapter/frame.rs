//! Frames: a batch of records on the way in, a reply of records on the way out.

use crate::error::AdapterError;
use crate::fields::Fields;
use quinceflow::Nanos;
use std::io::{ErrorKind, Read};

/// Bytes before a frame's length counts: the number of records, and the length.
const HEADER_LENGTH: usize = 8;
/// Bytes of a frame before its records: the time, and the number of the batch.
const FIXED_LENGTH: u32 = 12;

/// One batch, its records still as bytes.
#[derive(Debug)]
pub struct Batch {
    /// How many records it holds.
    pub records: u32,
    /// The time of its events.
    pub now: Nanos,
    /// Its number, which the reply bears too.
    pub number: u32,
    /// Its records.
    pub body: Vec<u8>,
}

impl Batch {
    /// Reads one batch; `None` at the end of the input.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
        let Some(header) = read_header(input)? else {
            return Ok(None);
        };
        let mut header = Fields::new(&header, "frame header");
        let (records, length) = (header.u32()?, header.u32()?);
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
        let (now, number) = (fields.u64()?, fields.u32()?);
        Ok(Some(Batch {
            records,
            now,
            number,
            body: rest.split_off(FIXED_LENGTH as usize),
        }))
    }
}

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
