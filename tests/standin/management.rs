//! Calls at the management address of the process under test.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Sends one call to the management address and returns the complete reply.
pub fn management_call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(line.as_bytes()).expect("it reads");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("it replies and ends");
    text
}

/// Returns the value of a counter in the reply to `DUMP`.
pub fn dump_value(dump: &str, name: &str) -> u64 {
    let value = dump
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    value
        .unwrap_or_else(|| panic!("no {name} in {dump}"))
        .parse()
        .expect("a number")
}
