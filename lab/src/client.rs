//! A blocking HTTP/1.1 client: one connection, one request at a time.

use flate2::read::GzDecoder;
use serde_json::Value as Json;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// How long a response is waited for unless a caller sets another time.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes that one read from the socket takes at most.
const READ_SIZE: usize = 16 * 1024;
/// Headers that a response has at most.
const MAX_HEADERS: usize = 64;
/// The line end of HTTP/1.1.
const CRLF: &[u8] = b"\r\n";

/// Why a request got no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection failed, ended early or timed out.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The head of the response is malformed.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// The size of a chunk is no hexadecimal number.
    #[error("a chunk's size")]
    ChunkSize,
    /// `Content-Length` is no number.
    #[error("a length")]
    ContentLength,
}

impl ClientError {
    /// Whether the server has closed the connection, as it may at any time on one that stood idle.
    fn is_closed_connection(&self) -> bool {
        let ClientError::Io(error) = self else { return false };
        matches!(error.kind(), ErrorKind::BrokenPipe | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof)
    }
}

/// A client of one server, with a persistent connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    /// How long a response is waited for.
    pub timeout: Duration,
}

/// A header of a request.
#[derive(Debug, Clone, Copy)]
pub struct Header<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its value.
    pub value: &'a str,
}

impl<'a> Header<'a> {
    /// A header of this name and value.
    #[must_use]
    pub const fn new(name: &'a str, value: &'a str) -> Self {
        Header { name, value }
    }
}

/// A request.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// Headers beside `Host` and `Content-Length`.
    pub headers: &'a [Header<'a>],
    /// Its body; none if it is empty.
    pub body: &'a [u8],
}

impl<'a> Request<'a> {
    /// A request without a body.
    #[must_use]
    pub const fn new(method: &'a str, target: &'a str, headers: &'a [Header<'a>]) -> Self {
        Request { method, target, headers, body: &[] }
    }

    /// The bytes that are sent.
    fn to_bytes(self, host: SocketAddr) -> Vec<u8> {
        let Request { method, target, headers, body } = self;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\n");
        for Header { name, value } in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), body].concat()
    }
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its status code.
    pub status: u16,
    /// Its headers, by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Its body, decompressed.
    pub body: Vec<u8>,
    /// Bytes of the body as it was transferred.
    pub encoded_length: usize,
}

impl Response {
    /// Its body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> Json {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Its body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header's value; empty if there is none of this name, which is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The ids of its features, in order.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        let json = self.json();
        json["features"].as_array().map(|list| list.iter().map(feature_id).collect()).unwrap_or_default()
    }

    /// The target (path and query) of its link with this relation.
    #[must_use]
    pub fn link(&self, relation: &str) -> Option<String> {
        let json = self.json();
        let links = json["links"].as_array()?;
        let href = links.iter().find(|link| link["rel"] == relation)?["href"].as_str()?;
        Some(target_of(href))
    }
}

/// A feature's id as text.
#[must_use]
pub fn feature_id(feature: &Json) -> String {
    match &feature["id"] {
        Json::String(id) => id.clone(),
        id => id.to_string(),
    }
}

/// The path and query of a URL; a path is returned as it is.
#[must_use]
pub fn target_of(href: &str) -> String {
    match href.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("/".to_owned(), |at| rest[at..].to_owned()),
        None => href.to_owned(),
    }
}

impl Client {
    /// A client of this server; it connects at its first request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Client { address, connection: None, timeout: DEFAULT_TIMEOUT }
    }

    /// GET.
    ///
    /// # Errors
    /// See [`Client::send`].
    pub fn get(&mut self, target: &str) -> Result<Response, ClientError> {
        self.get_with(target, &[])
    }

    /// GET with further headers.
    ///
    /// # Errors
    /// See [`Client::send`].
    pub fn get_with(&mut self, target: &str, headers: &[Header<'_>]) -> Result<Response, ClientError> {
        self.send(&Request::new("GET", target, headers))
    }

    /// Sends a request and reads its response. If a persistent connection turns out to be closed it is sent again, once, on
    /// a new one.
    ///
    /// # Errors
    /// If the server can't be reached, ends the connection before the end of the response, takes longer than the
    /// time-out, or sends a malformed response.
    pub fn send(&mut self, request: &Request<'_>) -> Result<Response, ClientError> {
        let reused = self.connection.is_some();
        let result = match self.send_once(request) {
            Err(error) if reused && error.is_closed_connection() => {
                self.connection = None;
                self.send_once(request)
            }
            result => result,
        };
        result.inspect_err(|_| self.connection = None)
    }

    fn send_once(&mut self, request: &Request<'_>) -> Result<Response, ClientError> {
        let connection = match &mut self.connection {
            Some(connection) => connection,
            none => none.insert(Connection::open(self.address, self.timeout)?),
        };
        connection.stream.set_read_timeout(Some(self.timeout))?;
        connection.stream.write_all(&request.to_bytes(self.address))?;
        let ReadResponse { response, closes } = connection.read_response(request.method == "HEAD")?;
        if closes {
            self.connection = None;
        }
        Ok(response)
    }
}

/// A connection and what was read from it beyond the last response.
struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

struct ReadResponse {
    response: Response,
    /// Whether the connection ends with it.
    closes: bool,
}

struct Head {
    status: u16,
    headers: BTreeMap<String, String>,
}

impl Head {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

impl Connection {
    fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    fn read_response(&mut self, head_only: bool) -> Result<ReadResponse, ClientError> {
        let head = self.read_head()?;
        let mut closes = head.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        let mut body = if head_only || matches!(head.status, 204 | 304) {
            Vec::new()
        } else if head.header("transfer-encoding").is_some() {
            self.read_chunks()?
        } else if let Some(length) = head.header("content-length") {
            self.read_exact(length.parse().map_err(|_| ClientError::ContentLength)?)?
        } else {
            closes = true;
            self.read_to_end()
        };
        let encoded_length = body.len();
        if head.header("content-encoding") == Some("gzip") {
            body = decompress(&body)?;
        }
        let response = Response { status: head.status, headers: head.headers, body, encoded_length };
        Ok(ReadResponse { response, closes })
    }

    fn read_head(&mut self) -> Result<Head, ClientError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            if let httparse::Status::Complete(length) = parsed.parse(&self.buffer)? {
                let headers = parsed.headers.iter().map(header_entry).collect();
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
            match self.buffer.windows(CRLF.len()).position(|window| window == CRLF) {
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

fn header_entry(header: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(header.value).trim().to_owned();
    (header.name.to_ascii_lowercase(), value)
}

fn decompress(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    GzDecoder::new(body).read_to_end(&mut plain)?;
    Ok(plain)
}
