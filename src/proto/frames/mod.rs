//! The data nodes' protocol: one connection that carries many attempts at a time.
//!
//! A frame is a length of four bytes, most significant first, a letter for its kind, and its payload; the length counts
//! both.

mod attempts;
mod codec;
mod connection;
mod outgoing;

pub use codec::FrameError;
pub use connection::{AttemptEvent, MultiplexedConnection};
