//! The platform front on real sockets, with stand-ins for data nodes, discovery and clients.

mod connections;
mod invalid_answers;
mod queries;
mod requests;
#[path = "../standin/mod.rs"]
mod standin;
mod support;
