//! Tests of reads on non-blocking sockets.

use super::*;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn reading_from_a_reset_connection_fails_and_is_not_end_of_stream() {
    for reset in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds to a free port");
        let stream =
            TcpStream::connect(listener.local_addr().expect("the listener has an address"))
                .expect("the connection is established");
        let (peer, _) = listener.accept().expect("the peer accepts the connection");
        if reset {
            rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO))
                .expect("the linger option is set");
        }
        drop(peer);
        match try_read(&stream, &mut [0]) {
            IoOutcome::EndOfStream => assert!(!reset),
            IoOutcome::ConnectionFailed => assert!(reset),
            IoOutcome::Transferred(_) | IoOutcome::WouldBlock => {
                panic!("the peer has closed the connection")
            }
        }
    }
}
