//! HTTP/1.1 (RFC 9112): the server's side of a connection, and a reader of responses for the client's side.

mod connection;
mod error;
mod framing;
mod headers;
mod request;
mod response;
mod response_reader;

pub use connection::ServerConnection;
pub use error::HttpError;
pub use headers::Headers;
pub use request::HttpRequest;
pub use response::{Response, ResponseHeader};
pub use response_reader::{ResponseHead, ResponseReader};

/// The maximum length of a head in bytes; usual ones have a few hundred.
pub const MAX_HEAD: usize = 16 * 1024;
/// The maximum length of a request's body in bytes, unless set otherwise: the platform's limit.
pub const MAX_BODY: usize = 64 * 1024;
/// The maximum number of headers in a head.
const MAX_HEADERS: usize = 64;
