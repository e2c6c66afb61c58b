//! Connection of a client: writes requests, and reads and decodes responses.

use super::{ClientError, Header, Headers, Response};
use flate2::read::GzDecoder;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum number of bytes of one read from the socket.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Line end of HTTP/1.1.
const CRLF: &[u8] = b"\r\n";

/// Open connection with the bytes that were read beyond the last response.
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Time by which the response must have arrived.
    deadline: Instant,
}

/// Response with the state of the connection after it.
pub(super) struct ReadResponse {
    pub(super) response: Response,
    /// Whether the server closes the connection after this response.
    pub(super) closes_connection: bool,
}

struct Head {
    status: u16,
    headers: Headers,
}

impl Connection {
    /// Connects to a server.
    pub(super) fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buffer: Vec::new(),
            deadline: Instant::now() + timeout,
        })
    }

    /// Writes a serialized request and sets the timeout of its complete response.
    pub(super) fn write(&mut self, request: &[u8], timeout: Duration) -> io::Result<()> {
        self.deadline = Instant::now() + timeout;
        self.stream.write_all(request)
    }

    /// Reads the next response; `head_only` is set for the response to a HEAD request, which has no
    /// body.
    pub(super) fn read_response(&mut self, head_only: bool) -> Result<ReadResponse, ClientError> {
        let head = self.read_head()?;
        let mut closes_connection = head
            .headers
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let mut body = if head_only || matches!(head.status, 204 | 304) {
            Vec::new()
        } else if head.headers.get("transfer-encoding").is_some() {
            self.read_chunks()?
        } else if let Some(length) = head.headers.get("content-length") {
            self.read_exact(length.parse().map_err(|_| ClientError::ContentLength)?)?
        } else {
            closes_connection = true;
            self.read_to_end()?
        };
        let encoded_length = body.len();
        if head.headers.get("content-encoding") == Some("gzip") {
            body = decompress(&body)?;
        }
        let response = Response {
            status: head.status,
            headers: head.headers,
            body,
            encoded_length,
        };
        Ok(ReadResponse {
            response,
            closes_connection,
        })
    }

    fn read_head(&mut self) -> Result<Head, ClientError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            if let httparse::Status::Complete(length) = parsed.parse(&self.buffer)? {
                let headers = owned_headers(parsed.headers);
                let status = parsed.code.unwrap_or(0);
                self.buffer.drain(..length);
                return Ok(Head { status, headers });
            }
            self.fill()?;
        }
    }

    /// Reads a chunked body with its trailers (RFC 9112, section 7.1), which are discarded.
    fn read_chunks(&mut self) -> Result<Vec<u8>, ClientError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size()?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.append(&mut self.read_exact(size)?);
            if self.read_exact(CRLF.len())? != CRLF {
                return Err(ClientError::ChunkEnd);
            }
        }
    }

    /// Reads the line before a chunk and returns the size of the chunk in bytes. Extensions after
    /// the size are ignored.
    fn read_chunk_size(&mut self) -> Result<usize, ClientError> {
        let line = self.read_line()?;
        let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(size).map_err(|_| ClientError::ChunkSize)?;
        usize::from_str_radix(text.trim(), 16).map_err(|_| ClientError::ChunkSize)
    }

    /// Reads a line and returns it without its line end.
    fn read_line(&mut self) -> io::Result<Vec<u8>> {
        let end = loop {
            match self
                .buffer
                .windows(CRLF.len())
                .position(|window| window == CRLF)
            {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let mut line: Vec<u8> = self.buffer.drain(..end + CRLF.len()).collect();
        line.truncate(end);
        Ok(line)
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a body that ends with its connection. A reset or a timeout is an error, not the end of
    /// the body.
    fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        while self.read_some()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }

    /// Reads at least one byte into the buffer; the end of the connection is an error.
    fn fill(&mut self) -> io::Result<()> {
        match self.read_some()? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    /// Reads into the buffer and returns the number of bytes, which is 0 at the end of the
    /// connection. Returns an error after the deadline of the response.
    fn read_some(&mut self) -> io::Result<usize> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(time_left))?;
        let mut bytes = [0; MAX_READ_BYTES];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

fn owned_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for header in parsed {
        let value = String::from_utf8_lossy(header.value);
        headers.set(Header::new(header.name, value.trim()));
    }
    headers
}

fn decompress(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    GzDecoder::new(body).read_to_end(&mut decompressed)?;
    Ok(decompressed)
}
