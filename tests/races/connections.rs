//! Connections that are established late, or closed when idle.

use crate::standin::client::{query, read_until_close, send_request, Class, QueryRequest, Shards};
use crate::standin::data_node::{DataNode, NodeBehaviour, RecordingNode, UnreachableNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{changed_endpoints, in_service, terminating, ControlledDiscovery};
use crate::standin::frames::read_part_ids;
use crate::standin::http::bind_loopback;
use crate::support::{send_non_idempotent_queries, two_serving_nodes};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[test]
fn a_connection_established_after_its_dial_timed_out_carries_no_parts() {
    let unreachable = UnreachableNode::new();
    let healthy = DataNode::serving();
    let discovery = ControlledDiscovery::new();
    let deployment = Deployment {
        connect_timeout_ms: Some(150),
        ..Deployment::ALL_EFFECTS
    };
    let (process, _watch) = deployment.start_controlled(
        "late-dial",
        &discovery,
        &[unreachable.address(), healthy.address],
    );
    // Each query has parts for both nodes, whichever node a shard tries first. Otherwise the first
    // query could be answered by the healthy node alone, and the others would follow it there.
    let shards: Vec<u32> = (0..8).collect();
    let clients = send_non_idempotent_queries(&process, &shards);
    for client in clients {
        assert!(
            read_until_close(client).starts_with("HTTP/1.1 200"),
            "the part was not sent, so it may be retried"
        );
    }
    process.wait_for_counter("dials_failed", 1);
    let recording = RecordingNode::start(unreachable);
    drop(process);
    assert_eq!(recording.wait_until_closed(), Vec::<String>::new());
    let mut received = healthy.received_part_ids();
    received.sort();
    received.dedup();
    assert_eq!(received.len(), 32, "each part is received once");
    assert_eq!(healthy.received_part_ids().len(), 32);
}

#[test]
fn a_retry_whose_connection_is_established_after_the_deduplication_window_is_not_sent() {
    // The deduplication window is checked when the connection is established, not only at dispatch.
    let listener = bind_loopback();
    let unreachable = UnreachableNode::new();
    let addresses = [
        listener.local_addr().expect("the listener is bound"),
        unreachable.address(),
    ];
    let discovery = ControlledDiscovery::new();
    let (process, mut watch) =
        Deployment::ALL_EFFECTS.start_controlled("window", &discovery, &addresses);
    watch.send(&changed_endpoints(2, &[terminating(1, addresses[1])]));
    process.wait_for_counter("endpoint_updates", 3);
    let client = send_request(
        &process,
        &QueryRequest::new("key", Class("key"), Shards(&[0]))
            .close_connection()
            .to_http(),
    );
    let (mut first, _) = listener.accept().expect("a connection is accepted");
    assert_eq!(
        read_part_ids(&mut first).expect("the first attempt is received"),
        ["key.0"]
    );
    watch.send(&changed_endpoints(
        3,
        &[terminating(0, addresses[0]), in_service(1, addresses[1])],
    ));
    process.wait_for_counter("endpoint_updates", 4);
    // The part may have run; within its window it may be retried, on the node that accepts no
    // connection.
    drop(first);
    process.wait_for_counter("attempts_dispatched", 2);
    process.wait_for_counter("attempts_connect_failed", 1);
    let recording = RecordingNode::start(unreachable);
    drop(client);
    process.wait_for_counter("queries_abandoned", 1);
    drop(process);
    assert_eq!(recording.wait_until_closed(), Vec::<String>::new());
}

#[test]
fn an_idle_server_connection_is_closed_before_its_node_may_close_it() {
    let (nodes, addresses) = two_serving_nodes();
    let discovery = ControlledDiscovery::new();
    let deployment = Deployment {
        idle_timeout_ms: Some(600),
        ..Deployment::ALL_EFFECTS
    };
    let (process, _watch) = deployment.start_controlled("idle", &discovery, &addresses);
    assert_eq!(
        query(&process, "q0", Class("once"), Shards(&[0])).status,
        200
    );
    process.wait_for_counter("server_connections_idle_closed", 1);
    assert_eq!(
        query(&process, "q1", Class("once"), Shards(&[0])).status,
        200
    );
    let open: usize = nodes.iter().map(DataNode::connection_count).sum();
    assert_eq!(
        (
            open,
            nodes
                .iter()
                .map(|n| n.received_part_ids().len())
                .sum::<usize>()
        ),
        (2, 2)
    );
}

/// Returns the present time since the Unix epoch, in milliseconds.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is after 1970").as_millis() as u64
}

/// Waits for longer than the tolerance of 0.5 s with which start times are compared, so that the
/// connections opened so far count as older than a start that is listed next.
fn wait_for_start_tolerance() {
    std::thread::sleep(Duration::from_millis(700));
}

/// Guards against a part that is lost, or waits until its deadline, on a connection to an
/// incarnation of the node that has ended.
#[test]
fn connections_to_an_earlier_incarnation_carry_nothing_after_a_list_with_its_restart() {
    // On the first connection the node answers the first part and no other, as after a restart.
    let first_connection_hangs = |part| match part {
        1 => NodeBehaviour::Serve,
        2 => NodeBehaviour::StopAnswering,
        _ => NodeBehaviour::Serve,
    };
    let node = DataNode::start(first_connection_hangs);
    let other = DataNode::serving();
    let discovery = ControlledDiscovery::new();
    let addresses = [node.address, other.address];
    let (process, mut watch) =
        Deployment::ALL_EFFECTS.start_controlled("restarted", &discovery, &addresses);
    watch.send(&changed_endpoints(2, &[terminating(1, other.address)]));
    process.wait_for_counter("endpoint_updates", 3);
    assert_eq!(
        query(&process, "idle", Class("once"), Shards(&[0])).status,
        200
    );
    let hung = QueryRequest::new("hung", Class("once"), Shards(&[0])).close_connection();
    let hung = send_request(&process, &hung.to_http());
    process.wait_for_counter("attempts_fully_written", 2);
    assert_eq!(node.connection_count(), 1);

    wait_for_start_tolerance();
    let restarted = in_service(0, node.address).started_at(unix_ms());
    watch.send(&changed_endpoints(3, &[restarted]));
    // The part may have run, so it is not sent again. Its client does not wait for the deadline of
    // 40 s.
    let started = Instant::now();
    assert!(read_until_close(hung).starts_with("HTTP/1.1 502"));
    assert!(started.elapsed() < Duration::from_secs(20));
    assert_eq!(node.received_part_ids(), ["idle.0", "hung.0"]);

    let next = query(&process, "next", Class("once"), Shards(&[0]));
    assert_eq!((next.status, node.connection_count()), (200, 2));
    assert_eq!(node.received_part_ids(), ["idle.0", "hung.0", "next.0"]);
}

/// Guards against a part that is sent on a connection to an earlier incarnation that is idle when
/// the list arrives: a non-idempotent part would be lost, and could not be retried.
#[test]
fn an_idle_connection_to_an_earlier_incarnation_is_not_used_again() {
    let node = DataNode::serving();
    let other = DataNode::serving();
    let discovery = ControlledDiscovery::new();
    let addresses = [node.address, other.address];
    let (process, mut watch) =
        Deployment::ALL_EFFECTS.start_controlled("restarted-idle", &discovery, &addresses);
    watch.send(&changed_endpoints(2, &[terminating(1, other.address)]));
    process.wait_for_counter("endpoint_updates", 3);
    for (revision, connections) in [(3, 2), (4, 3)] {
        assert_eq!(
            query(&process, "before", Class("once"), Shards(&[0])).status,
            200
        );
        wait_for_start_tolerance();
        let restarted = in_service(0, node.address).started_at(unix_ms());
        watch.send(&changed_endpoints(revision, &[restarted]));
        process.wait_for_counter("endpoint_updates", revision + 1);
        assert_eq!(
            query(&process, "after", Class("once"), Shards(&[0])).status,
            200
        );
        assert_eq!(node.connection_count(), connections);
        // A list that repeats the start closes no connection.
        watch.send(&changed_endpoints(revision, &[restarted]));
        assert_eq!(
            query(&process, "again", Class("once"), Shards(&[0])).status,
            200
        );
        assert_eq!(node.connection_count(), connections);
    }
}
