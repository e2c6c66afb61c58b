//! Tests of the hand-over of listening sockets.

use super::*;
use std::sync::mpsc::channel;

/// Returns a path that no other test uses.
fn unused_path(test: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("quinceflow-{test}-{}.sock", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn listening_socket() -> ListeningSocket<TcpListener> {
    ListeningSocket {
        address: ANY_PORT,
        socket: listen(ANY_PORT).expect("a port is free"),
    }
}

#[test]
fn a_successor_receives_the_sockets_and_each_process_detects_that_the_other_is_alive() {
    let path = unused_path("handover");
    // A stale socket of a killed process does not prevent the offer.
    drop(UnixListener::bind(&path));
    assert!(
        request_handover(&path).is_none(),
        "no process listens on the stale socket"
    );
    let socket = listening_socket();
    let bound = socket.socket.local_addr().expect("the socket is bound");
    let (sender, successors) = channel();
    offer(&path, vec![socket], move |peer| drop(sender.send(peer))).expect("the offer starts");
    let handover = request_handover(&path).expect("the sockets are handed over");
    let successor = successors.recv().expect("the successor is reported");
    let first = &handover.sockets[0];
    assert_eq!(
        (
            first.address,
            first.socket.local_addr().expect("the socket is bound")
        ),
        (ANY_PORT, bound)
    );
    assert!(handover.predecessor.is_alive() && successor.is_alive());
    // A second successor receives no sockets while the first one is alive, since the limits are
    // shared by two processes, not more.
    assert!(request_handover(&path).is_none());
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_request_for_the_sockets_fails_if_the_peer_hangs_or_uses_another_protocol_version() {
    let path = unused_path("hung");
    let listener = UnixListener::bind(&path).expect("the socket is bound");
    // The kernel completes the connection, but no message is sent on it.
    assert!(request_handover(&path).is_none());
    let other_version = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut connection, _) = listener.accept().expect("a successor connects");
            let _ = connection.write_all(b"quinceflow hand-over 2 127.0.0.1:80");
            // Keeps the connection open until the successor has closed its end.
            let _ = connection.read_to_end(&mut Vec::new());
        }
    });
    assert!(
        request_handover(&path).is_none(),
        "the peer uses another version"
    );
    other_version.join().expect("the peer does not panic");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_successor_that_exits_before_its_acknowledgement_is_not_reported() {
    let path = unused_path("broken");
    let (sender, successors) = channel();
    offer(&path, vec![listening_socket()], move |peer| {
        drop(sender.send(peer))
    })
    .expect("the offer starts");
    let mut connection = UnixStream::connect(&path).expect("the predecessor listens");
    writeln!(connection, "{HELLO}").expect("the first line is written");
    assert!(
        connection
            .read(&mut [0; MAX_MESSAGE_BYTES])
            .expect("the sockets arrive")
            > 0
    );
    drop(connection);
    let handover = request_handover(&path).expect("the next successor is served");
    assert!(
        successors
            .recv()
            .expect("the next successor is reported")
            .is_alive()
            && handover.predecessor.is_alive()
    );
    assert!(
        successors.try_recv().is_err(),
        "the successor that exited is not reported"
    );
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_process_with_another_first_line_receives_no_sockets() {
    let path = unused_path("hello");
    offer(&path, vec![listening_socket()], |_| {
        panic!("a successor is reported")
    })
    .expect("the offer starts");
    let mut connection = UnixStream::connect(&path).expect("the predecessor listens");
    connection
        .write_all(&[b'x'; HELLO.len() + 1])
        .expect("the first line is written");
    assert_eq!(connection.read_to_end(&mut Vec::new()).ok(), Some(0));
    assert!(
        request_handover(&path).is_some(),
        "the next successor is served"
    );
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_message_of_another_version_or_without_one_socket_for_each_address_is_rejected() {
    let error =
        parse_addresses(b"quinceflow hand-over 2 127.0.0.1:80").expect_err("the version differs");
    assert!(matches!(error, HandoverError::IncompatibleVersion));
    assert_eq!(
        error.to_string(),
        "the peer uses another version of the hand-over protocol"
    );
    let (successor, predecessor) = UnixStream::pair().expect("a pair is created");
    (&predecessor)
        .write_all(format!("{HELLO} {ANY_PORT}").as_bytes())
        .expect("the message is written");
    let error = receive_sockets(&successor).expect_err("no socket was sent");
    assert!(matches!(error, HandoverError::SocketMismatch));
    assert_eq!(
        error.to_string(),
        "the message does not have one socket for each address"
    );
}

/// Guards against a parser that skips malformed words, after which sockets would be assigned to the
/// wrong addresses.
#[test]
fn a_message_with_a_word_that_is_not_an_address_is_rejected() {
    let message = |words: &str| parse_addresses(format!("{HELLO} {words}").as_bytes());
    let addresses = message("127.0.0.1:80 [::1]:81").expect("the addresses are valid");
    assert_eq!(addresses.len(), 2);
    let rejected = message("127.0.0.1:80 nowhere 127.0.0.1:81").expect_err("a word is malformed");
    assert_eq!(rejected.to_string(), "\"nowhere\" is not a socket address");
}
