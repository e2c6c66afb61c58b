//! Connection of a client: writes requests, and reads and decodes responses.

use super::{ClientError, Header, Headers, Response};
use flate2::read::GzDecoder;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum number of bytes of one read from the socket.
const READ_SIZE: usize = 16 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;
/// Line end of HTTP/1.1.
const CRLF: &[u8] = b"\r\n";

/// Open connection with the bytes that were read beyond the last response.
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// Response with the state of the connection after it.
pub(super) struct ReadResponse {
    pub(super) response: Response,
    /// Whether the server closes the connection after this response.
    pub(super) closes: bool,
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
        })
    }

    /// Writes a serialized request and sets the timeout of its response.
    pub(super) fn write(&mut self, request: &[u8], timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))?;
        self.stream.write_all(request)
    }

    /// Reads the next response; `head_only` marks the response to a HEAD request.
    pub(super) fn read_response(&mut self, head_only: bool) -> Result<ReadResponse, ClientError> {
        let head = self.read_head()?;
        let mut closes = head
            .headers
            .get("connection")
            .is_some_and(|c| c.eq_ignore_ascii_case("close"));
        let mut body = if head_only || matches!(head.status, 204 | 304) {
            Vec::new()
        } else if head.headers.get("transfer-encoding").is_some() {
            self.read_chunks()?
        } else if let Some(length) = head.headers.get("content-length") {
            self.read_exact(length.parse().map_err(|_| ClientError::ContentLength)?)?
        } else {
            closes = true;
            self.read_to_end()
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
        Ok(ReadResponse { response, closes })
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

    fn read_chunks(&mut self) -> Result<Vec<u8>, ClientError> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size()?;
            let mut chunk = self.read_exact(size + CRLF.len())?;
            chunk.truncate(size);
            body.append(&mut chunk);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn read_chunk_size(&mut self) -> Result<usize, ClientError> {
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
        let line: Vec<u8> = self.buffer.drain(..end + CRLF.len()).collect();
        let text = String::from_utf8_lossy(&line).trim().to_owned();
        usize::from_str_radix(&text, 16).map_err(|_| ClientError::ChunkSize)
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_to_end(&mut self) -> Vec<u8> {
        while self.fill().is_ok() {}
        std::mem::take(&mut self.buffer)
    }

    /// Reads at least one byte into the buffer.
    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; READ_SIZE];
        match self.stream.read(&mut bytes)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
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
    let mut plain = Vec::new();
    GzDecoder::new(body).read_to_end(&mut plain)?;
    Ok(plain)
}
