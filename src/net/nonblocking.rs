//! Single reads and writes on non-blocking TCP sockets. Loops and waits belong to the drivers.

use std::io;
use std::net::TcpStream;

/// The outcome of one read or write on a non-blocking socket.
pub(super) enum IoOutcome {
    /// This many bytes were read or written; 0 if a signal interrupted the call.
    Transferred(usize),
    /// The socket has no data, or no space, at present.
    WouldBlock,
    /// The peer closed its sending side in an orderly way.
    EndOfStream,
    /// The connection failed, so received data may be truncated.
    ConnectionFailed,
}

/// Reads into `buffer` with one system call.
pub(super) fn try_read(mut stream: &TcpStream, buffer: &mut [u8]) -> IoOutcome {
    outcome(io::Read::read(&mut stream, buffer))
}

/// Writes from `bytes` with one system call.
pub(super) fn try_write(mut stream: &TcpStream, bytes: &[u8]) -> IoOutcome {
    outcome(io::Write::write(&mut stream, bytes))
}

fn outcome(result: io::Result<usize>) -> IoOutcome {
    match result {
        Ok(0) => IoOutcome::EndOfStream,
        Ok(n) => IoOutcome::Transferred(n),
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => IoOutcome::WouldBlock,
        Err(e) if e.kind() == io::ErrorKind::Interrupted => IoOutcome::Transferred(0),
        Err(_) => IoOutcome::ConnectionFailed,
    }
}

#[cfg(test)]
mod tests;
