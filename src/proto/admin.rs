//! The second address: one call a connection, a line each way.

use super::buffer::Buffer;

/// Longest line that is read for a call.
const MAX_LINE: usize = 256;

/// What an operator may ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminCommand {
    /// Can this process serve?
    Health,
    /// All figures.
    Dump,
    /// Nothing that is known here.
    Unknown,
}

/// One caller.
#[derive(Debug, Default)]
pub struct AdminConnection {
    /// What came.
    pub input: Buffer,
}

impl AdminConnection {
    /// The call, once its line is here; `ended`: nothing more will come. A line without end is no call.
    pub fn command(&self, ended: bool) -> Option<AdminCommand> {
        let data = self.input.data();
        let end = data.iter().position(|b| *b == b'\n');
        match end {
            None if data.len() > MAX_LINE => Some(AdminCommand::Unknown),
            None if !ended => None,
            None if data.is_empty() => None,
            _ => Some(match data[..end.unwrap_or(data.len())].trim_ascii() {
                b"HEALTH" => AdminCommand::Health,
                b"DUMP" => AdminCommand::Dump,
                _ => AdminCommand::Unknown,
            }),
        }
    }
}
