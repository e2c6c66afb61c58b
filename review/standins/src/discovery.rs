//! A stand-in discovery agent with a list that does not change.

use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// The time between two empty lines of a watch.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the whole list.
pub fn list(revision: u64, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!("{{\"rev\":{revision},\"all\":true,\"targets\":[{entries}]}}")
}

/// Starts an agent on a free port, which is returned.
pub fn start(list: String) -> io::Result<u16> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let port = listener.local_addr()?.port();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || serve(stream, &list));
        }
    });
    Ok(port)
}

/// Answers a watch.
fn serve(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        request.push(byte[0]);
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write_line(&mut stream, list)?;
    loop {
        std::thread::sleep(EMPTY_LINE_INTERVAL);
        write_line(&mut stream, "")?;
    }
}

/// Writes a line as one chunk.
fn write_line(stream: &mut TcpStream, line: &str) -> io::Result<()> {
    let length = line.len() + 1;
    stream.write_all(format!("{length:x}\r\n{line}\n\r\n").as_bytes())
}
