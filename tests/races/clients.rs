//! Clients that disconnect while their query is pending: no part of it is sent afterwards.

use crate::standin::client::{
    query, read_until_close, send_request, send_trailing_bytes_and_disconnect, Class, QueryRequest,
    Shards,
};
use crate::standin::data_node::{DataNode, RecordingNode, UnreachableNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{
    all_in_service, changed_endpoints, terminating, ControlledDiscovery,
};
use crate::standin::frame_recorder::FrameRecorder;
use crate::standin::frames::write_answer;
use crate::standin::http::bind_loopback;
use crate::standin::process::Process;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

/// The shards of each query in [`count_late_parts`].
const ALL_SHARDS: [u32; 6] = [0, 1, 2, 3, 4, 5];

/// The result of a run in which clients disconnect before any connection to a node is established.
#[derive(Debug, PartialEq)]
struct DisconnectRun {
    clients: usize,
    /// The parts that arrived at a node after their client had disconnected.
    late_parts: usize,
}

/// Sends queries, one for each class and each kind of bytes that can follow a request.
fn send_queries_with_trailing_bytes(process: &Process) -> Vec<TcpStream> {
    let trailing_bytes = [
        String::new(),
        "POST /api HTT".to_owned(),
        QueryRequest::new("next", Class("look"), Shards(&[0])).to_http(),
        "x".repeat(300_000),
    ];
    let mut clients = Vec::new();
    for class in ["look", "once", "some"] {
        for bytes in &trailing_bytes {
            let id = format!("left{}", clients.len());
            let request = QueryRequest::new(&id, Class(class), Shards(&ALL_SHARDS)).to_http();
            let mut client = send_request(process, &request);
            // The process reads only some of the bytes, so a blocking write would not return.
            client
                .set_nonblocking(true)
                .expect("the blocking mode is set");
            let _ = client.write(bytes.as_bytes());
            clients.push(client);
        }
    }
    clients
}

/// Disconnects clients while their parts wait for a connection, then makes the nodes reachable and
/// counts the parts of these clients that arrive.
fn count_late_parts(cancellation: bool, max_batch: u32) -> DisconnectRun {
    let nodes = [UnreachableNode::new(), UnreachableNode::new()];
    let addresses = [nodes[0].address(), nodes[1].address()];
    let discovery = ControlledDiscovery::new();
    let deployment = Deployment {
        cancellation,
        max_batch,
        ..Deployment::ALL_EFFECTS
    };
    let test = format!("left-{cancellation}-{max_batch}");
    let (process, _watch) = deployment.start_controlled(&test, &discovery, &addresses);

    let clients = send_queries_with_trailing_bytes(&process);
    let count = clients.len();
    process.wait_for_counter("queries_accepted", count as u64);
    process.wait_for_counter("attempts_dispatched", 2);
    drop(clients);
    process.wait_for_counter("queries_abandoned", count as u64);

    let recordings = nodes.map(RecordingNode::start);
    let served = query(&process, "stays", Class("look"), Shards(&ALL_SHARDS));
    assert_eq!(served.status, 200);
    drop(process);
    let received: Vec<String> = recordings
        .into_iter()
        .flat_map(RecordingNode::wait_until_closed)
        .collect();
    let is_late = |id: &&String| !id.starts_with("stays.");
    let late_parts = received.iter().filter(is_late).count();
    assert!(late_parts < received.len(), "{received:?}");
    DisconnectRun {
        clients: count,
        late_parts,
    }
}

#[test]
fn parts_that_wait_for_a_connection_are_not_sent_after_their_client_disconnects() {
    // The nodes count the parts that arrive after their client has disconnected, with and without
    // cancellation, and with up to one or four parts in a batch.
    let runs: Vec<DisconnectRun> = [(true, 1), (true, 4), (false, 1), (false, 4)]
        .map(|(cancellation, max_batch)| {
            std::thread::spawn(move || count_late_parts(cancellation, max_batch))
        })
        .into_iter()
        .map(|thread| thread.join().expect("the thread does not panic"))
        .collect();
    println!("clients and late parts: {runs:?}");
    assert!(
        runs.iter().all(|run| *run
            == DisconnectRun {
                clients: 12,
                late_parts: 0
            }),
        "{runs:?}"
    );
}

#[test]
fn a_part_that_waits_for_a_retry_is_not_sent_again_after_its_client_disconnects() {
    let discovery = ControlledDiscovery::new();
    let nodes = [0, 1].map(|_| bind_loopback());
    let addresses = nodes
        .each_ref()
        .map(|node| node.local_addr().expect("the listener is bound"));
    let (process, mut watch) =
        Deployment::ALL_EFFECTS.start_controlled("disconnect-retry", &discovery, &addresses);
    let request = QueryRequest::new("disconnected", Class("look"), Shards(&[0]));
    let client = send_request(&process, &request.to_http());
    let recorder = FrameRecorder::start(nodes);

    // The node that receives the part rejects it once both nodes are draining, so that the retry
    // has to wait.
    let mut rejected = recorder.wait_for_call();
    let draining = [0, 1].map(|index| terminating(index, addresses[index]));
    watch.send(&changed_endpoints(2, &draining));
    process.wait_for_counter("endpoint_updates", 3);
    let rejection = format!("{} skipped 0 -\n", rejected.part_ids()[0]);
    write_answer(&mut rejected.stream, &rejection).expect("the bytes are written");
    process.wait_for_counter("attempts_rejected", 1);
    drop(client);
    process.wait_for_counter("queries_abandoned", 1);
    watch.send(&changed_endpoints(3, &all_in_service(&addresses)));
    process.wait_for_counter("endpoint_updates", 4);

    // The nodes accept parts again: only the part of the other client is sent.
    let request = QueryRequest::new("stays", Class("look"), Shards(&[0]));
    let other = send_request(&process, &request.to_http());
    let mut served = recorder.wait_for_call();
    assert_eq!(served.part_ids(), ["stays.0"]);
    assert_ne!(
        served.node, rejected.node,
        "each connection carries one call"
    );
    write_answer(&mut served.stream, "stays.0 served 1 -\ncell").expect("the bytes are written");
    let mut first = String::new();
    let mut response = BufReader::new(other);
    response
        .read_line(&mut first)
        .expect("a response is received");
    assert!(first.starts_with("HTTP/1.1 200"), "{first}");
    process.wait_for_counter("attempts_dispatched", 2);
    recorder.assert_no_further_call(process);
}

#[test]
fn requests_of_clients_that_disconnect_before_they_are_read_are_not_forwarded() {
    // The process is stopped until each of these clients has connected, sent its request and
    // disconnected: when it continues, all of that is in the backlog.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let discovery = ControlledDiscovery::new();
    let (process, _watch) = Deployment::ALL_EFFECTS.start_controlled(
        "unread",
        &discovery,
        &nodes.each_ref().map(|n| n.address),
    );
    process.stop();
    for n in 0..20 {
        drop(send_request(
            &process,
            &QueryRequest::new(
                &format!("left{n}"),
                Class(["look", "once", "some", "key"][n % 4]),
                Shards(&[0, 1]),
            )
            .to_http(),
        ));
    }
    let stays = send_request(
        &process,
        &QueryRequest::new("stays", Class("look"), Shards(&[0, 1]))
            .close_connection()
            .to_http(),
    );
    process.signal("CONT");
    assert!(read_until_close(stays).starts_with("HTTP/1.1 200"));
    process.wait_for_counter("queries_abandoned", 20);
    let mut received: Vec<_> = nodes.iter().flat_map(DataNode::received_part_ids).collect();
    received.sort();
    assert_eq!(received, ["stays.0", "stays.1"]);
}

/// Guards against work for a client that has disconnected after it sent more bytes after its request
/// than the process buffers.
#[test]
fn the_disconnect_of_a_client_with_many_unread_bytes_is_detected() {
    for bytes in [1_500_000, 3_000_000, 60_000_000] {
        // Each case has its own process, since the policy of a process that has seen both nodes hang
        // may reject the next query before it is sent.
        let nodes = [DataNode::hanging(), DataNode::hanging()];
        let discovery = ControlledDiscovery::new();
        let addresses = nodes.each_ref().map(|node| node.address);
        let test = format!("unread-bytes-{bytes}");
        let (process, _watch) =
            Deployment::ALL_EFFECTS.start_controlled(&test, &discovery, &addresses);
        let request = QueryRequest::new("left", Class("look"), Shards(&[0]));
        send_trailing_bytes_and_disconnect(send_request(&process, &request.to_http()), bytes);
        process.wait_for_counter("queries_abandoned", 1);
    }
}
