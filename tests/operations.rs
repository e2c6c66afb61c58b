//! Operating the process on real sockets: startup checks, health check, admin endpoint, reloads and
//! upgrades.

mod standin;

use serde_json::json;
use standin::admin_endpoint::{call_admin_endpoint, dump_value};
use standin::client::{send_query, Class, QueryRequest, Response, Shards};
use standin::data_node::{addresses_of, DataNode, NodeBehaviour};
use standin::deployment::Deployment;
use standin::discovery::{
    all_in_service, changed_endpoints, complete_list, serve_constant_list, terminating, Discovery,
};
use standin::http::{bind_loopback, write_chunked_head, write_line_chunk};
use standin::process::Process;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::ops::Range;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;

/// The time in seconds that clients wait for an answer: less than the latency objective of the
/// classes.
const QUERY_TIMEOUT_SECONDS: f64 = 8.0;

/// Sends a query of a client that waits for [`QUERY_TIMEOUT_SECONDS`] and returns the response.
fn query(process: &Process, id: &str, class: Class, shards: Shards) -> Response {
    let request = QueryRequest::new(id, class, shards).timeout_seconds(QUERY_TIMEOUT_SECONDS);
    send_query(process, request)
}

/// Asserts that queries of class `lookup` with these numbers are answered.
fn assert_lookups_are_served(process: &Process, numbers: Range<usize>) {
    for number in numbers {
        let response = query(
            process,
            &format!("q{number}"),
            Class("lookup"),
            Shards(&[0, 1]),
        );
        assert_eq!(response.status, 200);
    }
}

/// Waits until the process has applied exactly `count` endpoint updates.
fn wait_for_endpoint_updates(process: &Process, count: usize) {
    let counter = format!(" endpoint_updates={count} ");
    while !process.log_counters().contains(&counter) {}
}

#[test]
fn a_reload_moves_the_watch_and_keeps_the_endpoint_list() {
    // A reload moves the discovery watch too: a drain that the new address sends is applied.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, first) = Deployment::BASIC.start("moved", &nodes);
    process.wait_until_ready();
    wait_for_endpoint_updates(&process, 2);
    process.write_configuration("{\"discovery\":\"nowhere\"}");
    process.signal("HUP");
    process.wait_for_log("configuration reload rejected error=");
    assert_eq!(
        query(&process, "q0", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
    // The new address sends a drain as a change to the version that the old one sent last.
    let new_discovery = Discovery::start(changed_endpoints(2, &[terminating(0, nodes[0].address)]));
    process.write_configuration(
        &process.configuration_with("/discovery", json!(new_discovery.address.to_string())),
    );
    process.signal("HUP");
    process.wait_for_log("configuration reloaded discovery=");
    wait_for_endpoint_updates(&process, 3);
    assert!(
        new_discovery.requests()[0].contains("since=1"),
        "the watch resumes from the last version"
    );
    let before = nodes[0].received_part_ids().len();
    assert_lookups_are_served(&process, 1..10);
    assert_eq!(nodes[0].received_part_ids().len(), before);
    drop(first);
}

#[test]
fn admin_commands_are_answered_despite_callers_that_send_incomplete_ones() {
    let fails_once = DataNode::start(|part| match part {
        1 => NodeBehaviour::Fail,
        _ => NodeBehaviour::Serve,
    });
    let nodes = [DataNode::serving(), fails_once];
    let (process, _changes) = Deployment::BASIC.start("mgmt", &nodes);
    let address = process.admin_address();
    // More callers than the endpoint accepts at a time, each with half a command.
    let mut idle: Vec<TcpStream> = (0..80)
        .map(|_| TcpStream::connect(address).expect("the connection is accepted"))
        .collect();
    for caller in &mut idle {
        caller.write_all(b"HEAL").expect("the bytes are written");
    }
    while !call_admin_endpoint(address, "HEALTH\n").starts_with("YES") {}
    assert!(call_admin_endpoint(address, "health me\r\n").starts_with("NO "));
    assert!(
        call_admin_endpoint(address, &"x".repeat(400)).starts_with("NO "),
        "a line without an end is not a command"
    );
    // One part fails once and is retried; one query names an unknown class.
    assert_lookups_are_served(&process, 0..5);
    assert_eq!(
        query(&process, "q5", Class("none"), Shards(&[0])).status,
        400
    );
    let dump = call_admin_endpoint(address, "DUMP\r\n");
    assert!(dump.starts_with("YES\n"), "{dump}");
    assert!(dump.ends_with("\nEND\n"), "{dump}");
    for (name, value) in [
        ("responses.lookup.ok", 5),
        ("responses.lookup.shed", 0),
        ("responses.lookup.errors", 0),
        ("responses.lookup.tries", 11),
        ("responses.send.ok", 0),
        ("active", 0),
        ("pool_size", 2),
        ("pool_ejected", 0),
    ] {
        assert_eq!(dump_value(&dump, &format!("node.{name}")), value, "{name}");
    }
}

#[test]
fn the_health_check_fails_until_discovery_has_sent_its_list() {
    // The cached list may be old. Queries are served with it, but the health check does not succeed
    // before discovery has sent its list.
    let silent_discovery = bind_loopback();
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let process = Deployment::BASIC.start_with_discovery(
        "news",
        silent_discovery
            .local_addr()
            .expect("the listener is bound"),
        &addresses,
    );
    assert_eq!(
        call_admin_endpoint(process.admin_address(), "HEALTH\n"),
        "NO the servers are not known yet\n"
    );
    let (mut watch, _) = silent_discovery
        .accept()
        .expect("the process opens a watch");
    let first_list = complete_list(1, &all_in_service(&addresses));
    write_chunked_head(&mut watch).expect("the process reads");
    write_line_chunk(&mut watch, &first_list).expect("the process reads");
    while call_admin_endpoint(process.admin_address(), "HEALTH\n") != "YES\n" {}
}

/// Returns the configuration without one of its keys.
fn without_key(configuration: &str, pointer: &str, key: &str) -> String {
    let mut json: serde_json::Value =
        serde_json::from_str(configuration).expect("the configuration is JSON");
    let object = json
        .pointer_mut(pointer)
        .and_then(serde_json::Value::as_object_mut);
    object
        .and_then(|object| object.remove(key))
        .expect("the key is present");
    json.to_string()
}

/// Returns configurations that are cut off, lack a key or have an invalid value.
fn invalid_configurations(process: &Process, complete: &str) -> Vec<String> {
    vec![
        String::new(),
        complete[..complete.len() / 2].to_owned(),
        without_key(complete, "", "settings"),
        without_key(complete, "", "discovery"),
        without_key(complete, "/settings", "limits"),
        without_key(complete, "/settings/limits", "max-attempts"),
        without_key(complete, "/settings/classes/2", "late-worth"),
        process.configuration_with("/settings/limits/max-attempts", json!(0)),
        process.configuration_with("/settings/limits/max-attempts", json!(-1)),
        process.configuration_with("/settings/classes/1/deadline", json!(0)),
        process.configuration_with("/settings/classes/1/deadline", json!("soon")),
        process.configuration_with("/settings/classes/1/name", json!("lookup")),
        process.configuration_with("/settings/classes", json!([])),
        process.configuration_with("/settings/balancers", json!(0)),
        process.configuration_with("/settings/tick", json!(0)),
        process.configuration_with("/settings/family-info/slices", json!(0)),
        process.configuration_with("/settings/family-info/in-a-row", json!(0)),
        process.configuration_with("/settings/classes/0/points", json!(-1.0)),
        process.configuration_with("/discovery", json!("nowhere")),
    ]
}

/// Returns the configuration with fewer attempts for all classes, one class replaced by a new one,
/// one that is no longer idempotent, and one that now is.
fn changed_configuration(complete: &str) -> String {
    let mut json: serde_json::Value =
        serde_json::from_str(complete).expect("the configuration is JSON");
    json["settings"]["limits"]["max-attempts"] = json!(2);
    json["settings"]["classes"][0]["effect"] = json!("non_idempotent");
    json["settings"]["classes"][1]["name"] = json!("later");
    json["settings"]["classes"][2]["effect"] = json!("read_like");
    json.to_string()
}

#[test]
fn a_reload_applies_a_complete_file_or_nothing() {
    // A file that parses but is not complete changes nothing, not even the address of discovery.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, _changes) = Deployment::BASIC.start("retune", &nodes);
    let admin_address = process.admin_address();
    process.wait_until_ready();
    let complete = process.configuration_with("/name", json!("n0"));

    let invalid = invalid_configurations(&process, &complete);
    for text in &invalid {
        process.write_configuration(text);
        process.signal("HUP");
        process.wait_for_log("configuration reload rejected error=");
    }
    assert_eq!(
        query(&process, "q0", Class("later"), Shards(&[0])).status,
        400
    );
    assert_eq!(
        query(&process, "q1", Class("brief"), Shards(&[0])).status,
        200
    );

    process.write_configuration(&changed_configuration(&complete));
    process.signal("HUP");
    let reloaded = process.wait_for_log("configuration reloaded");
    assert!(reloaded.ends_with("classes=\"lookup later send\""));
    for (id, class, status) in [
        ("q2", "brief", 400),
        ("q3", "send", 200),
        ("q4", "later", 200),
        ("q5", "lookup", 200),
    ] {
        let response = query(&process, id, Class(class), Shards(&[0, 1]));
        assert_eq!(response.status, status, "{class}");
    }

    let dump = call_admin_endpoint(admin_address, "DUMP\n");
    let value_of = |name: &str| dump_value(&dump, &format!("node.{name}"));
    assert_eq!(value_of("config_applied"), 1);
    assert_eq!(value_of("config_rejected"), invalid.len() as u64);
    let ok = ["brief", "later", "lookup", "send"]
        .map(|class| value_of(&format!("responses.{class}.ok")));
    assert_eq!((ok, value_of("responses.later.tries")), ([1, 1, 1, 1], 2));
}

/// Sends a query on a persistent connection and returns the head of its response.
fn query_on(persistent: &mut TcpStream, id: &str) -> String {
    let body = "{\"tablets\":[{\"tablet\":0,\"fraction\":1}],\"statement\":\"c41e77d0\"}";
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: lookup\r\nX-Expires-In: 9\r\n"
    );
    write!(
        persistent,
        "{head}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the bytes are written");
    let lines = BufReader::new(persistent).lines().map_while(Result::ok);
    lines
        .take_while(|line| !line.is_empty())
        .collect::<Vec<_>>()
        .join("\n")
}

/// Whether a response announces the close of its connection.
#[derive(Debug, PartialEq)]
enum Connection {
    StaysOpen,
    Closes,
}

/// Asserts that a query on a persistent connection is served, and whether the connection closes.
fn assert_served_on(persistent: &mut TcpStream, id: &str, expected: Connection) {
    let head = query_on(persistent, id);
    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    let connection = if head.contains("Connection: close") {
        Connection::Closes
    } else {
        Connection::StaysOpen
    };
    assert_eq!(connection, expected, "{head}");
}

/// Creates a directory for hand-overs, with the stale socket of a process that was killed.
fn create_directory_with_stale_socket() -> PathBuf {
    let directory = std::env::temp_dir().join(format!("quinceflow-upgrade-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    drop(UnixListener::bind(
        directory.join("quinceflow-127.0.0.1-0.sock"),
    ));
    directory
}

#[test]
fn a_successor_takes_over_the_listening_socket_and_its_backlog() {
    // Both processes use one listening socket, so that no backlog is lost with a listener.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let address = serve_constant_list(complete_list(1, &all_in_service(&addresses)));
    let first = Deployment::BASIC.start_with_discovery("upgrade", address, &addresses);
    let temporary = create_directory_with_stale_socket();
    let mut predecessor = first.start_successor(&temporary);
    assert_ne!(
        predecessor.address, first.address,
        "the first process hands over no socket"
    );
    let predecessor_admin = predecessor.admin_address();
    let mut persistent = TcpStream::connect(predecessor.address).expect("the process listens");
    predecessor.wait_until_ready();
    let successor = predecessor.start_successor(&temporary);
    assert_eq!(
        successor.address, predecessor.address,
        "both processes use the same socket"
    );
    let successor_admin = successor.admin_address();
    while call_admin_endpoint(successor_admin, "HEALTH\n") != "YES\n" {}
    assert_eq!(call_admin_endpoint(predecessor_admin, "HEALTH\n"), "YES\n");
    assert_served_on(&mut persistent, "q1", Connection::StaysOpen);

    predecessor.signal("TERM");
    while call_admin_endpoint(predecessor_admin, "HEALTH\n") != "NO it is told to end\n" {}
    assert_lookups_are_served(&successor, 2..12);
    let dump = call_admin_endpoint(successor_admin, "DUMP\n");
    let served = dump_value(&dump, "node.responses.lookup.ok");
    assert_eq!(served, 10, "new connections reach the successor");
    assert_served_on(&mut persistent, "q12", Connection::Closes);
    drop(persistent);
    let exited = predecessor.wait_for_exit();
    assert!(exited, "the process exits once no connection is open");
    assert_eq!(
        query(&successor, "q13", Class("lookup"), Shards(&[0, 1])).status,
        200
    );
    let _ = std::fs::remove_dir_all(&temporary);
}

#[test]
fn a_start_with_invalid_settings_fails_with_their_key() {
    // Settings are checked at the start as at a reload: an invalid value is not replaced by a
    // default.
    let nodes = [DataNode::serving(), DataNode::serving()];
    let (process, _changes) = Deployment::BASIC.start("refused", &nodes);
    for (pointer, value, key) in [
        ("/settings/limits/max-attempts", json!(0), "max-attempts"),
        (
            "/settings/family-info/slices",
            json!(0),
            "family-info.slices",
        ),
        ("/settings/classes/1/deadline", json!(0), "deadline"),
    ] {
        let path = std::env::temp_dir().join(format!(
            "quinceflow-refused-{}-{key}.json",
            std::process::id()
        ));
        std::fs::write(&path, process.configuration_with(pointer, value))
            .expect("the configuration is written");
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_quinceflow"))
            .env("NODE_CONFIG", &path)
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        // The first line is the error, or the event that the process listens. The process is killed
        // in either case.
        let mut line = String::new();
        BufReader::new(child.stderr.take().expect("the standard error is piped"))
            .read_line(&mut line)
            .expect("a line is logged");
        let _ = child.kill();
        assert!(
            !child.wait().expect("the process has exited").success() && line.contains(key),
            "{line}"
        );
        let _ = std::fs::remove_file(&path);
    }
}
