//! Frames that are partly written when their attempt times out or their connection is reset.

use crate::standin::client::{read_until_close, send_request};
use crate::standin::data_node::{RecordingNode, UnreachableNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{changed_endpoints, in_service, terminating, ControlledDiscovery};
use crate::standin::frames::{read_frame, CALL, CANCEL};
use crate::standin::http::bind_loopback;
use crate::standin::process::Process;
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
use serde_json::json;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

#[test]
fn a_part_whose_frame_is_partly_written_is_not_sent_again() {
    // The nodes read nothing, so a long frame is only partly written at the timeout of its attempt.
    // The rest is written later and the part may run: the attempt does not count as not sent, and
    // the part is not sent to the other node.
    let nodes = [0, 1].map(|_| bind_loopback());
    nodes
        .iter()
        .for_each(|n| set_socket_recv_buffer_size(n, 2_048).expect("the buffer size is set"));
    let addresses = nodes
        .each_ref()
        .map(|n| n.local_addr().expect("the listener is bound"));
    let discovery = ControlledDiscovery::new();
    let (process, _watch) = Deployment {
        latency_objective_ms: 400,
        ..Deployment::ALL_EFFECTS
    }
    .start_controlled("partly-written", &discovery, &addresses);
    let body = json!({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x".repeat(60_000)})
        .to_string();
    let head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: long\r\nX-Qos: once\r\n\
                X-Expires-In: 0.8\r\nConnection: close";
    let answer = process.send_request(&format!(
        "{head}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    process.wait_for_counter("attempts_dispatched", 1);
    assert_eq!(answer.status, 504, "the part may run: {answer:?}");
    let mut runs = 0;
    for listener in nodes {
        listener
            .set_nonblocking(true)
            .expect("the blocking mode is set");
        while let Ok((mut stream, _)) = listener.accept() {
            stream
                .set_nonblocking(false)
                .expect("the blocking mode is set");
            // The cancellation follows the frame of the attempt.
            while let Ok(frame) = read_frame(&mut stream) {
                runs += usize::from(frame.kind == CALL);
                if frame.kind == CANCEL {
                    break;
                }
            }
        }
    }
    assert_eq!(runs, 1);
}

/// The number of long queries: more than fit into the socket buffers to a node that reads nothing.
const QUERIES: usize = 90;

/// Sends [`QUERIES`] non-idempotent queries of 60 KB, each on its own connection.
fn send_long_queries(process: &Process) -> Vec<TcpStream> {
    let body = json!({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x".repeat(60_000)})
        .to_string();
    let length = body.len();
    let request = |number: usize| {
        format!(
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q{number}\r\nX-Qos: once\r\n\
             X-Expires-In: 30\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    };
    (0..QUERIES)
        .map(|number| send_request(process, &request(number)))
        .collect()
}

/// Accepts and resets all connections in the backlog of a listener.
fn reset_connections(listener: &TcpListener) {
    listener
        .set_nonblocking(true)
        .expect("the blocking mode is set");
    while let Ok((stream, _)) = listener.accept() {
        set_socket_linger(&stream, Some(Duration::ZERO)).expect("the linger time is set");
    }
}

/// Returns the ids of the parts of the queries that were answered with 200, sorted.
fn served_parts(answers: &[String]) -> Vec<String> {
    let is_served = |number: &usize| answers[*number].starts_with("HTTP/1.1 200");
    let served = (0..QUERIES).filter(is_served);
    let mut ids: Vec<String> = served.map(|number| format!("q{number}.0")).collect();
    ids.sort();
    ids
}

#[test]
fn parts_of_incompletely_written_frames_are_retried_on_the_other_node() {
    // When the node resets the connection, one frame is partly written and others are queued after
    // it. Their parts cannot have run, so they are retried whatever their class. The parts of fully
    // written frames may have run and are not retried.
    let stalled = bind_loopback();
    set_socket_recv_buffer_size(&stalled, 2_048).expect("the buffer size is set");
    let healthy = UnreachableNode::new();
    let addresses = [
        stalled.local_addr().expect("the listener is bound"),
        healthy.address(),
    ];
    let discovery = ControlledDiscovery::new();
    let (process, mut watch) =
        Deployment::ALL_EFFECTS.start_controlled("half-frames", &discovery, &addresses);
    watch.send(&changed_endpoints(2, &[terminating(1, addresses[1])]));
    process.wait_for_counter("endpoint_updates", 3);
    let clients = send_long_queries(&process);
    process.wait_for_counter("attempts_dispatched", QUERIES as u64);
    process.wait_for_counter("attempts_fully_written", 1);
    watch.send(&changed_endpoints(3, &[in_service(1, addresses[1])]));
    process.wait_for_counter("endpoint_updates", 4);

    let recording = RecordingNode::start(healthy);
    reset_connections(&stalled);
    let answers: Vec<String> = clients.into_iter().map(read_until_close).collect();
    drop(process);

    let mut retried = recording.wait_until_closed();
    retried.sort();
    let served = served_parts(&answers);
    assert_eq!(retried, served, "each part is retried once");
    let count = served.len();
    assert!(
        (1..QUERIES).contains(&count),
        "{count} of {QUERIES} queries"
    );
    assert!(answers.iter().all(|answer| {
        answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 502")
    }));
}
