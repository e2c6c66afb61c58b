//! Protocols as state machines without sockets and clocks: received bytes go in, events and bytes to write come out.

pub mod admin;
pub mod body;
pub mod buffer;
pub mod discovery;
pub mod fetch;
pub mod frames;
pub mod http;
