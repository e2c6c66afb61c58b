//! Calls of the admin endpoint of the process under test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Sends one call to the admin endpoint and returns the complete reply.
pub fn call_admin_endpoint(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the admin endpoint accepts connections");
    stream
        .write_all(line.as_bytes())
        .expect("the admin endpoint reads the call");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the admin endpoint replies and closes the connection");
    text
}

/// Returns the value of a counter in the reply to `DUMP`.
pub fn dump_value(dump: &str, name: &str) -> u64 {
    let value = dump
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    value
        .unwrap_or_else(|| panic!("no counter {name} in {dump}"))
        .parse()
        .expect("the value of the counter is a number")
}
