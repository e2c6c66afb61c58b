//! A blocking HTTP/1.1 client: one connection, one request at a time.

mod connection;
mod message;

pub use message::{feature_id, target_of, Header, Request, Response};

use connection::{Connection, ReadResponse};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// How long a response is waited for unless a caller sets another time.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

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
        connection.write(&request.to_bytes(self.address), self.timeout)?;
        let ReadResponse { response, closes } = connection.read_response(request.method == "HEAD")?;
        if closes {
            self.connection = None;
        }
        Ok(response)
    }
}
