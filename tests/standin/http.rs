//! The subset of HTTP/1.1 that stand-in servers use, and their listeners.

use super::threads::Threads;
use std::io::{BufRead, BufReader, Lines, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// The head of a response whose chunks follow.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Binds a listener to a free loopback port.
pub fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Accepts connections on a free loopback port, on a thread that lives as long as the test program,
/// and returns the address.
pub fn accept_on_thread(
    threads: &Threads,
    mut accept: impl FnMut(TcpStream) + Send + 'static,
) -> SocketAddr {
    let listener = bind_loopback();
    let address = listener.local_addr().expect("an address");
    threads.listen(move || listener.incoming().flatten().for_each(&mut accept));
    address
}

/// Returns the lines that arrive on a connection.
pub fn lines_of(stream: &TcpStream) -> Lines<BufReader<TcpStream>> {
    BufReader::new(stream.try_clone().expect("a handle")).lines()
}

/// Reads a request without a body and returns its first line; `None` at the end of the connection.
pub fn read_request_line(lines: &mut Lines<BufReader<TcpStream>>) -> Option<String> {
    let request_line = lines.next()?.ok()?;
    while lines
        .next()
        .and_then(Result::ok)
        .is_some_and(|line| !line.is_empty())
    {}
    Some(request_line)
}

/// Begins a chunked response.
pub fn write_chunked_head(stream: &mut TcpStream) -> Result<()> {
    stream.write_all(CHUNKED_HEAD)
}

/// Writes one line as a chunk of its own.
pub fn write_line_chunk(stream: &mut TcpStream, line: &str) -> Result<()> {
    write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)
}
