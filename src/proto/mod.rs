//! Protocols as state machines: fed bytes, they yield events and bytes to write. None knows a socket or a clock.

pub mod admin;
pub mod body;
pub mod buffer;
pub mod discovery;
pub mod fetch;
pub mod frames;
pub mod http;
