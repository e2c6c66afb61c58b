//! Stand-ins on loopback for the socket tests: the process under test, its clients, and the servers
//! that it calls.
#![allow(
    dead_code,
    reason = "each test file is a program of its own and uses some of these"
)]

pub mod client;
pub mod data_node;
pub mod deployment;
pub mod discovery;
pub mod feature_server;
pub mod frame_recorder;
pub mod frames;
pub mod http;
pub mod management;
pub mod process;
pub mod threads;
