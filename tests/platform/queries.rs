//! Queries, their retries, and changes of the endpoint list.

use crate::standin::admin_endpoint::{call_admin_endpoint, dump_value};
use crate::standin::client::{Class, Shards};
use crate::standin::data_node::{DataNode, NodeBehaviour};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{changed_endpoints, terminating};
use crate::support::query;
use serde_json::json;
use std::sync::{Arc, Mutex};

#[test]
fn a_query_is_answered_from_its_parts_over_persistent_connections() {
    let nodes = [
        DataNode::serving(),
        DataNode::serving(),
        DataNode::serving(),
    ];
    let (process, _changes) = Deployment::BASIC.start("whole", &nodes);
    process.wait_until_ready();
    for n in 0..20 {
        let answer = query(
            &process,
            &format!("q{n}"),
            Class("lookup"),
            Shards(&[0, 1, 2]),
        );
        let cell = |shard: u32| json!({"tablet": shard, "cell": format!("cell{shard}")});
        assert_eq!(answer.status, 200);
        assert_eq!(
            answer.json(),
            json!({"full": true, "pieces": [cell(0), cell(1), cell(2)]})
        );
    }
    let open: Vec<usize> = nodes.iter().map(DataNode::connection_count).collect();
    // A node may have more than one: if the machine pauses, an answer is overdue, and the next parts
    // are sent on another connection.
    assert!(
        open.iter().all(|n| *n <= 4),
        "connections are reused: {open:?}"
    );
}

#[test]
fn failed_parts_are_retried_on_the_other_node_unless_they_may_have_run_and_are_not_idempotent() {
    for (fault, class, status) in [
        (NodeBehaviour::Fail, "lookup", 200),
        (NodeBehaviour::Disconnect, "lookup", 200),
        (NodeBehaviour::Reject, "send", 200),
        (NodeBehaviour::Fail, "send", 502),
        (NodeBehaviour::Disconnect, "send", 502),
    ] {
        // Only the first part that any node receives has the fault.
        let has_failed = Arc::new(Mutex::new(false));
        let fail_first = |has_failed: Arc<Mutex<bool>>| {
            move |_| {
                if std::mem::replace(
                    &mut *has_failed.lock().expect("the mutex is not poisoned"),
                    true,
                ) {
                    NodeBehaviour::Serve
                } else {
                    fault
                }
            }
        };
        let nodes = [
            DataNode::start(fail_first(has_failed.clone())),
            DataNode::start(fail_first(has_failed)),
        ];
        let (process, _changes) =
            Deployment::BASIC.start(&format!("fault{}{class}", fault as u8), &nodes);
        process.wait_until_ready();
        let response = query(&process, "q1", Class(class), Shards(&[0]));
        assert_eq!(response.status, status);
        let dump = call_admin_endpoint(process.admin_address(), "DUMP\n");
        let errors = dump_value(&dump, &format!("node.responses.{class}.errors"));
        assert_eq!(errors, u64::from(status != 200), "{dump}");
        let sent: usize = nodes.iter().map(|n| n.received_part_ids().len()).sum();
        assert_eq!(
            sent,
            if status == 200 { 2 } else { 1 },
            "a part that may have run is sent once"
        );
    }
}

#[test]
fn a_draining_node_receives_no_new_parts() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, changes) = Deployment::BASIC.start("drain", &nodes);
    process.wait_until_ready();
    assert_eq!(
        query(&process, "q0", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
    changes.send(&changed_endpoints(2, &[terminating(0, nodes[0].address)]));
    // Waits until the process has counted three lists: the cached one, the first one of discovery,
    // and this change.
    loop {
        process.signal("USR1");
        if process
            .wait_for_log("counters")
            .contains(" endpoint_updates=3 ")
        {
            break;
        }
    }
    let before = nodes[0].received_part_ids().len();
    for n in 1..10 {
        assert_eq!(
            query(&process, &format!("q{n}"), Class("lookup"), Shards(&[0, 1])).status,
            200
        );
    }
    assert_eq!(nodes[0].received_part_ids().len(), before);
}

#[test]
fn after_an_unreadable_watch_event_the_complete_list_is_requested() {
    // A watch that resumed from the last version would lose the change in the unreadable event.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, discovery) = Deployment::BASIC.start("line", &nodes);
    process.wait_until_ready();
    discovery.send("{no list");
    while discovery.requests().len() < 2 {
        // The stand-in detects the close of the watch when it sends the next event.
        discovery.send("");
        std::thread::yield_now();
    }
    let requests = discovery.requests();
    assert!(
        requests[0].contains("since=0") && requests[1].contains("since=0"),
        "{requests:?}"
    );
    assert_eq!(
        query(&process, "q1", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
}
