//! Wire protocols as state machines: received bytes go in, events and bytes to write come out.
//! Sockets and clocks belong to `net`, decisions about queries to `policy`.

pub mod admin;
pub mod body;
pub mod buffer;
pub mod discovery;
pub mod fetch;
pub mod frames;
pub mod http;
