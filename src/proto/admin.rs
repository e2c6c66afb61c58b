//! The protocol of the admin endpoint. Each connection carries one command, which is a line of text,
//! and its reply. The endpoint in `net::admin` owns the sockets and writes the replies.

use super::buffer::Buffer;

/// The maximum length of a command, in bytes.
const MAX_COMMAND_BYTES: usize = 256;

/// A command of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminCommand {
    /// `HEALTH`: asks whether this process can serve requests.
    Health,
    /// `DUMP`: asks for all metrics.
    Dump,
    /// Any other line, or a line that exceeds the maximum length.
    Unknown,
}

/// The receiving side of a caller's connection.
#[derive(Debug, Default)]
pub struct AdminConnection {
    /// The buffer for reads from the socket.
    pub input: Buffer,
}

impl AdminConnection {
    /// Returns the command once its line is complete. A line is complete at its line feed, or at
    /// the end of the input (`input_ended`). Returns `None` if more input is needed, or if the input
    /// ended without a command.
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
