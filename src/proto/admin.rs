//! The protocol of the admin endpoint: one command a connection, a line each way.

use super::buffer::Buffer;

/// The maximum length of a command's line, in bytes.
const MAX_LINE: usize = 256;

/// What an operator can request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminCommand {
    /// `HEALTH`: whether this process can serve.
    Health,
    /// `DUMP`: all metrics.
    Dump,
    /// Any other line, also one that is too long.
    Unknown,
}

/// The receiving side of one connection of an operator.
#[derive(Debug, Default)]
pub struct AdminConnection {
    /// The buffer that reads from the socket fill.
    pub input: Buffer,
}

impl AdminConnection {
    /// The command, once its line is complete; the end of the input (`input_ended`) completes it too. `None` if more input
    /// is needed, or if the input ended without any.
    #[must_use]
    pub fn command(&self, input_ended: bool) -> Option<AdminCommand> {
        let data = self.input.data();
        let line = match data.iter().position(|byte| *byte == b'\n') {
            Some(length) => &data[..length],
            None if data.len() > MAX_LINE => return Some(AdminCommand::Unknown),
            None if !input_ended || data.is_empty() => return None,
            None => data,
        };
        Some(match line.trim_ascii() {
            b"HEALTH" => AdminCommand::Health,
            b"DUMP" => AdminCommand::Dump,
            _ => AdminCommand::Unknown,
        })
    }
}
