//! Requests that are rejected: expired, malformed, or with the id of a pending one.

use crate::standin::data_node::{DataNode, NodeBehaviour};
use crate::standin::deployment::Deployment;
use crate::support::query;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

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
