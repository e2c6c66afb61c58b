//! Clients that disconnect while their query waits: nothing of it is sent afterwards.

use crate::standin::client::{query, read_until_close, send_request, QueryRequest};
use crate::standin::data_node::{DataNode, RecordingNode, UnreachableNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{all_in_service, endpoint_list, terminating, ControlledDiscovery};
use crate::standin::frames::{read_part_ids, serve_parts, write_answer};
use crate::standin::http::bind_loopback;
use std::io::{BufRead, BufReader, Write};
use std::sync::mpsc::channel;

#[test]
fn parts_that_wait_for_a_connection_are_not_sent_after_their_client_disconnects() {
    // Counted at the nodes: parts that arrive after their client has disconnected, in batches or
    // alone, with cancellation and without.
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
            QueryRequest::new("next", "look", &[0]).to_http(),
            "x".repeat(300_000),
        ];
        let classes = ["look", "once", "some"];
        let mut clients = Vec::new();
        for (n, (class, trailing_bytes)) in
            classes.iter().flat_map(|c| trailing_bytes.iter().map(move |b| (c, b))).enumerate()
        {
            let mut client = send_request(
                &edge,
                &QueryRequest::new(&format!("left{n}"), class, &[0, 1, 2, 3, 4, 5]).to_http(),
            );
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
    let client = send_request(&edge, &QueryRequest::new("left", "look", &[0]).to_http());
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
    let other = send_request(&edge, &QueryRequest::new("stays", "look", &[0]).to_http());
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
            &QueryRequest::new(&format!("left{n}"), ["look", "once", "some", "key"][n % 4], &[0, 1])
                .to_http(),
        ));
    }
    let stays =
        send_request(&edge, &QueryRequest::new("stays", "look", &[0, 1]).close_connection().to_http());
    edge.signal("CONT");
    assert!(read_until_close(stays).starts_with("HTTP/1.1 200"));
    edge.wait_for_counter("queries_abandoned", 20);
    let mut received: Vec<_> = nodes.iter().flat_map(DataNode::received_parts).collect();
    received.sort();
    assert_eq!(received, ["stays.0", "stays.1"]);
}
