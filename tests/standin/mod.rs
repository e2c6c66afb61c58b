//! Support for tests that use sockets on the loopback interface: the process under test, clients,
//! and stand-ins for the servers that the process connects to.
#![allow(
    dead_code,
    reason = "each test target is compiled separately and uses only some of these items"
)]

pub mod admin_endpoint;
pub mod client;
pub mod data_node;
pub mod deployment;
pub mod discovery;
pub mod feature_server;
pub mod frame_recorder;
pub mod frames;
pub mod http;
pub mod process;
pub mod threads;
