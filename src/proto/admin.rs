//! The protocol of the admin endpoint: each connection carries one command and its reply, a line
//! each. The endpoint in `net::admin` owns the sockets and writes the replies.

use super::buffer::Buffer;

/// The maximum length of a command's line, in bytes.
const MAX_COMMAND_BYTES: usize = 256;

/// A command of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminCommand {
    /// `HEALTH`: asks whether this process can serve requests.
    Health,
    /// `DUMP`: asks for all metrics.
    Dump,
    /// Any other line, including one that exceeds the maximum length.
    Unknown,
}

/// The receiving side of one connection of an operator.
#[derive(Debug, Default)]
pub struct AdminConnection {
    /// The buffer that reads from the socket fill.
    pub input: Buffer,
}

impl AdminConnection {
    /// Returns the command once its line is complete, which the end of the input (`input_ended`)
    /// also does. Returns `None` if more input is needed, or if the input ended without a command.
    #[must_use]
    pub fn command(&self, input_ended: bool) -> Option<AdminCommand> {
        let data = self.input.data();
        let line = match data.iter().position(|byte| *byte == b'\n') {
            Some(length) => &data[..length],
            None if data.len() > MAX_COMMAND_BYTES => return Some(AdminCommand::Unknown),
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
