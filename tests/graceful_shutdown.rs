//! Graceful shutdown on real sockets, and events that race with it; see also `tests/races/`.

mod standin;

use serde_json::json;
use standin::admin_endpoint::call_admin_endpoint;
use standin::client::{
    query, read_response, read_until_close, send_request, Class, QueryRequest, ResponseHead, Shards,
};
use standin::data_node::{DataNode, UnreachableNode};
use standin::deployment::Deployment;
use standin::discovery::{all_in_service, complete_list, serve_constant_list, ControlledDiscovery};
use standin::frames::{read_part_ids, write_answer};
use standin::http::bind_loopback;
use standin::process::Process;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;

#[test]
fn connections_in_the_backlog_at_sigterm_are_answered() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let discovery = ControlledDiscovery::new();
    let deployment = Deployment {
        latency_objective_ms: 500,
        ..Deployment::ALL_EFFECTS
    };
    let (mut process, _watch) =
        deployment.start_controlled("queue", &discovery, &nodes.each_ref().map(|n| n.address));
    let mut persistent = send_request(&process, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(
        persistent
            .read(&mut [0; 512])
            .expect("a response is received")
            > 0
    );

    // The process is stopped, so that the kernel has all of these bytes and the signal when it
    // continues.
    process.stop();
    let last_request = QueryRequest::new("kept", Class("look"), Shards(&[0])).close_connection();
    persistent
        .write_all(last_request.to_http().as_bytes())
        .expect("the bytes are written");
    let send_query = |number| {
        let id = format!("q{number}");
        let request = QueryRequest::new(&id, Class("once"), Shards(&[0, 1])).close_connection();
        send_request(&process, &request.to_http())
    };
    let queued: Vec<_> = (0..5).map(send_query).collect();
    let mut half_request = send_request(&process, "GET /up HTTP/1.1\r\nHo");
    process.signal("TERM");
    process.signal("CONT");
    process.wait_for_log("graceful shutdown started");
    half_request
        .write_all(b"st: x\r\nConnection: close\r\n\r\n")
        .expect("the bytes are written");
    let readiness = read_until_close(half_request);
    assert!(readiness.starts_with("HTTP/1.1 503"), "{readiness}");
    for client in queued.into_iter().chain([persistent]) {
        assert!(read_until_close(client).starts_with("HTTP/1.1 200"));
    }
    assert!(process.wait_for_exit(), "the process exits without a kill");
}

/// Sends four queries of each of three classes, each on its own connection.
fn send_pending_queries(process: &Process) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for class in ["look", "once", "some"] {
        for number in 0..4 {
            let id = format!("{class}{number}");
            let request =
                QueryRequest::new(&id, Class(class), Shards(&[0, 1, 2, 3])).close_connection();
            clients.push(send_request(process, &request.to_http()));
        }
    }
    clients
}

/// The number of connections that the process closes, by `Connection: close`, before
/// [`count_responses_until_closed`] stops.
const CLOSED_CONNECTIONS: usize = 4;

/// Sends queries with a short timeout on one connection after the other, on each until it is
/// closed. Asserts that they fail, and returns the number of their responses.
fn count_responses_until_closed(process: &Process) -> usize {
    let mut responses = 0;
    let mut closed = 0;
    let mut queries = 0;
    while closed < CLOSED_CONNECTIONS {
        let mut client = BufReader::new(send_request(process, ""));
        loop {
            queries += 1;
            let id = format!("n{queries}");
            let next = QueryRequest::new(&id, Class("once"), Shards(&[4]))
                .timeout_seconds(0.05)
                .to_http();
            if client.get_mut().write_all(next.as_bytes()).is_err() {
                break;
            }
            let Some(ResponseHead {
                status,
                closes_connection,
            }) = read_response(&mut client)
            else {
                assert!(
                    closed == 0,
                    "a connection accepted after the first Connection: close is answered"
                );
                break;
            };
            responses += 1;
            assert!(status / 100 == 5, "{status}");
            if closes_connection {
                closed += 1;
                break;
            }
        }
    }
    responses
}

#[test]
fn after_sigterm_all_requests_are_answered_and_the_process_exits_although_nodes_hang() {
    // One node hangs, the other cannot be connected to; the clients' timeouts are longer than the
    // 3.7 s until the kill.
    let hanging = DataNode::hanging();
    let unreachable = UnreachableNode::new();
    let discovery = ControlledDiscovery::new();
    let (mut process, _watch) = Deployment::ALL_EFFECTS.start_controlled(
        "hung",
        &discovery,
        &[hanging.address, unreachable.address()],
    );
    let pending = send_pending_queries(&process);
    process.wait_for_counter("queries_accepted", 12);

    let started_at = std::time::Instant::now();
    process.signal("TERM");
    process.wait_for_log("graceful shutdown started");
    let responses = count_responses_until_closed(&process);

    assert!(responses > 4, "{responses}");
    for client in pending {
        let text = read_until_close(client);
        assert!(text.starts_with("HTTP/1.1 50"), "{text}");
    }
    assert!(process.wait_for_exit(), "the process exits without a kill");
    assert!(
        started_at.elapsed().as_millis() < 5_500,
        "{:?}",
        started_at.elapsed()
    );
}

/// Sends SIGHUP with settings in which the first class has a deadline of 8 s.
fn reload_with_longer_deadline(process: &Process) {
    let deadline = json!(8_000_000_000_u64);
    let settings = process.configuration_with("/settings/classes/0/deadline", deadline);
    process.write_configuration(&settings);
    process.signal("HUP");
}

#[test]
fn an_answered_client_that_never_closes_does_not_delay_the_exit_until_the_kill() {
    let hanging = DataNode::hanging();
    let other = DataNode::hanging();
    let discovery = ControlledDiscovery::new();
    let deployment = Deployment {
        latency_objective_ms: 500,
        ..Deployment::ALL_EFFECTS
    };
    let (mut process, _watch) = deployment.start_controlled(
        "never-closes",
        &discovery,
        &[hanging.address, other.address],
    );
    let request = QueryRequest::new("q", Class("once"), Shards(&[0])).to_http();
    let mut client = BufReader::new(send_request(&process, &request));
    process.wait_for_counter("queries_accepted", 1);
    // Settings that are reloaded after the signal do not change the time of the kill, which is 1.7 s
    // after the signal.
    process.signal("TERM");
    process.wait_for_log("graceful shutdown started");
    reload_with_longer_deadline(&process);
    let timed_out = ResponseHead {
        status: 504,
        closes_connection: false,
    };
    assert_eq!(read_response(&mut client), Some(timed_out));
    let read = client
        .read(&mut [0])
        .expect("the connection is closed without a reset");
    assert_eq!(
        read, 0,
        "the connection is closed shortly before the last response"
    );
    let last_request = QueryRequest::new("last", Class("once"), Shards(&[1])).to_http();
    let mut last = BufReader::new(send_request(&process, &last_request));
    let answer = read_response(&mut last).expect("a response is received and no reset");
    // Measured from here and not from the signal, since the machine may be busy.
    let started_at = std::time::Instant::now();
    assert!(
        answer.status / 100 == 5 && answer.closes_connection,
        "{answer:?}"
    );
    assert!(process.wait_for_exit(), "the process exits without a kill");
    assert!(
        started_at.elapsed().as_millis() < 900,
        "{:?}: the kept connection delayed the exit by 1 s or more",
        started_at.elapsed()
    );
}

#[test]
fn a_retry_that_becomes_due_after_sigterm_is_sent() {
    let discovery = ControlledDiscovery::new();
    let nodes = [0, 1].map(|_| bind_loopback());
    let addresses = nodes
        .each_ref()
        .map(|n| n.local_addr().expect("the listener is bound"));
    let (mut process, _watch) =
        Deployment::ALL_EFFECTS.start_controlled("retry-end", &discovery, &addresses);
    let client = send_request(
        &process,
        &QueryRequest::new("q", Class("once"), Shards(&[0])).to_http(),
    );
    let (sender, attempts) = channel();
    for listener in nodes {
        let sender = sender.clone();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection is accepted");
            let part_ids = read_part_ids(&mut stream).expect("a part is received");
            sender
                .send((part_ids, stream))
                .expect("the test receives the attempt");
        });
    }
    let (part_ids, mut first) = attempts.recv().expect("the first attempt is received");
    process.signal("TERM");
    process.wait_for_log("graceful shutdown started");
    write_answer(&mut first, &format!("{} skipped 0 -\n", part_ids[0]))
        .expect("the bytes are written");
    let (part_ids, mut second) = attempts.recv().expect("the retry is received");
    write_answer(&mut second, &format!("{} served 1 -\ncell", part_ids[0]))
        .expect("the bytes are written");
    assert!(read_until_close(client).starts_with("HTTP/1.1 200"));
    assert!(process.wait_for_exit(), "the process exits without a kill");
}

#[test]
fn a_response_that_closes_its_connection_is_followed_by_no_reset() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let discovery = ControlledDiscovery::new();
    let (process, _watch) = Deployment::ALL_EFFECTS.start_controlled(
        "linger-end",
        &discovery,
        &nodes.each_ref().map(|n| n.address),
    );
    let mut client = send_request(
        &process,
        &QueryRequest::new("q", Class("look"), Shards(&[0]))
            .close_connection()
            .to_http(),
    );
    let mut text = String::new();
    client
        .read_to_string(&mut text)
        .expect("the response is read to its end");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    // If the process closed its socket, bytes in transit would cause a reset, which could overtake
    // the response.
    for _ in 0..50 {
        client
            .write_all(&[b'x'; 1_000])
            .expect("the connection is not reset");
    }
}

#[test]
fn after_a_successor_is_killed_its_draining_predecessor_accepts_connections_again() {
    // The predecessor accepts the connections in the backlog of the killed successor, which would
    // otherwise be reset when the predecessor exits.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = nodes.each_ref().map(|n| n.address);
    let discovery = serve_constant_list(complete_list(1, &all_in_service(&addresses)));
    let first =
        Deployment::ALL_EFFECTS.start_with_discovery("killed-successor", discovery, &addresses);
    let temporary = std::env::temp_dir().join(format!("quinceflow-off-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("the directory is created");
    let mut predecessor = first.start_successor(&temporary);
    predecessor.wait_until_ready();
    // An open connection keeps the predecessor from exiting at SIGTERM.
    let mut persistent = send_request(&predecessor, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(
        persistent
            .read(&mut [0; 512])
            .expect("a response is received")
            > 0
    );
    let successor = predecessor.start_successor(&temporary);
    while call_admin_endpoint(successor.admin_address(), "HEALTH\n") != "YES\n" {}
    let predecessor_admin = predecessor.admin_address();
    predecessor.signal("TERM");
    while call_admin_endpoint(predecessor_admin, "HEALTH\n") != "NO it is told to end\n" {}
    drop(successor);
    for n in 0..5 {
        assert_eq!(
            query(
                &predecessor,
                &format!("q{n}"),
                Class("look"),
                Shards(&[0, 1])
            )
            .status,
            200
        );
    }
    drop(persistent);
    assert!(
        predecessor.wait_for_exit(),
        "the process exits without a kill"
    );
    let _ = std::fs::remove_dir_all(&temporary);
}

/// Guards against an exit after the earliest time of the kill. A request of which only some bytes
/// have arrived by then may be lost, and must not delay the exit.
#[test]
fn a_request_that_arrives_slowly_does_not_delay_the_exit_past_the_kill() {
    let node = DataNode::serving();
    let discovery = ControlledDiscovery::new();
    let deployment = Deployment {
        latency_objective_ms: 500,
        ..Deployment::ALL_EFFECTS
    };
    let (mut process, _watch) =
        deployment.start_controlled("trickles", &discovery, &[node.address]);
    let request = QueryRequest::new("q", Class("look"), Shards(&[0])).to_http();
    process.signal("TERM");
    let signalled_at = std::time::Instant::now();
    // The longest deadline is 1 s: the kill comes 1.7 s after the signal, idle connections are
    // closed from 1.2 s on.
    std::thread::sleep(std::time::Duration::from_millis(1_000));
    let mut client = send_request(&process, &request[..10]);
    let rest = request.as_bytes()[10..40].to_vec();
    let slow_sender = std::thread::spawn(move || {
        for byte in rest {
            std::thread::sleep(std::time::Duration::from_millis(50));
            if client.write_all(&[byte]).is_err() {
                return;
            }
        }
    });
    assert!(process.wait_for_exit());
    let took = signalled_at.elapsed();
    slow_sender.join().expect("the thread does not panic");
    // Waiting for the request would delay the exit until 2.5 s after the signal. The soak compares
    // exits with the time of the kill itself, with an allowance for a busy machine.
    assert!(took.as_millis() < 2_200, "{took:?}");
}
