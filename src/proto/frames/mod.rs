//! The protocol of the data nodes: binary frames on a connection that multiplexes many attempts.
//! The driver in `net::node_client` owns the socket.
//!
//! A frame consists of a 32-bit big-endian length, a letter that denotes the frame's kind, and the
//! payload. The length is that of the letter and the payload, in bytes.

mod attempts;
mod codec;
mod connection;
mod outgoing;
mod plain_text;

pub use codec::FrameError;
pub use connection::{AttemptEvent, MultiplexedConnection};
