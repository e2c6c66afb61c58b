//! Endpoint lists and discovery watches: drains are applied whatever other event they race with.

use crate::standin::client::read_until_close;
use crate::standin::data_node::{RecordingNode, UnreachableNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{
    all_in_service, changed_endpoints, complete_list, endpoint_list_json, in_service, terminating,
    ControlledDiscovery, ListKind,
};
use crate::support::{assert_draining, send_non_idempotent_queries, two_serving_nodes};
use serde_json::json;

#[test]
fn a_part_that_waits_for_a_connection_is_not_sent_to_a_node_that_starts_draining() {
    for max_batch in [1, 4] {
        let nodes = [UnreachableNode::new(), UnreachableNode::new()];
        let addresses = [nodes[0].address(), nodes[1].address()];
        let discovery = ControlledDiscovery::new();
        let deployment = Deployment {
            max_batch,
            ..Deployment::ALL_EFFECTS
        };
        let (process, mut watch) =
            deployment.start_controlled(&format!("drain-dial-{max_batch}"), &discovery, &addresses);
        let clients = send_non_idempotent_queries(&process, &[0, 1, 2, 3]);
        process.wait_for_counter("dials", 2);
        process.wait_for_counter("queries_accepted", 4);
        watch.send(&changed_endpoints(2, &[terminating(0, addresses[0])]));
        process.wait_for_counter("endpoint_updates", 3);
        process.wait_for_counter("attempts_not_sent", 1);
        let recordings = nodes.map(RecordingNode::start);
        for client in clients {
            assert!(
                read_until_close(client).starts_with("HTTP/1.1 200"),
                "the other node serves the part"
            );
        }
        drop(process);
        let received = recordings.map(RecordingNode::wait_until_closed);
        assert_eq!(
            (received[0].len(), received[1].len()),
            (0, 16),
            "{received:?}"
        );
    }
}

#[test]
fn a_silent_or_reset_watch_is_reopened_and_its_missed_events_are_applied() {
    let (nodes, addresses) = two_serving_nodes();
    for silent in [true, false] {
        let discovery = ControlledDiscovery::new();
        let (process, first) = Deployment::ALL_EFFECTS.start_controlled(
            &format!("watch-{silent}"),
            &discovery,
            &addresses,
        );
        let started_at = std::time::Instant::now();
        let silent_watch = if silent {
            Some(first)
        } else {
            first.reset();
            None
        };
        // The change is made while no watch is open. The next watch sends it, as indented JSON.
        let event = serde_json::to_string_pretty(&endpoint_list_json(
            2,
            ListKind::Change,
            &[terminating(0, addresses[0])],
        ))
        .expect("the list is formatted");
        let second = discovery.answer_watch(&event);
        let elapsed_ms = started_at.elapsed().as_millis();
        assert!(
            elapsed_ms < if silent { 5_000 } else { 1_000 },
            "{elapsed_ms} ms: a coordinator counts as notified of a change after 6 s"
        );
        assert!(second.request.contains("since=1"), "{}", second.request);
        process.wait_for_counter("endpoint_updates", 3);
        let received_before = nodes[0].received_part_ids().len();
        assert_draining(&process, &nodes[0], &[0, 1, 2, 3], received_before);
        drop(silent_watch);
    }
}

#[test]
fn a_silent_discovery_agent_is_polled_again_and_its_recovery_is_detected() {
    let (nodes, addresses) = two_serving_nodes();
    let discovery = ControlledDiscovery::new();
    let process =
        Deployment::ALL_EFFECTS.start_with_discovery("agent", discovery.address(), &addresses);
    let started_at = std::time::Instant::now();
    // The discovery agent is down: it never answers these polls.
    let unanswered = [discovery.accept_watch(), discovery.accept_watch()];
    assert!(
        started_at.elapsed().as_millis() < 2_500,
        "the poll that the discovery agent answers after its recovery comes soon"
    );
    let _watch = discovery.answer_watch(&complete_list(
        5,
        &[terminating(0, addresses[0]), in_service(1, addresses[1])],
    ));
    process.wait_for_counter("endpoint_updates", 2);
    assert_draining(&process, &nodes[0], &[0, 1], 0);
    drop(unanswered);
}

#[test]
fn an_older_endpoint_list_does_not_undo_a_drain() {
    let (nodes, addresses) = two_serving_nodes();
    let discovery = ControlledDiscovery::new();
    let (process, mut watch) =
        Deployment::ALL_EFFECTS.start_controlled("older-list", &discovery, &addresses);
    watch.send(&changed_endpoints(7, &[terminating(0, addresses[0])]));
    watch.send(&complete_list(6, &all_in_service(&addresses)));
    process.wait_for_log(
        "stale endpoint list: only its drains, removals and restarts are applied \
         version=6 current_version=7",
    );
    process.wait_for_counter("endpoint_updates", 4);
    assert_draining(&process, &nodes[0], &[0, 1, 2, 3], 0);
    watch.reset();
    assert!(
        discovery.accept_watch().request.contains("since=7"),
        "events since the newest version are requested"
    );
}

#[test]
fn a_new_discovery_address_applies_during_the_backoff_of_a_watch() {
    // If lists are polled, the backoff can be as long as must-ask-in, here 600 s. A SIGHUP does not
    // wait for its end.
    let (nodes, addresses) = two_serving_nodes();
    let old_agent = ControlledDiscovery::new();
    let new_agent = ControlledDiscovery::new();
    let process = Deployment {
        push_discovery: false,
        ..Deployment::ALL_EFFECTS
    }
    .start_with_discovery("moved", old_agent.address(), &addresses);
    old_agent.accept_watch().reset();
    process.wait_for_log("discovery watch failed");
    process.write_configuration(
        &process.configuration_with("/discovery", json!(new_agent.address().to_string())),
    );
    process.signal("HUP");
    let _watch = new_agent.answer_watch(&changed_endpoints(2, &[terminating(0, addresses[0])]));
    old_agent
        .listener
        .set_nonblocking(true)
        .expect("the blocking mode is set");
    assert!(
        old_agent.listener.accept().is_err(),
        "the old address was not polled again"
    );
    process.wait_for_counter("endpoint_updates", 2);
    assert_draining(&process, &nodes[0], &[0, 1], 0);
}
