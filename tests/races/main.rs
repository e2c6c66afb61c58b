//! Races between two events, on real sockets. A stand-in holds one event back until the other has
//! happened, so that each order is forced; `docs/races.md` lists the pairs.

mod attempts;
mod clients;
mod connections;
mod discovery;
mod frames;
#[path = "../standin/mod.rs"]
mod standin;
mod support;
