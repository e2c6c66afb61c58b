//! Tests of the coordinator without sockets: inputs and turns at chosen times, and the commands
//! that come out.

mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod endpoints;
mod queries;
mod random_inputs;
mod settings;
mod shutdown;
mod support;
