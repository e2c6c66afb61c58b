//! Connections of data nodes and clients that close, stay silent, or exhaust the descriptors.

use crate::standin::client::{Class, Shards};
use crate::standin::data_node::{DataNode, NodeBehaviour};
use crate::standin::deployment::Deployment;
use crate::support::query;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

#[test]
fn an_unresponsive_connection_fails_no_query_while_its_node_is_healthy() {
    // Answers take milliseconds, so no attempt is in flight for the 0.4 s after which a connection
    // is closed because an attempt is too old. It is closed because nothing arrives on it, or
    // because the bytes after half an answer do not complete the answer.
    for fault in [NodeBehaviour::StopAnswering, NodeBehaviour::TruncatedAnswer] {
        let nodes = [(); 2].map(|()| {
            DataNode::start(move |part| match part {
                100 => fault,
                _ => NodeBehaviour::Serve,
            })
        });
        let (process, _changes) = Deployment::BASIC.start(&format!("mute{}", fault as u8), &nodes);
        process.wait_until_ready();
        let part_count = |node: &DataNode| node.received_part_ids().len();
        for n in 0..1_000 {
            assert_eq!(
                query(&process, &format!("q{n}"), Class("lookup"), Shards(&[0, 1])).status,
                200,
                "query {n} is answered"
            );
            if nodes.iter().all(|node| part_count(node) > 120) {
                break;
            }
        }
        let counts = nodes
            .each_ref()
            .map(|node| (part_count(node), node.connection_count()));
        assert!(
            counts
                .iter()
                .all(|(parts, connections)| *parts > 120 && *connections > 1),
            "parts and connections: {counts:?}"
        );
    }
}

#[test]
fn a_connection_closed_by_its_node_loses_no_part() {
    // Each close has reached the process before the next part is sent; the unit tests of the data
    // node client cover a part that is sent before the process has read the close.
    let nodes = [
        DataNode::start(|_| NodeBehaviour::ServeAndClose),
        DataNode::start(|_| NodeBehaviour::ServeAndClose),
    ];
    let (process, _changes) = Deployment::BASIC.start("closed", &nodes);
    process.wait_until_ready();
    for n in 0..10 {
        assert_eq!(
            query(&process, &format!("q{n}"), Class("send"), Shards(&[0])).status,
            200,
            "query {n} is answered"
        );
        while nodes
            .iter()
            .map(DataNode::closed_connection_count)
            .sum::<usize>()
            <= n
        {
            std::thread::yield_now();
        }
    }
}

#[test]
fn silent_and_incomplete_connections_are_closed_and_do_not_block_other_clients() {
    // Incomplete requests and silent connections have a time limit, and are closed before it if new
    // clients need their descriptors.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, _changes) = Deployment {
        descriptor_limit: 60,
        ..Deployment::BASIC
    }
    .start("silent", &nodes);
    process.wait_until_ready();
    let connect = || TcpStream::connect(process.address).expect("the connection is established");
    let mut half = connect();
    write!(
        half,
        "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{{"
    )
    .expect("the bytes are written");
    let mut text = String::new();
    half.read_to_string(&mut text)
        .expect("the response is read to its end");
    assert!(
        text.starts_with("HTTP/1.1 408 ") && text.contains("Connection: close"),
        "{text}"
    );
    let mut idle_clients: Vec<TcpStream> = (0..150).map(|_| connect()).collect();
    assert_eq!(
        query(&process, "q1", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
    for silent in &mut idle_clients {
        // The connection is closed without a response; otherwise this read would not return.
        assert!(matches!(silent.read(&mut [0; 1]), Ok(0) | Err(_)));
    }
}

#[test]
fn an_error_response_reaches_a_client_that_keeps_sending() {
    // A close with unread input sends a reset, by which the client would lose the error.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, _changes) = Deployment::BASIC.start("linger", &nodes);
    let mut client = TcpStream::connect(process.address).expect("the process listens");
    write!(
        client,
        "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n"
    )
    .expect("the bytes are written");
    let mut lines = BufReader::new(client.try_clone().expect("the socket is duplicated")).lines();
    assert_eq!(
        lines.next().and_then(Result::ok).as_deref(),
        Some("HTTP/1.1 413 Content Too Large")
    );
    // The response has arrived, and the process still reads the bytes that are sent after it.
    for _ in 0..50 {
        client
            .write_all(&[b'x'; 1_000])
            .expect("the connection is not reset");
    }
    assert!(lines
        .by_ref()
        .map_while(Result::ok)
        .any(|l| l == "Connection: close"));
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("the sending side is shut down");
    assert!(
        lines.all(|l| l.is_ok()),
        "the connection closes without a reset"
    );
}

#[test]
fn queries_are_served_while_descriptors_are_exhausted() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, _changes) = Deployment {
        descriptor_limit: 40,
        ..Deployment::BASIC
    }
    .start("descriptors", &nodes);
    process.wait_until_ready();
    assert_eq!(
        query(&process, "q0", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
    let idle_clients: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(process.address).expect("the connection is established"))
        .collect();
    for n in 1..10 {
        assert_eq!(
            query(&process, &format!("q{n}"), Class("lookup"), Shards(&[0, 1])).status,
            200
        );
    }
    drop(idle_clients);
}

#[test]
fn after_sigterm_persistent_connections_are_served_before_they_are_closed() {
    // Responses after the signal do not close their connections, and new clients are accepted.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (mut process, _changes) = Deployment {
        latency_objective_ms: 1_000,
        ..Deployment::BASIC
    }
    .start("term", &nodes);
    process.wait_until_ready();
    let mut persistent = TcpStream::connect(process.address).expect("the process listens");
    // A connection with half a request is not idle.
    write!(persistent, "GET /up HTTP/1.1\r\nHost: x\r\n").expect("the bytes are written");
    process.signal("HUP");
    process.signal("TERM");
    process.wait_for_log("graceful shutdown started");
    write!(persistent, "\r\n").expect("the bytes are written");
    let body = "{\"tablets\":[{\"tablet\":0,\"fraction\":1}],\"statement\":\"c41e77d0\"}";
    write!(
        persistent,
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q1\r\nX-Qos: lookup\r\nX-Expires-In: 1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the bytes are written");
    assert_eq!(
        query(&process, "q2", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
    let mut text = String::new();
    persistent
        .read_to_string(&mut text)
        .expect("the response is read");
    assert!(
        text.starts_with("HTTP/1.1 503 ") && text.contains("HTTP/1.1 200 "),
        "{text}"
    );
    assert!(!text.contains("Connection: close"), "{text}");
    assert!(process.wait_for_exit());
}
