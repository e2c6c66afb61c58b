//! Tests of reads and writes on non-blocking sockets.

use super::*;
use std::net::{TcpListener, TcpStream};

#[test]
fn a_reset_is_no_end() {
    for reset in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
        let (other, _) = listener.accept().expect("accepted");
        if reset {
            rustix::net::sockopt::set_socket_linger(&other, Some(std::time::Duration::ZERO)).expect("set");
        }
        drop(other);
        match try_read(&stream, &mut [0]) {
            IoOutcome::EndOfStream => assert!(!reset),
            IoOutcome::Broken => assert!(reset),
            IoOutcome::Transferred(_) | IoOutcome::WouldBlock => panic!("it has ended"),
        }
    }
}
