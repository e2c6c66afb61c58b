//! Races between two events, on real sockets. A stand-in holds one event back until the other has happened, so that each
//! order is forced; `docs/races.md` lists the pairs.

mod standin;

use serde_json::json;
use standin::client::{query, query_request, read_until_close, send_request};
use standin::data_node::{DataNode, RecordingNode, UnreachableNode};
use standin::deployment::Deployment;
use standin::discovery::{
    all_in_service, endpoint_list, endpoint_list_json, in_service, terminating, ControlledDiscovery,
};
use standin::frames::{read_frame, read_part_ids, serve_parts, write_answer, Frame, CALL, CANCEL};
use standin::http::bind_loopback;
use standin::process::Process;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;

/// Two data nodes that answer every part, and their addresses.
fn two_serving_nodes() -> ([DataNode; 2], [SocketAddr; 2]) {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = nodes.each_ref().map(|node| node.address);
    (nodes, addresses)
}

/// Sends four queries whose parts must not run twice, each on a connection of its own.
fn send_non_idempotent_queries(process: &Process) -> Vec<TcpStream> {
    let query = |n| query_request(&format!("q{n}"), "once", &[0, 1, 2, 3], "Connection: close\r\n");
    (0..4).map(|n| send_request(process, &query(n))).collect()
}

/// Asserts that queries of these shards are answered, and that a node has received no part beyond the first ones.
fn assert_draining(process: &Process, node: &DataNode, shards: &[u32], received_before: usize) {
    for n in 0..6 {
        assert_eq!(query(process, &format!("q{n}"), "look", shards).status, 200);
    }
    assert_eq!(node.received_parts().len(), received_before, "it is draining");
}

#[test]
fn parts_that_wait_for_a_connection_are_not_sent_after_their_client_disconnects() {
    // Counted at the nodes: parts that arrive after their client has disconnected. Regression: parts of a batch, and all
    // parts where cancellation is off, were sent when the connection was established.
    let run = |cancellation: bool, max_batch: u32| {
        let nodes = [UnreachableNode::new(), UnreachableNode::new()];
        let addresses = [nodes[0].address(), nodes[1].address()];
        let agent = ControlledDiscovery::new();
        let site = Deployment { cancellation, max_batch, ..Deployment::ALL_EFFECTS };
        let (edge, _watch) =
            site.start_controlled(&format!("left-{cancellation}-{max_batch}"), &agent, &addresses);
        let trailing_bytes = [
            String::new(),
            "POST /api HTT".to_owned(),
            query_request("next", "look", &[0], ""),
            "x".repeat(300_000),
        ];
        let classes = ["look", "once", "some"];
        let mut clients = Vec::new();
        for (n, (class, trailing_bytes)) in
            classes.iter().flat_map(|c| trailing_bytes.iter().map(move |b| (c, b))).enumerate()
        {
            let mut client =
                send_request(&edge, &query_request(&format!("left{n}"), class, &[0, 1, 2, 3, 4, 5], ""));
            // The process reads only part of it; the rest is not waited for.
            client.set_nonblocking(true).expect("set");
            let _ = client.write(trailing_bytes.as_bytes());
            clients.push(client);
        }
        let cases = clients.len();
        edge.wait_for_counter("queries_accepted", cases as u64);
        edge.wait_for_counter("attempts_dispatched", 2);
        drop(clients);
        edge.wait_for_counter("queries_abandoned", cases as u64);
        let recordings = nodes.map(RecordingNode::start);
        assert_eq!(query(&edge, "stays", "look", &[0, 1, 2, 3, 4, 5]).status, 200);
        drop(edge);
        let received: Vec<String> =
            recordings.into_iter().flat_map(RecordingNode::wait_until_closed).collect();
        assert!(received.iter().any(|id| id.starts_with("stays.")), "{received:?}");
        let late = received.iter().filter(|id| !id.starts_with("stays.")).count();
        (cases, late)
    };
    let all: Vec<_> = [(true, 1), (true, 4), (false, 1), (false, 4)]
        .map(|(cancellation, max_batch)| std::thread::spawn(move || run(cancellation, max_batch)))
        .into_iter()
        .map(|t| t.join().expect("it ends"))
        .collect();
    println!("cases and late sends: {all:?}");
    assert!(all.iter().all(|(cases, late)| (*cases, *late) == (12, 0)), "{all:?}");
}

#[test]
fn a_part_that_waits_for_a_retry_is_not_sent_again_after_its_client_disconnects() {
    let agent = ControlledDiscovery::new();
    let nodes = [0, 1].map(|_| bind_loopback());
    let addresses = nodes.each_ref().map(|n| n.local_addr().expect("bound"));
    let (edge, mut watch) = Deployment::ALL_EFFECTS.start_controlled("left-retry", &agent, &addresses);
    let client = send_request(&edge, &query_request("left", "look", &[0], ""));
    // The node that receives it keeps it until no node accepts parts.
    let (sender, attempts) = channel();
    let served = nodes.map(|listener| {
        let sender = sender.clone();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            sender
                .send((read_part_ids(&mut stream).expect("a part"), stream.try_clone().expect("a handle")))
                .expect("written");
            serve_parts(stream, |_| panic!("nothing more is on this one"))
        })
    });
    let (ids, mut stream) = attempts.recv().expect("an attempt");
    let draining: Vec<_> = addresses.iter().enumerate().map(|(n, a)| terminating(n, *a)).collect();
    watch.send(&endpoint_list(2, false, &draining));
    edge.wait_for_counter("endpoint_updates", 3);
    write_answer(&mut stream, &format!("{} skipped 0 -\n", ids[0])).expect("written");
    edge.wait_for_counter("attempts_rejected", 1);
    drop(client);
    edge.wait_for_counter("queries_abandoned", 1);
    watch.send(&endpoint_list(3, false, &all_in_service(&addresses)));
    edge.wait_for_counter("endpoint_updates", 4);
    // The nodes accept parts again: only that of another client is sent.
    let other = send_request(&edge, &query_request("stays", "look", &[0], ""));
    let (ids, mut stream) = attempts.recv().expect("an attempt");
    assert_eq!(ids, ["stays.0"]);
    write_answer(&mut stream, "stays.0 served 1 -\ncell").expect("written");
    drop(stream);
    let mut first = String::new();
    BufReader::new(other).read_line(&mut first).expect("an answer");
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    edge.wait_for_counter("attempts_dispatched", 2);
    drop(edge);
    drop(served);
}

#[test]
fn a_part_that_waits_for_a_connection_is_not_sent_to_a_node_that_starts_draining() {
    for max_batch in [1, 4] {
        let nodes = [UnreachableNode::new(), UnreachableNode::new()];
        let addresses = [nodes[0].address(), nodes[1].address()];
        let agent = ControlledDiscovery::new();
        let site = Deployment { max_batch, ..Deployment::ALL_EFFECTS };
        let (edge, mut watch) = site.start_controlled(&format!("drain-dial-{max_batch}"), &agent, &addresses);
        let clients = send_non_idempotent_queries(&edge);
        edge.wait_for_counter("dials", 2);
        edge.wait_for_counter("queries_accepted", 4);
        watch.send(&endpoint_list(2, false, &[terminating(0, addresses[0])]));
        edge.wait_for_counter("endpoint_updates", 3);
        edge.wait_for_counter("attempts_not_sent", 1);
        let recordings = nodes.map(RecordingNode::start);
        for client in clients {
            assert!(read_until_close(client).starts_with("HTTP/1.1 200"), "the other node serves it");
        }
        drop(edge);
        let received = recordings.map(RecordingNode::wait_until_closed);
        assert_eq!((received[0].len(), received[1].len()), (0, 16), "{received:?}");
    }
}

#[test]
fn a_silent_or_reset_watch_is_reopened_and_its_missed_events_are_applied() {
    let (nodes, addresses) = two_serving_nodes();
    for silent in [true, false] {
        let agent = ControlledDiscovery::new();
        let (edge, first) =
            Deployment::ALL_EFFECTS.start_controlled(&format!("watch-{silent}"), &agent, &addresses);
        let started_at = std::time::Instant::now();
        let silent_watch = if silent {
            Some(first)
        } else {
            first.reset();
            None
        };
        // The change is made while no watch is open; the next one sends it, as indented JSON.
        let event =
            serde_json::to_string_pretty(&endpoint_list_json(2, false, &[terminating(0, addresses[0])]))
                .expect("a list");
        let second = agent.answer_watch(&event);
        let elapsed_ms = started_at.elapsed().as_millis();
        assert!(
            elapsed_ms < if silent { 5_000 } else { 1_000 },
            "{elapsed_ms} ms: its events count as received after 6 s"
        );
        assert!(second.request.contains("since=1"), "{}", second.request);
        edge.wait_for_counter("endpoint_updates", 3);
        let received_before = nodes[0].received_parts().len();
        assert_draining(&edge, &nodes[0], &[0, 1, 2, 3], received_before);
        drop(silent_watch);
    }
}

#[test]
fn a_silent_discovery_agent_is_polled_again_and_its_recovery_is_noticed() {
    let (nodes, addresses) = two_serving_nodes();
    let agent = ControlledDiscovery::new();
    let edge = Deployment::ALL_EFFECTS.start_with_discovery("agent", agent.address(), &addresses);
    let started_at = std::time::Instant::now();
    // Down: polls are not answered, then or later.
    let unanswered = [agent.accept_watch(), agent.accept_watch()];
    assert!(started_at.elapsed().as_millis() < 2_500, "an event after its recovery applies at once");
    let _back = agent.answer_watch(&endpoint_list(
        5,
        true,
        &[terminating(0, addresses[0]), in_service(1, addresses[1])],
    ));
    edge.wait_for_counter("endpoint_updates", 2);
    assert_draining(&edge, &nodes[0], &[0, 1], 0);
    drop(unanswered);
}

#[test]
fn an_older_endpoint_list_does_not_undo_a_drain() {
    let (nodes, addresses) = two_serving_nodes();
    let agent = ControlledDiscovery::new();
    let (edge, mut watch) = Deployment::ALL_EFFECTS.start_controlled("back", &agent, &addresses);
    watch.send(&endpoint_list(7, false, &[terminating(0, addresses[0])]));
    watch.send(&endpoint_list(6, true, &all_in_service(&addresses)));
    edge.wait_for_log(
        "stale endpoint list: only its drains, removals and restarts are applied version=6 current_version=7",
    );
    edge.wait_for_counter("endpoint_updates", 4);
    assert_draining(&edge, &nodes[0], &[0, 1, 2, 3], 0);
    watch.reset();
    assert!(
        agent.accept_watch().request.contains("since=7"),
        "events since the newest version are requested"
    );
}

#[test]
fn a_new_discovery_address_applies_during_the_backoff_of_a_watch() {
    // Regression: where lists are polled the backoff is up to must-ask-in, here 600 s, and a SIGHUP took effect after it.
    let (nodes, addresses) = two_serving_nodes();
    let (old, new) = (ControlledDiscovery::new(), ControlledDiscovery::new());
    let edge = Deployment { push_discovery: false, ..Deployment::ALL_EFFECTS }.start_with_discovery(
        "moved",
        old.address(),
        &addresses,
    );
    old.accept_watch().reset();
    edge.wait_for_log("discovery watch failed");
    edge.write_configuration(&edge.configuration_with("/discovery", json!(new.address().to_string())));
    edge.signal("HUP");
    let _watch = new.answer_watch(&endpoint_list(2, false, &[terminating(0, addresses[0])]));
    old.listener.set_nonblocking(true).expect("set");
    assert!(old.listener.accept().is_err(), "the old address was not polled again");
    edge.wait_for_counter("endpoint_updates", 2);
    assert_draining(&edge, &nodes[0], &[0, 1], 0);
}

#[test]
fn a_part_whose_frame_is_partly_written_is_not_sent_again() {
    // The nodes read nothing, so a long frame is partly written until its timeout. Regression: it was reported as not sent,
    // so its query was rejected or it was retried on the other node, while the rest of it was written and ran.
    use rustix::net::sockopt::set_socket_recv_buffer_size;
    let nodes = [0, 1].map(|_| bind_loopback());
    nodes.iter().for_each(|n| set_socket_recv_buffer_size(n, 2_048).expect("set"));
    let addresses = nodes.each_ref().map(|n| n.local_addr().expect("bound"));
    let agent = ControlledDiscovery::new();
    let (edge, _watch) = Deployment { latency_objective_ms: 400, ..Deployment::ALL_EFFECTS }
        .start_controlled("begun", &agent, &addresses);
    let body =
        json!({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x".repeat(60_000)}).to_string();
    let head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: long\r\nX-Qos: once\r\nX-Expires-In: 0.8\r\nConnection: close";
    let answer = edge.send_request(&format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    edge.wait_for_counter("attempts_dispatched", 1);
    assert_eq!(answer.status, 504, "it may run: {answer:?}");
    let mut runs = 0;
    for listener in nodes {
        listener.set_nonblocking(true).expect("set");
        while let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("set");
            // Read up to the frame that follows it, the cancellation.
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
    let (edge, _watch) = Deployment { latency_objective_ms: 8_000, ..Deployment::ALL_EFFECTS }
        .start_controlled("late", &agent, &addresses);
    let client = send_request(&edge, &query_request("late", "look", &[0], "Connection: close\r\n"));
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
    let both = [attempts.recv().expect("a frame"), attempts.recv().expect("a frame")];
    let mut other = both.into_iter().find(|frame| frame.kind == CALL).expect("the next attempt");
    assert_ne!(other.node, first.node);
    write_answer(&mut first.stream, "late.0 broke 0 -\n").expect("written");
    edge.wait_for_counter("attempts_cancelled", 1);
    write_answer(&mut other.stream, "late.0 served 1 -\ncell").expect("written");
    assert!(read_until_close(client).starts_with("HTTP/1.1 200"));
    drop(edge);
    drop(sender);
    assert!(attempts.try_iter().all(|frame| frame.kind != CALL), "two attempts, no third");
}

#[test]
fn a_connection_established_after_its_dial_timed_out_carries_no_parts() {
    let (unreachable, healthy) = (UnreachableNode::new(), DataNode::serving());
    let agent = ControlledDiscovery::new();
    let site = Deployment { connect_timeout_ms: Some(150), ..Deployment::ALL_EFFECTS };
    let (edge, _watch) =
        site.start_controlled("late-dial", &agent, &[unreachable.address(), healthy.address]);
    let clients = send_non_idempotent_queries(&edge);
    for client in clients {
        assert!(read_until_close(client).starts_with("HTTP/1.1 200"), "not sent there, so it may be retried");
    }
    edge.wait_for_counter("dials_failed", 1);
    let recording = RecordingNode::start(unreachable);
    drop(edge);
    assert_eq!(recording.wait_until_closed(), Vec::<String>::new());
    let mut received = healthy.received_parts();
    received.sort();
    received.dedup();
    assert_eq!(received.len(), 16, "each part once");
    assert_eq!(healthy.received_parts().len(), 16);
}

#[test]
fn a_retry_whose_connection_is_established_after_the_retry_window_is_not_sent() {
    // Regression: the retry window was checked at dispatch only; a retry whose connection was established later was sent.
    let (listener, unreachable) = (bind_loopback(), UnreachableNode::new());
    let addresses = [listener.local_addr().expect("bound"), unreachable.address()];
    let agent = ControlledDiscovery::new();
    let (edge, mut watch) = Deployment::ALL_EFFECTS.start_controlled("window", &agent, &addresses);
    watch.send(&endpoint_list(2, false, &[terminating(1, addresses[1])]));
    edge.wait_for_counter("endpoint_updates", 3);
    let client = send_request(&edge, &query_request("key", "key", &[0], "Connection: close\r\n"));
    let (mut first, _) = listener.accept().expect("a connection");
    assert_eq!(read_part_ids(&mut first).expect("the first attempt"), ["key.0"]);
    watch.send(&endpoint_list(3, false, &[terminating(0, addresses[0]), in_service(1, addresses[1])]));
    edge.wait_for_counter("endpoint_updates", 4);
    // It may have run; within its window it may be retried, on the node that accepts no connection.
    drop(first);
    edge.wait_for_counter("attempts_dispatched", 2);
    edge.wait_for_counter("attempts_connect_failed", 1);
    let recording = RecordingNode::start(unreachable);
    drop(client);
    edge.wait_for_counter("queries_abandoned", 1);
    drop(edge);
    assert_eq!(recording.wait_until_closed(), Vec::<String>::new());
}

#[test]
fn requests_of_clients_that_disconnect_before_they_are_read_are_not_forwarded() {
    // When the process continues they are in the backlog, with their request and their close.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let agent = ControlledDiscovery::new();
    let (edge, _watch) =
        Deployment::ALL_EFFECTS.start_controlled("unread", &agent, &nodes.each_ref().map(|n| n.address));
    edge.signal("STOP");
    for n in 0..20 {
        drop(send_request(
            &edge,
            &query_request(&format!("left{n}"), ["look", "once", "some", "key"][n % 4], &[0, 1], ""),
        ));
    }
    let stays = send_request(&edge, &query_request("stays", "look", &[0, 1], "Connection: close\r\n"));
    edge.signal("CONT");
    assert!(read_until_close(stays).starts_with("HTTP/1.1 200"));
    edge.wait_for_counter("queries_abandoned", 20);
    let mut received: Vec<_> = nodes.iter().flat_map(DataNode::received_parts).collect();
    received.sort();
    assert_eq!(received, ["stays.0", "stays.1"]);
}

#[test]
fn frames_cut_off_before_their_last_byte_are_retried_on_the_other_node() {
    // More than the socket buffers hold for a node that reads nothing: at its reset one frame is partly written and others
    // wait behind it. These never ran, so they are retried whatever their class; fully written ones may have run and are not.
    use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size};
    const QUERIES: usize = 90;
    let (stalled, healthy) = (bind_loopback(), UnreachableNode::new());
    set_socket_recv_buffer_size(&stalled, 2_048).expect("set");
    let addresses = [stalled.local_addr().expect("bound"), healthy.address()];
    let agent = ControlledDiscovery::new();
    let (edge, mut watch) = Deployment::ALL_EFFECTS.start_controlled("half-frames", &agent, &addresses);
    watch.send(&endpoint_list(2, false, &[terminating(1, addresses[1])]));
    edge.wait_for_counter("endpoint_updates", 3);
    let body =
        json!({"tablets": [{"tablet": 0, "fraction": 1}], "statement": "x".repeat(60_000)}).to_string();
    let clients: Vec<_> = (0..QUERIES)
        .map(|n| {
            let head = format!(
                "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q{n}\r\nX-Qos: once\r\nX-Expires-In: 30"
            );
            let length = body.len();
            send_request(
                &edge,
                &format!("{head}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"),
            )
        })
        .collect();
    edge.wait_for_counter("attempts_dispatched", QUERIES as u64);
    edge.wait_for_counter("attempts_fully_written", 1);
    watch.send(&endpoint_list(3, false, &[in_service(1, addresses[1])]));
    edge.wait_for_counter("endpoint_updates", 4);
    let recording = RecordingNode::start(healthy);
    stalled.set_nonblocking(true).expect("set");
    while let Ok((stream, _)) = stalled.accept() {
        set_socket_linger(&stream, Some(std::time::Duration::ZERO)).expect("set");
    }
    let answers: Vec<String> = clients.into_iter().map(read_until_close).collect();
    drop(edge);
    let mut retried = recording.wait_until_closed();
    retried.sort();
    let mut served: Vec<_> = (0..QUERIES).filter(|n| answers[*n].starts_with("HTTP/1.1 200")).collect();
    served.sort_by_key(|n| format!("q{n}.0"));
    assert_eq!(retried, served.iter().map(|n| format!("q{n}.0")).collect::<Vec<_>>(), "each once");
    assert!((1..QUERIES).contains(&served.len()), "{} of {QUERIES}", served.len());
    assert!(answers.iter().all(|a| a.starts_with("HTTP/1.1 200") || a.starts_with("HTTP/1.1 502")));
}

#[test]
fn an_answer_after_its_query_completed_is_dropped_and_its_part_not_retried() {
    let agent = ControlledDiscovery::new();
    let (healthy, listener) = (DataNode::serving(), bind_loopback());
    let addresses = [healthy.address, listener.local_addr().expect("bound")];
    // Two shards, one on each node: the other holder is draining, so that the late part cannot be retried elsewhere.
    let (edge, mut watch) = Deployment { latency_objective_ms: 600, ..Deployment::ALL_EFFECTS }
        .start_controlled("after", &agent, &addresses);
    watch.send(&endpoint_list(2, false, &[terminating(0, addresses[0])]));
    edge.wait_for_counter("endpoint_updates", 3);
    let client = send_request(&edge, &query_request("q", "some", &[0, 1], "Connection: close\r\n"));
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut ids = read_part_ids(&mut stream).expect("a part");
    if ids.len() < 2 {
        ids.extend(read_part_ids(&mut stream).expect("the other"));
    }
    write_answer(&mut stream, &format!("{} served 1 -\ncell", ids[0])).expect("written");
    let text = read_until_close(client);
    assert!(text.starts_with("HTTP/1.1 200") && text.contains("\"full\":false"), "{text}");
    // The late answer, then a query on the same connection.
    write_answer(&mut stream, &format!("{} served 1 -\ncell", ids[1])).expect("written");
    let next = send_request(&edge, &query_request("next", "look", &[1], "Connection: close\r\n"));
    assert_eq!(read_part_ids(&mut stream).expect("on the connection that is open"), ["next.1"]);
    write_answer(&mut stream, "next.1 served 1 -\ncell").expect("written");
    assert!(read_until_close(next).starts_with("HTTP/1.1 200"));
    edge.wait_for_counter("attempts_dispatched", 3);
}

#[test]
fn an_idle_server_connection_is_closed_before_its_node_may_close_it() {
    let (nodes, addresses) = two_serving_nodes();
    let agent = ControlledDiscovery::new();
    let site = Deployment { idle_timeout_ms: Some(600), ..Deployment::ALL_EFFECTS };
    let (edge, _watch) = site.start_controlled("idle", &agent, &addresses);
    assert_eq!(query(&edge, "q0", "once", &[0]).status, 200);
    edge.wait_for_counter("server_connections_idle_closed", 1);
    assert_eq!(query(&edge, "q1", "once", &[0]).status, 200);
    let open: usize = nodes.iter().map(DataNode::connections).sum();
    assert_eq!((open, nodes.iter().map(|n| n.received_parts().len()).sum::<usize>()), (2, 2));
}
