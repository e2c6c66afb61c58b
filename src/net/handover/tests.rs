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
        socket: listen(ANY_PORT).expect("a port"),
    }
}

#[test]
fn a_successor_takes_the_sockets_over_and_each_process_sees_the_other_alive() {
    let path = unused_path("over");
    // A stale socket of a killed process does not prevent the offer.
    drop(UnixListener::bind(&path));
    assert!(request_handover(&path).is_none(), "stale");
    let socket = listening_socket();
    let bound = socket.socket.local_addr().expect("bound");
    let (sender, successors) = channel();
    offer(&path, vec![socket], move |peer| drop(sender.send(peer))).expect("offered");
    let handover = request_handover(&path).expect("a predecessor waits");
    let successor = successors.recv().expect("the predecessor is notified");
    let first = &handover.sockets[0];
    assert_eq!(
        (first.address, first.socket.local_addr().expect("bound")),
        (ANY_PORT, bound)
    );
    assert!(handover.predecessor.is_alive() && successor.is_alive());
    // A second successor gets no sockets while the first one lives, since two processes share the
    // limits.
    assert!(request_handover(&path).is_none());
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_peer_that_hangs_or_is_of_another_version_does_not_stop_a_start() {
    let path = unused_path("hung");
    let listener = UnixListener::bind(&path).expect("a socket");
    // The kernel accepts the connection, and nobody answers.
    assert!(request_handover(&path).is_none());
    let other_version = std::thread::spawn(move || {
        for _ in 0..2 {
            let (mut connection, _) = listener.accept().expect("a successor");
            let _ = connection.write_all(b"quinceflow hand-over 2 127.0.0.1:80");
            // Kept open until the successor has closed its end.
            let _ = connection.read_to_end(&mut Vec::new());
        }
    });
    assert!(request_handover(&path).is_none(), "of another version");
    other_version.join().expect("it ends");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_successor_that_exits_before_it_acknowledges_the_sockets_does_not_count() {
    let path = unused_path("broken");
    let (sender, successors) = channel();
    offer(&path, vec![listening_socket()], move |peer| {
        drop(sender.send(peer))
    })
    .expect("offered");
    let mut connection = UnixStream::connect(&path).expect("the predecessor waits");
    writeln!(connection, "{HELLO}").expect("written");
    assert!(
        connection
            .read(&mut [0; MAX_MESSAGE_BYTES])
            .expect("the sockets")
            > 0
    );
    drop(connection);
    let handover = request_handover(&path).expect("the next one is served");
    assert!(successors.recv().expect("notified").is_alive() && handover.predecessor.is_alive());
    assert!(
        successors.try_recv().is_err(),
        "the first one never had them"
    );
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_process_with_another_first_line_gets_no_sockets() {
    let path = unused_path("stranger");
    offer(&path, vec![listening_socket()], |_| {
        panic!("nobody took them over")
    })
    .expect("offered");
    let mut connection = UnixStream::connect(&path).expect("the predecessor waits");
    connection
        .write_all(&[b'x'; HELLO.len() + 1])
        .expect("written");
    assert_eq!(connection.read_to_end(&mut Vec::new()).ok(), Some(0));
    assert!(request_handover(&path).is_some(), "the next one is served");
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_message_of_another_version_or_without_one_socket_for_each_address_is_an_error() {
    let error =
        parse_addresses(b"quinceflow hand-over 2 127.0.0.1:80").expect_err("another version");
    assert!(matches!(error, HandoverError::IncompatibleVersion));
    assert_eq!(
        error.to_string(),
        "the peer uses another version of the hand-over protocol"
    );
    let (here, there) = UnixStream::pair().expect("a pair");
    (&there)
        .write_all(format!("{HELLO} {ANY_PORT}").as_bytes())
        .expect("written");
    let error = receive_sockets(&here).expect_err("no socket came");
    assert!(matches!(error, HandoverError::SocketMismatch));
    assert_eq!(
        error.to_string(),
        "the message does not have one socket for each address"
    );
}

/// Guards against words that are dropped, after which sockets would go with other addresses.
#[test]
fn a_message_with_a_word_that_is_no_address_is_rejected() {
    let message = |words: &str| parse_addresses(format!("{HELLO} {words}").as_bytes());
    let addresses = message("127.0.0.1:80 [::1]:81").expect("two addresses");
    assert_eq!(addresses.len(), 2);
    let rejected = message("127.0.0.1:80 nowhere 127.0.0.1:81").expect_err("no address");
    assert_eq!(rejected.to_string(), "\"nowhere\" is not a socket address");
}
