//! The second address: one call a connection, a line each way.

use super::buffer::Buffer;

/// Longest line that is read for a call.
const MAX_LINE: usize = 256;

/// What an operator may ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Health,
    /// All figures.
    Dump,
    /// Nothing that is known here.
    Unknown,
}

/// One caller.
#[derive(Debug, Default)]
pub struct Caller {
    /// What came.
    pub input: Buffer,
}

impl Caller {
    /// The call, once its line is here; `ended`: nothing more will come. A line without end is no call.
    pub fn call(&self, ended: bool) -> Option<Call> {
        let data = self.input.data();
        let end = data.iter().position(|b| *b == b'\n');
        match end {
            None if data.len() > MAX_LINE => Some(Call::Unknown),
            None if !ended => None,
            None if data.is_empty() => None,
            _ => Some(match data[..end.unwrap_or(data.len())].trim_ascii() {
                b"HEALTH" => Call::Health,
                b"DUMP" => Call::Dump,
                _ => Call::Unknown,
            }),
        }
    }
}
