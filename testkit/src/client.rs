//! Blocking HTTP/1.1 client with one persistent connection and one request at a time.
//!
//! A request is retried once if the server closed the idle connection. Redirects, cookies and TLS
//! are not supported.

mod connection;
mod headers;
mod message;

pub use headers::{Header, Headers};
pub use message::{feature_id, target_of, Request, Response};

use connection::{Connection, ReadResponse};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Default response timeout of a client.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why a request got no response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// Failed, prematurely closed or timed-out connection.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Malformed head of a response.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// Chunk size that is not a hexadecimal number.
    #[error("invalid chunk size")]
    ChunkSize,
    /// Chunk that is longer than its size.
    #[error("chunk without its end")]
    ChunkEnd,
    /// `Content-Length` that is not a number.
    #[error("invalid Content-Length")]
    ContentLength,
}

impl ClientError {
    /// Returns whether the server closed the connection, as it may do at any time with an idle one.
    fn is_closed_connection(&self) -> bool {
        let ClientError::Io(error) = self else {
            return false;
        };
        matches!(
            error.kind(),
            ErrorKind::BrokenPipe | ErrorKind::ConnectionReset | ErrorKind::UnexpectedEof
        )
    }
}

/// Client of one server, with a persistent connection.
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
    /// Timeout of the complete response, measured from the sending of its request.
    pub timeout: Duration,
}

impl Client {
    /// Creates a client of a server; the connection is opened by the first request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Client {
            address,
            connection: None,
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sends a GET request and returns the response.
    ///
    /// # Errors
    /// See [`Client::send`].
    pub fn get(&mut self, target: &str) -> Result<Response, ClientError> {
        self.get_with(target, &[])
    }

    /// Sends a GET request with additional headers and returns the response.
    ///
    /// # Errors
    /// See [`Client::send`].
    pub fn get_with(
        &mut self,
        target: &str,
        headers: &[Header<'_>],
    ) -> Result<Response, ClientError> {
        self.send(&Request::new("GET", target, headers))
    }

    /// Sends a request and returns its response. If the server has closed the persistent
    /// connection, the request is resent once on a new one.
    ///
    /// # Errors
    /// Returns an error if the server can't be reached, closes the connection before the end of the
    /// response, exceeds the timeout, or sends a malformed response.
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
        let ReadResponse {
            response,
            closes_connection,
        } = connection.read_response(request.method == "HEAD")?;
        if closes_connection {
            self.connection = None;
        }
        Ok(response)
    }
}

#[cfg(test)]
mod tests;
