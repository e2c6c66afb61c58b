//! Tests of the driver on connections that the node closes.

use super::*;
use crate::coordinator::{AttemptKey, AttemptRequest, ClassMetrics};
use crate::interface::{AttemptNo, PartId, ShardId};
use std::io::Write;
use std::net::TcpListener;

fn driver() -> ConnectionDriver {
    let inbox = may::sync::mpsc::channel().0;
    let context = DriverContext {
        inbox,
        clock: Clock::start(),
        baseline: Arc::default(),
    };
    ConnectionDriver::new(Arc::default(), context)
}

/// Creates a connection on which the node has sent these bytes and closed its side.
fn closed_by_node_after(bytes: &[u8]) -> std::net::TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the listener binds to a free port");
    let address = listener.local_addr().expect("the listener has an address");
    let stream = std::net::TcpStream::connect(address).expect("the connection is established");
    let (mut node, _) = listener.accept().expect("the node accepts the connection");
    node.write_all(bytes).expect("the node writes");
    drop(node);
    let peeked = stream.peek(&mut [0]).expect("the connection is readable");
    assert_eq!(peeked, bytes.len().min(1));
    stream
        .set_nonblocking(true)
        .expect("the stream is set to non-blocking");
    stream
}

#[test]
fn nothing_is_written_to_a_connection_that_the_node_has_closed() {
    // An attempt that was written on a connection that the node had closed counts as one that may
    // have run, so it could not be sent again.
    let stream = closed_by_node_after(b"");
    let driver = driver();
    let mut state = driver.connection.lock();
    state.protocol.enqueue(&[AttemptRequest {
        key: AttemptKey {
            part: PartId(1),
            attempt: AttemptNo(0),
        },
        request_id: "q1".into(),
        shard: ShardId(0),
        payload: Arc::from(&b"c41e77d0"[..]),
        context: None,
        timeout: Micros::from_millis(100),
        metrics: Arc::new(ClassMetrics::default()),
    }]);
    let mut events = Vec::new();
    assert!(
        !driver.exchange(&mut state, &stream, &mut events),
        "the connection has ended"
    );
    assert!(events.is_empty(), "nothing was written: {events:?}");
    assert!(
        state.protocol.restart_unsent(),
        "the attempt may be sent on another connection"
    );
}

#[test]
fn only_a_valid_frame_counts_as_received() {
    // If a connection has received only invalid bytes, the node must not be dialed again for the
    // attempts that wait.
    for (bytes, received) in [(&b"\0\0\0\x06zwhat"[..], false), (b"\0\0\0\x02l-", true)] {
        let stream = closed_by_node_after(bytes);
        let driver = driver();
        while driver.exchange(&mut driver.connection.lock(), &stream, &mut Vec::new()) {}
        assert_eq!(driver.connection.lock().frame_received, received);
    }
}
