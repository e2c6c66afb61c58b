//! HTTP/1.1 (RFC 9112) without sockets: the server side of a connection, and a reader of responses
//! for the client side.

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

/// The maximum length of a header section with its start line, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The default maximum length of a request's body, in bytes. The platform front uses it.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of header fields in a message.
const MAX_HEADERS: usize = 64;

#[cfg(test)]
mod tests;
