//! Tests of the coordinator without sockets: they give it inputs and turns at chosen times, and check
//! its commands.

mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod endpoints;
mod queries;
mod random_inputs;
mod settings;
mod shutdown;
mod support;
