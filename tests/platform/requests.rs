//! Requests that are rejected: expired, malformed, or with the id of a pending one.

use crate::standin::client::{Class, Shards};
use crate::standin::data_node::{DataNode, NodeBehaviour};
use crate::standin::deployment::Deployment;
use crate::standin::process::Process;
use crate::support::query;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};

#[test]
fn expired_rejected_and_malformed_requests_get_their_status() {
    let nodes = [DataNode::hanging(), DataNode::hanging()];
    let (process, _changes) = Deployment::BASIC.start("hang", &nodes);
    process.wait_until_ready();
    let late = query(&process, "q0", Class("brief"), Shards(&[0]));
    assert_eq!(
        late.status, 503,
        "an idempotent class is rejected with Retry-After"
    );
    assert!(late.headers.contains_key("retry-after"));
    assert_eq!(
        query(&process, "q1", Class("none"), Shards(&[0])).status,
        400
    );
    assert_eq!(
        query(&process, "q 2", Class("lookup"), Shards(&[0])).status,
        400
    );
    assert_eq!(
        query(&process, "q3", Class("lookup"), Shards(&[9])).status,
        400
    );
    assert_eq!(
        query(&process, "q4", Class("lookup"), Shards(&[])).status,
        400
    );
    assert_eq!(
        query(&process, "q5", Class("lookup"), Shards(&[1, 1])).status,
        400
    );
    assert_invalid_requests_are_rejected(&process);
}

/// The components of a request that a test makes invalid.
#[derive(Clone, Copy)]
struct RequestText<'a> {
    tablets: &'a str,
    timeout_header: &'a str,
    statement: &'a str,
}

impl RequestText<'_> {
    /// A valid request that times out after 0.2 s.
    const VALID: RequestText<'static> = RequestText {
        tablets: "{\"tablet\":0,\"fraction\":1}",
        timeout_header: "X-Expires-In: 0.2\r\n",
        statement: ",\"statement\":\"c41e77d0\"",
    };

    /// Sends the request and returns the status of its response.
    fn send(&self, process: &Process) -> u16 {
        let body = format!("{{\"tablets\":[{}]{}}}", self.tablets, self.statement);
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q6\r\nX-Qos: brief\r\n{}Connection: close\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.timeout_header,
            body.len()
        );
        process.send_request(&request).status
    }
}

/// Asserts that a valid request is sent to the nodes, which do not answer, and that invalid ones are
/// not: the fractions of a query must add up to 1, and it must have a timeout and a statement.
fn assert_invalid_requests_are_rejected(process: &Process) {
    let valid = RequestText::VALID;
    assert_eq!(valid.send(process), 503);
    for timeout_header in ["", "X-Expires-In: soon\r\n"] {
        let request = RequestText {
            timeout_header,
            ..valid
        };
        assert_eq!(request.send(process), 400, "{timeout_header:?}");
    }
    let without_statement = RequestText {
        statement: "",
        ..valid
    };
    assert_eq!(without_statement.send(process), 400);
    for fraction in ["0.5", "1.5", "-1", "1e308"] {
        let tablets = format!("{{\"tablet\":0,\"fraction\":{fraction}}}");
        let request = RequestText {
            tablets: &tablets,
            ..valid
        };
        assert_eq!(request.send(process), 400, "{fraction}");
    }
}

#[test]
fn malformed_http_requests_get_their_status() {
    let (process, _changes) = Deployment::BASIC.start("malformed-http", &[DataNode::hanging()]);
    process.wait_until_ready();
    assert_eq!(process.get("/elsewhere").status, 404);
    assert_eq!(process.get("/api").status, 405);
    assert_eq!(
        process
            .send_request("POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n")
            .status,
        413
    );
    assert_eq!(process.send_request("\u{1}\u{2}\r\n\r\n").status, 400);
    let mut truncated = TcpStream::connect(process.address).expect("the process listens");
    write!(
        truncated,
        "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{{"
    )
    .expect("the bytes are written");
    truncated
        .shutdown(std::net::Shutdown::Write)
        .expect("the sending side is shut down");
    let mut text = String::new();
    truncated
        .read_to_string(&mut text)
        .expect("the response is read");
    assert_eq!(
        text.matches("HTTP/1.1 400 ").count(),
        1,
        "a truncated request gets one error response"
    );
}

#[test]
fn a_request_with_the_id_of_a_pending_one_is_rejected_and_the_pending_one_served() {
    // Data nodes identify parts by the id of their request, so the second request would receive the
    // answers to the first one.
    let gate = Arc::new(Mutex::new(()));
    let closed_gate = gate.lock().expect("the mutex is not poisoned");
    let wait_for_gate = |gate: Arc<Mutex<()>>| {
        move |_| {
            drop(gate.lock());
            NodeBehaviour::Serve
        }
    };
    let nodes = [
        DataNode::start(wait_for_gate(gate.clone())),
        DataNode::start(wait_for_gate(gate.clone())),
    ];
    let (process, _changes) = Deployment::BASIC.start("taken", &nodes);
    process.wait_until_ready();
    std::thread::scope(|scope| {
        let first = scope.spawn(|| query(&process, "q1", Class("lookup"), Shards(&[0])).status);
        while nodes.iter().all(|n| n.received_part_ids().is_empty()) {
            std::thread::yield_now();
        }
        assert_eq!(
            query(&process, "q1", Class("lookup"), Shards(&[0])).status,
            409
        );
        drop(closed_gate);
        assert_eq!(first.join().expect("the thread does not panic"), 200);
        assert_eq!(
            query(&process, "q1", Class("lookup"), Shards(&[0])).status,
            200,
            "the id is free again"
        );
    });
}
