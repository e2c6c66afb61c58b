//! The HTTP responses that clients of the soak test read.

use crate::history::RequestEnd;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A complete response.
pub struct Response {
    pub status: u16,
    /// Whether the response announces the close of the connection.
    pub closes_connection: bool,
    pub body: Vec<u8>,
}

/// Returns the end of a request whose response could not be read because of this error.
pub fn end_after_error(kind: ErrorKind) -> RequestEnd {
    match kind {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => RequestEnd::TimedOut,
        ErrorKind::UnexpectedEof => RequestEnd::ConnectionEnded { reset: false },
        _ => RequestEnd::ConnectionEnded { reset: true },
    }
}

/// Reads a response whose head states its length.
pub fn read_response(stream: &mut TcpStream, timeout: Duration) -> Result<Response, ErrorKind> {
    let deadline = Instant::now() + timeout;
    let mut bytes = Vec::new();
    loop {
        if let Some(response) = parse_response(&bytes) {
            return Ok(response);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut);
        }
        stream
            .set_read_timeout(Some(remaining))
            .map_err(|error| error.kind())?;
        let mut buffer = [0; 16 * 1024];
        match stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => return Err(error.kind()),
        }
    }
}

/// Returns the response in these bytes, or `None` if it is incomplete.
fn parse_response(bytes: &[u8]) -> Option<Response> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).expect("the head is text");
    let mut lines = head.split("\r\n");
    let status = lines
        .next()?
        .split(' ')
        .nth(1)?
        .parse()
        .expect("the status code is a number");
    let mut closes_connection = false;
    let mut length = 0;
    for line in lines {
        closes_connection |= line == "Connection: close";
        if let Some(text) = line.strip_prefix("Content-Length: ") {
            length = text.parse().expect("the length is a number");
        }
    }
    let body = bytes[end + 4..].to_vec();
    (body.len() >= length).then_some(Response {
        status,
        closes_connection,
        body,
    })
}
