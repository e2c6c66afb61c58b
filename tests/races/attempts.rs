//! Answers that come after their attempt or their query has ended.

use crate::standin::client::{read_until_close, send_request, QueryRequest};
use crate::standin::data_node::DataNode;
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{endpoint_list, terminating, ControlledDiscovery};
use crate::standin::frames::{read_frame, read_part_ids, write_answer, Frame, CALL};
use crate::standin::http::bind_loopback;
use std::net::TcpStream;
use std::sync::mpsc::channel;

/// A frame that one of two data nodes received, and the connection that it arrived on.
struct ReceivedFrame {
    node: usize,
    kind: u8,
    stream: TcpStream,
}

#[test]
fn a_late_answer_during_the_second_attempt_causes_no_third() {
    let nodes = [0, 1].map(|_| bind_loopback());
    let addresses = nodes.each_ref().map(|n| n.local_addr().expect("bound"));
    let agent = ControlledDiscovery::new();
    let (edge, _watch) = Deployment {
        latency_objective_ms: 8_000,
        ..Deployment::ALL_EFFECTS
    }
    .start_controlled("late", &agent, &addresses);
    let client = send_request(
        &edge,
        &QueryRequest::new("late", "look", &[0])
            .close_connection()
            .to_http(),
    );
    let (sender, attempts) = channel();
    for (node, listener) in nodes.into_iter().enumerate() {
        let sender = sender.clone();
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || {
                    while let Ok(Frame { kind, .. }) = read_frame(&mut stream) {
                        let stream = stream.try_clone().expect("a handle");
                        if sender.send(ReceivedFrame { node, kind, stream }).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }
    let mut first = attempts.recv().expect("the first attempt");
    assert_eq!(first.kind, CALL);
    // It is cancelled and sent to the other node, in either order as seen here.
    let both = [
        attempts.recv().expect("a frame"),
        attempts.recv().expect("a frame"),
    ];
    let mut other = both
        .into_iter()
        .find(|frame| frame.kind == CALL)
        .expect("the next attempt");
    assert_ne!(other.node, first.node);
    write_answer(&mut first.stream, "late.0 broke 0 -\n").expect("written");
    edge.wait_for_counter("attempts_cancelled", 1);
    write_answer(&mut other.stream, "late.0 served 1 -\ncell").expect("written");
    assert!(read_until_close(client).starts_with("HTTP/1.1 200"));
    drop(edge);
    drop(sender);
    assert!(
        attempts.try_iter().all(|frame| frame.kind != CALL),
        "two attempts, no third"
    );
}

#[test]
fn an_answer_after_its_query_completed_is_dropped_and_its_part_not_retried() {
    let agent = ControlledDiscovery::new();
    let healthy = DataNode::serving();
    let listener = bind_loopback();
    let addresses = [healthy.address, listener.local_addr().expect("bound")];
    // Two shards, one on each node: the other holder is draining, so that the late part cannot be
    // retried elsewhere.
    let (edge, mut watch) = Deployment {
        latency_objective_ms: 600,
        ..Deployment::ALL_EFFECTS
    }
    .start_controlled("after", &agent, &addresses);
    watch.send(&endpoint_list(2, false, &[terminating(0, addresses[0])]));
    edge.wait_for_counter("endpoint_updates", 3);
    let client = send_request(
        &edge,
        &QueryRequest::new("q", "some", &[0, 1])
            .close_connection()
            .to_http(),
    );
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut ids = read_part_ids(&mut stream).expect("a part");
    if ids.len() < 2 {
        ids.extend(read_part_ids(&mut stream).expect("the other"));
    }
    write_answer(&mut stream, &format!("{} served 1 -\ncell", ids[0])).expect("written");
    let text = read_until_close(client);
    assert!(
        text.starts_with("HTTP/1.1 200") && text.contains("\"full\":false"),
        "{text}"
    );
    // The late answer, then a query on the same connection.
    write_answer(&mut stream, &format!("{} served 1 -\ncell", ids[1])).expect("written");
    let next = send_request(
        &edge,
        &QueryRequest::new("next", "look", &[1])
            .close_connection()
            .to_http(),
    );
    assert_eq!(
        read_part_ids(&mut stream).expect("on the connection that is open"),
        ["next.1"]
    );
    write_answer(&mut stream, "next.1 served 1 -\ncell").expect("written");
    assert!(read_until_close(next).starts_with("HTTP/1.1 200"));
    edge.wait_for_counter("attempts_dispatched", 3);
}
