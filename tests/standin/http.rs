//! The listeners of stand-in servers, and the subset of HTTP/1.1 that the servers use.

use super::threads::ThreadGroup;
use std::io::{BufRead, BufReader, Lines, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The head of a response with a chunked body.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Binds a listener to a free loopback port.
pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

/// Starts a thread that passes the connections to a free loopback port to `accept` for as long as
/// the test program runs. Returns the address.
pub fn accept_on_thread(
    thread_group: &ThreadGroup,
    mut accept: impl FnMut(TcpStream) + Send + 'static,
) -> SocketAddr {
    let listener = bind_loopback();
    let address = listener.local_addr().expect("the listener is bound");
    thread_group.spawn_detached(move || listener.incoming().flatten().for_each(&mut accept));
    address
}

/// Returns the lines that arrive on a connection.
pub fn lines_of(stream: &TcpStream) -> Lines<BufReader<TcpStream>> {
    BufReader::new(stream.try_clone().expect("the socket is duplicated")).lines()
}

/// Reads a request without a body and returns its first line, or `None` if the connection has
/// ended.
pub fn read_request_line(lines: &mut Lines<BufReader<TcpStream>>) -> Option<String> {
    let request_line = lines.next()?.ok()?;
    while lines
        .next()
        .and_then(Result::ok)
        .is_some_and(|line| !line.is_empty())
    {}
    Some(request_line)
}

/// Writes the head of a chunked response.
pub fn write_chunked_head(stream: &mut TcpStream) -> Result<()> {
    stream.write_all(CHUNKED_HEAD)
}

/// Writes a line as one chunk.
pub fn write_line_chunk(stream: &mut TcpStream, line: &str) -> Result<()> {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)
}
