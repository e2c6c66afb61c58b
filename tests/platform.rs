//! The platform's protocol on real sockets, with stand-ins for data nodes, discovery and clients.

mod standin;

use serde_json::json;
use standin::client::{query_with_timeout, Response};
use standin::data_node::{DataNode, NodeBehaviour};
use standin::deployment::Deployment;
use standin::discovery::{endpoint_list, terminating};
use standin::management::{dump_value, management_call};
use standin::process::Process;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

/// The time in seconds that clients wait for an answer: less than the latency objective of the
/// classes.
const QUERY_TIMEOUT_SECONDS: f64 = 8.0;

fn query(process: &Process, id: &str, class: &str, shards: &[u32]) -> Response {
    query_with_timeout(process, id, class, shards, QUERY_TIMEOUT_SECONDS)
}

#[test]
fn a_query_is_answered_from_its_parts_over_persistent_connections() {
    let nodes = [
        DataNode::serving(),
        DataNode::serving(),
        DataNode::serving(),
    ];
    let (edge, _changes) = Deployment::BASIC.start("whole", &nodes);
    edge.wait_until_ready();
    for n in 0..20 {
        let answer = query(&edge, &format!("q{n}"), "lookup", &[0, 1, 2]);
        let cell = |s: u32| json!({"tablet": s, "cell": format!("cell{s}")});
        assert_eq!(answer.status, 200);
        assert_eq!(
            answer.json(),
            json!({"full": true, "pieces": [cell(0), cell(1), cell(2)]})
        );
    }
    let open: Vec<usize> = nodes.iter().map(DataNode::connections).collect();
    // Not one each: if the machine pauses, an answer is overdue, and the next parts take another
    // connection.
    assert!(
        open.iter().all(|n| *n <= 4),
        "connections are reused: {open:?}"
    );
}

#[test]
fn failed_parts_are_retried_on_the_other_node_unless_they_may_have_run_and_are_not_idempotent() {
    for (act, class, status) in [
        (NodeBehaviour::Fail, "lookup", 200),
        (NodeBehaviour::Disconnect, "lookup", 200),
        (NodeBehaviour::Reject, "send", 200),
        (NodeBehaviour::Fail, "send", 502),
        (NodeBehaviour::Disconnect, "send", 502),
    ] {
        // The fault strikes the first part that any node receives.
        let struck = Arc::new(Mutex::new(false));
        let first = |struck: Arc<Mutex<bool>>| {
            move |_| {
                if std::mem::replace(&mut *struck.lock().expect("flag"), true) {
                    NodeBehaviour::Serve
                } else {
                    act
                }
            }
        };
        let nodes = [
            DataNode::start(first(struck.clone())),
            DataNode::start(first(struck)),
        ];
        let (edge, _changes) =
            Deployment::BASIC.start(&format!("fault{}{class}", act as u8), &nodes);
        edge.wait_until_ready();
        assert_eq!(query(&edge, "q1", class, &[0]).status, status);
        let dump = management_call(edge.management_address(), "DUMP\n");
        let errors = dump_value(&dump, &format!("node.responses.{class}.errors"));
        assert_eq!(errors, u64::from(status != 200), "{dump}");
        let sent: usize = nodes.iter().map(|n| n.received_parts().len()).sum();
        assert_eq!(
            sent,
            if status == 200 { 2 } else { 1 },
            "a part that may have run is sent once"
        );
    }
}

#[test]
fn an_unresponsive_connection_fails_no_query_while_its_node_is_healthy() {
    // Answers take milliseconds, so that no attempt is in flight for the 0.4 s after which a
    // connection is given up for age: it is given up for its silence, and half an answer has no end
    // in later bytes.
    for fault in [
        NodeBehaviour::StopResponding,
        NodeBehaviour::PartialResponse,
    ] {
        let nodes = [(); 2].map(|()| {
            DataNode::start(move |n| {
                if n == 100 {
                    fault
                } else {
                    NodeBehaviour::Serve
                }
            })
        });
        let (edge, _changes) = Deployment::BASIC.start(&format!("mute{}", fault as u8), &nodes);
        edge.wait_until_ready();
        let seen = |n: &DataNode| n.received_parts().len();
        for n in 0..1_000 {
            assert_eq!(
                query(&edge, &format!("q{n}"), "lookup", &[0, 1]).status,
                200,
                "query {n}"
            );
            if nodes.iter().all(|n| seen(n) > 120) {
                break;
            }
        }
        let met = nodes.each_ref().map(|n| (seen(n), n.connections()));
        assert!(
            met.iter().all(|(parts, links)| *parts > 120 && *links > 1),
            "parts and connections: {met:?}"
        );
    }
}

#[test]
fn a_connection_closed_by_its_node_loses_no_part() {
    // Each close has reached the process before the next part is sent; the unit tests of the node
    // client cover a part sent before the close is seen.
    let nodes = [
        DataNode::start(|_| NodeBehaviour::ServeAndClose),
        DataNode::start(|_| NodeBehaviour::ServeAndClose),
    ];
    let (edge, _changes) = Deployment::BASIC.start("closed", &nodes);
    edge.wait_until_ready();
    for n in 0..10 {
        assert_eq!(
            query(&edge, &format!("q{n}"), "send", &[0]).status,
            200,
            "query {n}"
        );
        while nodes
            .iter()
            .map(DataNode::closed_connections)
            .sum::<usize>()
            <= n
        {
            std::thread::yield_now();
        }
    }
}

#[test]
fn a_draining_node_receives_no_new_parts() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (edge, changes) = Deployment::BASIC.start("drain", &nodes);
    edge.wait_until_ready();
    assert_eq!(query(&edge, "q0", "lookup", &[0, 1]).status, 200);
    changes.send(&endpoint_list(
        2,
        false,
        &[terminating(0, nodes[0].address)],
    ));
    // Until the process has counted three lists: the cached one, discovery's first, and this one.
    loop {
        edge.signal("USR1");
        if edge
            .wait_for_log("counters")
            .contains(" endpoint_updates=3 ")
        {
            break;
        }
    }
    let before = nodes[0].received_parts().len();
    for n in 1..10 {
        assert_eq!(
            query(&edge, &format!("q{n}"), "lookup", &[0, 1]).status,
            200
        );
    }
    assert_eq!(nodes[0].received_parts().len(), before);
}

#[test]
fn after_an_unreadable_watch_event_the_complete_list_is_requested() {
    // A watch that resumed from the last good version would lose the change in the bad event.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (edge, discovery) = Deployment::BASIC.start("line", &nodes);
    edge.wait_until_ready();
    discovery.send("{no list");
    while discovery.requests().len() < 2 {
        // The stand-in notices that the watch is closed when it sends the next event.
        discovery.send("");
        std::thread::yield_now();
    }
    let asked = discovery.requests();
    assert!(
        asked[0].contains("since=0") && asked[1].contains("since=0"),
        "{asked:?}"
    );
    assert_eq!(query(&edge, "q1", "lookup", &[0, 1]).status, 200);
}

#[test]
fn expired_rejected_and_malformed_requests_get_their_status() {
    let nodes = [DataNode::hanging(), DataNode::hanging()];
    let (edge, _changes) = Deployment::BASIC.start("hang", &nodes);
    edge.wait_until_ready();
    let late = query(&edge, "q0", "brief", &[0]);
    assert_eq!(
        late.status, 503,
        "an idempotent class is rejected with Retry-After"
    );
    assert!(late.headers.contains_key("retry-after"));
    assert_eq!(query(&edge, "q1", "none", &[0]).status, 400);
    assert_eq!(query(&edge, "q 2", "lookup", &[0]).status, 400);
    assert_eq!(query(&edge, "q3", "lookup", &[9]).status, 400);
    assert_eq!(query(&edge, "q4", "lookup", &[]).status, 400);
    assert_eq!(query(&edge, "q5", "lookup", &[1, 1]).status, 400);
    // Fractions add up to 1, and a query has a timeout and a statement: others reach no node.
    let asked = |shares: &str, time: &str, text: &str| {
        let body = format!("{{\"tablets\":[{shares}]{text}}}");
        let head = format!(
            "POST /api HTTP/1.1\r\nX-Trace-Id: q6\r\nX-Qos: brief\r\n{time}Connection: close\r\n"
        );
        edge.send_request(&format!(
            "{head}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))
        .status
    };
    let whole = "{\"tablet\":0,\"fraction\":1}";
    let time = "X-Expires-In: 0.2\r\n";
    let text = ",\"statement\":\"c\"";
    assert_eq!(
        asked(whole, time, text),
        503,
        "a valid one reaches the nodes, which do not answer"
    );
    assert_eq!(asked(whole, "", text), 400);
    assert_eq!(asked(whole, "X-Expires-In: soon\r\n", text), 400);
    assert_eq!(asked(whole, time, ""), 400);
    for shares in ["0.5", "1.5", "-1", "1e308"] {
        assert_eq!(
            asked(
                &format!("{{\"tablet\":0,\"fraction\":{shares}}}"),
                time,
                text
            ),
            400,
            "{shares}"
        );
    }
}

#[test]
fn malformed_http_requests_get_their_status() {
    let (edge, _changes) = Deployment::BASIC.start("malformed-http", &[DataNode::hanging()]);
    edge.wait_until_ready();
    assert_eq!(edge.get("/elsewhere").status, 404);
    assert_eq!(edge.get("/api").status, 405);
    assert_eq!(
        edge.send_request("POST /api HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n")
            .status,
        413
    );
    assert_eq!(edge.send_request("\u{1}\u{2}\r\n\r\n").status, 400);
    let mut cut = TcpStream::connect(edge.address).expect("it listens");
    write!(cut, "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n{{").expect("written");
    cut.shutdown(std::net::Shutdown::Write)
        .expect("half closed");
    let mut text = String::new();
    cut.read_to_string(&mut text).expect("read");
    assert_eq!(
        text.matches("HTTP/1.1 400 ").count(),
        1,
        "cut off in the middle: one error response"
    );
}

#[test]
fn a_request_with_the_id_of_a_pending_one_is_rejected_and_the_pending_one_served() {
    // Data nodes identify parts by that id: the second request would receive the first one's
    // answers.
    let gate = Arc::new(Mutex::new(()));
    let held = gate.lock().expect("gate");
    let wait = |gate: Arc<Mutex<()>>| {
        move |_| {
            drop(gate.lock());
            NodeBehaviour::Serve
        }
    };
    let nodes = [
        DataNode::start(wait(gate.clone())),
        DataNode::start(wait(gate.clone())),
    ];
    let (edge, _changes) = Deployment::BASIC.start("taken", &nodes);
    edge.wait_until_ready();
    std::thread::scope(|scope| {
        let first = scope.spawn(|| query(&edge, "q1", "lookup", &[0]).status);
        while nodes.iter().all(|n| n.received_parts().is_empty()) {
            std::thread::yield_now();
        }
        assert_eq!(query(&edge, "q1", "lookup", &[0]).status, 409);
        drop(held);
        assert_eq!(first.join().expect("answered"), 200);
        assert_eq!(
            query(&edge, "q1", "lookup", &[0]).status,
            200,
            "the id is free again"
        );
    });
}

#[test]
fn silent_and_incomplete_connections_are_closed_and_do_not_block_other_clients() {
    // Incomplete requests and silent connections have a limit of time, and are evicted for new
    // clients.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (edge, _changes) = Deployment {
        descriptors: 60,
        ..Deployment::BASIC
    }
    .start("silent", &nodes);
    edge.wait_until_ready();
    let connect = || TcpStream::connect(edge.address).expect("the machine accepts");
    let mut half = connect();
    write!(half, "POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\n{{").expect("written");
    let mut text = String::new();
    half.read_to_string(&mut text)
        .expect("an answer and an end");
    assert!(
        text.starts_with("HTTP/1.1 408 ") && text.contains("Connection: close"),
        "{text}"
    );
    let mut crowd: Vec<TcpStream> = (0..150).map(|_| connect()).collect();
    assert_eq!(query(&edge, "q1", "lookup", &[0, 1]).status, 200);
    for silent in &mut crowd {
        // Closed without a response; otherwise this read would block for ever.
        assert!(matches!(silent.read(&mut [0; 1]), Ok(0) | Err(_)));
    }
}

#[test]
fn an_error_response_reaches_a_client_that_keeps_sending() {
    // A close with unread input sends a reset, by which the client would lose the error.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (edge, _changes) = Deployment::BASIC.start("linger", &nodes);
    let mut client = TcpStream::connect(edge.address).expect("it listens");
    write!(
        client,
        "POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"
    )
    .expect("written");
    let mut lines = BufReader::new(client.try_clone().expect("a handle")).lines();
    assert_eq!(
        lines.next().and_then(Result::ok).as_deref(),
        Some("HTTP/1.1 413 Content Too Large")
    );
    // The response has come, and bytes that are sent after it are still read.
    for _ in 0..50 {
        client.write_all(&[b'x'; 1_000]).expect("not reset");
    }
    assert!(lines
        .by_ref()
        .map_while(Result::ok)
        .any(|l| l == "Connection: close"));
    client
        .shutdown(std::net::Shutdown::Write)
        .expect("half closed");
    assert!(lines.all(|l| l.is_ok()), "it closes without a reset");
}

#[test]
fn queries_are_served_while_descriptors_are_exhausted() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (edge, _changes) = Deployment {
        descriptors: 40,
        ..Deployment::BASIC
    }
    .start("descriptors", &nodes);
    edge.wait_until_ready();
    assert_eq!(query(&edge, "q0", "lookup", &[0, 1]).status, 200);
    let crowd: Vec<TcpStream> = (0..100)
        .map(|_| TcpStream::connect(edge.address).expect("the machine accepts"))
        .collect();
    for n in 1..10 {
        assert_eq!(
            query(&edge, &format!("q{n}"), "lookup", &[0, 1]).status,
            200
        );
    }
    drop(crowd);
}

#[test]
fn after_sigterm_persistent_connections_are_served_before_they_are_closed() {
    // Responses after the signal do not close their connections, and new clients are accepted.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (mut edge, _changes) = Deployment {
        latency_objective_ms: 1_000,
        ..Deployment::BASIC
    }
    .start("term", &nodes);
    edge.wait_until_ready();
    let mut kept = TcpStream::connect(edge.address).expect("it listens");
    // A connection with half a request is not idle.
    write!(kept, "GET /up HTTP/1.1\r\n").expect("written");
    edge.signal("HUP");
    edge.signal("TERM");
    edge.wait_for_log("graceful shutdown started");
    write!(kept, "\r\n").expect("written");
    let body = "{\"tablets\":[{\"tablet\":0,\"fraction\":1}],\"statement\":\"c41e77d0\"}";
    write!(
        kept,
        "POST /api HTTP/1.1\r\nX-Trace-Id: q1\r\nX-Qos: lookup\r\nX-Expires-In: 1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("written");
    assert_eq!(query(&edge, "q2", "lookup", &[0, 1]).status, 200);
    let mut text = String::new();
    kept.read_to_string(&mut text).expect("read");
    assert!(
        text.starts_with("HTTP/1.1 503 ") && text.contains("HTTP/1.1 200 "),
        "{text}"
    );
    assert!(!text.contains("Connection: close"), "{text}");
    assert!(edge.wait_for_exit());
}
