//! Tests of the client against servers that write prepared bytes.

use super::{Client, ClientError};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Starts a server that accepts one connection and passes it to `respond`.
fn serve(respond: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || respond(listener.accept().expect("the client connects").0));
    address
}

/// Reads a request, since closing a connection with unread bytes resets it.
fn read_request(stream: &mut TcpStream) {
    let read = stream
        .read(&mut [0; 4096])
        .expect("the client sends a request");
    assert!(read > 0);
}

/// Returns the body of the response that consists of these bytes.
fn body_of(response: &'static str) -> Result<String, ClientError> {
    let address = serve(move |mut stream| {
        read_request(&mut stream);
        stream
            .write_all(response.as_bytes())
            .expect("the response is written");
    });
    let response = Client::new(address).get("/")?;
    Ok(response.text())
}

#[test]
fn chunks_extensions_and_trailers_are_read() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        2;name=value\r\nab\r\n3\r\ncde\r\n0\r\nExpires: now\r\nVary: x\r\n\r\n";
    assert_eq!(body_of(chunked).expect("the response is complete"), "abcde");
}

/// Guards against a truncated body that is accepted as complete.
#[test]
fn truncated_bodies_are_errors() {
    let is_truncated = |response| match body_of(response) {
        Err(ClientError::Io(error)) => error.kind() == ErrorKind::UnexpectedEof,
        _ => false,
    };
    assert!(is_truncated(
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
    ));
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    assert!(is_truncated(head));
    let without_end = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nVary: x\r\n";
    assert!(is_truncated(without_end));
    let too_long = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n";
    assert!(matches!(body_of(too_long), Err(ClientError::ChunkEnd)));
}

/// Guards against a reset that is taken for the end of a body without a length.
#[test]
fn a_reset_does_not_end_a_body() {
    let complete = "HTTP/1.1 200 OK\r\n\r\nab";
    assert_eq!(body_of(complete).expect("the response is complete"), "ab");
    let address = serve(|mut stream| {
        stream.peek(&mut [0]).expect("the client sends a request");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nab")
            .expect("the response is written");
    });
    let response = Client::new(address).get("/");
    assert!(
        matches!(&response, Err(ClientError::Io(error)) if error.kind() == ErrorKind::ConnectionReset),
        "{response:?}"
    );
}

/// Guards against a timeout that restarts with each received byte.
#[test]
fn the_timeout_covers_the_complete_response() {
    let address = serve(|mut stream| {
        read_request(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
        while stream.write_all(b"x").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let mut client = Client::new(address);
    client.timeout = Duration::from_millis(200);
    let started = Instant::now();
    let response = client.get("/");
    let is_timeout = |kind| matches!(kind, ErrorKind::TimedOut | ErrorKind::WouldBlock);
    assert!(
        matches!(&response, Err(ClientError::Io(error)) if is_timeout(error.kind())),
        "{response:?}"
    );
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "the response of 1000 bytes is sent for 20 s, far beyond the timeout"
    );
}
