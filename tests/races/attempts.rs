//! Answers that come after their attempt or their query has ended.

use crate::standin::client::{read_until_close, send_request, Class, QueryRequest, Shards};
use crate::standin::data_node::DataNode;
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{changed_endpoints, terminating, ControlledDiscovery};
use crate::standin::frame_recorder::FrameRecorder;
use crate::standin::frames::{read_part_ids, write_answer, CALL};
use crate::standin::http::bind_loopback;
use std::net::TcpStream;

#[test]
fn a_late_answer_during_the_second_attempt_causes_no_third() {
    let nodes = [0, 1].map(|_| bind_loopback());
    let addresses = nodes
        .each_ref()
        .map(|n| n.local_addr().expect("the listener is bound"));
    let discovery = ControlledDiscovery::new();
    let (process, _watch) = Deployment {
        latency_objective_ms: 8_000,
        ..Deployment::ALL_EFFECTS
    }
    .start_controlled("late", &discovery, &addresses);
    let request = QueryRequest::new("late", Class("look"), Shards(&[0])).close_connection();
    let client = send_request(&process, &request.to_http());
    let recorder = FrameRecorder::start(nodes);
    let mut first = recorder.wait_for_frame();
    assert_eq!(first.kind, CALL);
    // The part is cancelled and sent to the other node; the two frames arrive in either order.
    let both = [0, 1].map(|_| recorder.wait_for_frame());
    let mut other = both
        .into_iter()
        .find(|frame| frame.kind == CALL)
        .expect("the next attempt is received");
    assert_ne!(other.node, first.node);
    write_answer(&mut first.stream, "late.0 broke 0 -\n").expect("the bytes are written");
    process.wait_for_counter("attempts_cancelled", 1);
    write_answer(&mut other.stream, "late.0 served 1 -\ncell").expect("the bytes are written");
    assert!(read_until_close(client).starts_with("HTTP/1.1 200"));
    recorder.assert_no_further_call(process);
}

/// Reads the ids of two parts, which arrive in one frame or in two.
fn read_two_part_ids(stream: &mut TcpStream) -> Vec<String> {
    let mut ids = read_part_ids(stream).expect("a part is received");
    if ids.len() < 2 {
        ids.extend(read_part_ids(stream).expect("the other part is received"));
    }
    ids
}

#[test]
fn an_answer_after_its_query_completed_is_dropped_and_its_part_not_retried() {
    let discovery = ControlledDiscovery::new();
    let healthy = DataNode::serving();
    let listener = bind_loopback();
    let addresses = [
        healthy.address,
        listener.local_addr().expect("the listener is bound"),
    ];
    // Both parts are sent to the second node, since the first one is draining. The late part can
    // therefore not be retried elsewhere.
    let (process, mut watch) = Deployment {
        latency_objective_ms: 600,
        ..Deployment::ALL_EFFECTS
    }
    .start_controlled("after", &discovery, &addresses);
    watch.send(&changed_endpoints(2, &[terminating(0, addresses[0])]));
    process.wait_for_counter("endpoint_updates", 3);
    let request = QueryRequest::new("q", Class("some"), Shards(&[0, 1])).close_connection();
    let client = send_request(&process, &request.to_http());
    let (mut stream, _) = listener.accept().expect("a connection is accepted");
    let ids = read_two_part_ids(&mut stream);
    write_answer(&mut stream, &format!("{} served 1 -\ncell", ids[0]))
        .expect("the bytes are written");
    let text = read_until_close(client);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(text.contains("\"full\":false"), "{text}");

    // The late answer arrives, and then a query is sent on the same connection.
    write_answer(&mut stream, &format!("{} served 1 -\ncell", ids[1]))
        .expect("the bytes are written");
    let request = QueryRequest::new("next", Class("look"), Shards(&[1])).close_connection();
    let next = send_request(&process, &request.to_http());
    let next_ids = read_part_ids(&mut stream).expect("a part is received on the open connection");
    assert_eq!(next_ids, ["next.1"]);
    write_answer(&mut stream, "next.1 served 1 -\ncell").expect("the bytes are written");
    assert!(read_until_close(next).starts_with("HTTP/1.1 200"));
    process.wait_for_counter("attempts_dispatched", 3);
}
