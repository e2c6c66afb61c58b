//! The protocol of the data nodes: binary frames on a connection that multiplexes many attempts.
//! The driver in `net::node_client` owns the socket.
//!
//! A frame is a 32-bit big-endian length, a letter for the frame's kind, and the payload. The
//! length counts the letter and the payload.

mod attempts;
mod codec;
mod connection;
mod outgoing;

pub use codec::FrameError;
pub use connection::{AttemptEvent, MultiplexedConnection};
