//! A client: one request on a connection of its own.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A whole response.
pub struct Response {
    /// The status.
    pub status: u16,
    /// The header lines.
    pub head: String,
    /// The body.
    pub body: String,
}

impl Response {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Returns a GET request; `headers` are whole lines.
pub fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n{headers}\r\n")
}

/// Sends a request and reads the whole response.
pub fn send(port: u16, request: &str, timeout: Duration) -> io::Result<Response> {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut bytes = Vec::new();
    loop {
        if let Some(response) = parse(&bytes)? {
            return Ok(response);
        }
        let mut chunk = [0; 16 * 1024];
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            length => bytes.extend_from_slice(&chunk[..length]),
        }
    }
}

/// Parses a response with a length; `None` while it is not whole.
fn parse(bytes: &[u8]) -> io::Result<Option<Response>> {
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut response = Response {
        status: status.ok_or_else(malformed)?,
        head,
        body: String::new(),
    };
    let length = response
        .header("Content-Length")
        .and_then(|length| length.parse().ok());
    let length: usize = length.ok_or_else(malformed)?;
    let Some(body) = bytes[end + 4..].get(..length) else {
        return Ok(None);
    };
    response.body = String::from_utf8_lossy(body).into_owned();
    Ok(Some(response))
}
