//! Log events of the start and of the hand-over to a successor.

use crate::standin::data_node::{addresses_of, DataNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{all_in_service, complete_list, serve_constant_list};
use crate::standin::http::bind_loopback;
use crate::support::{
    create_directory, create_short_directory, platform_command, refusing_address, write_edge_file,
    write_inventory, LoggingProcess,
};
use serde_json::json;
use std::io::Write;
use std::os::unix::net::UnixListener;

#[test]
fn both_processes_of_a_hand_over_log_it() {
    let nodes = [DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = serve_constant_list(complete_list(1, &all_in_service(&addresses)));
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let temporary = create_short_directory("both");
    let predecessor =
        LoggingProcess::start_with_hand_over("predecessor", &configuration, &temporary);
    predecessor.wait_for("listening for client connections");
    let successor = LoggingProcess::start_with_hand_over("successor", &configuration, &temporary);
    successor
        .wait_for("listening sockets received from predecessor")
        .assert("INFO", json!({"service": "n0"}));
    let handed_over = predecessor.wait_for("listening sockets handed over to successor");
    handed_over.assert("INFO", json!({"socket_count": 1}));
    let _ = std::fs::remove_dir_all(&temporary);
}

/// Guards against an event by which a service received a socket that it opened itself.
#[test]
fn only_a_service_whose_socket_was_handed_over_logs_it() {
    let nodes = [DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = serve_constant_list(complete_list(1, &all_in_service(&addresses)));
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let temporary = create_short_directory("one-of-two");
    let predecessor = LoggingProcess::start_with_hand_over("one-front", &configuration, &temporary);
    predecessor.wait_for("listening for client connections");
    // The successor has a second front, for feature queries.
    let directory = create_directory("two-fronts");
    write_edge_file(&directory, "");
    write_inventory(&directory, "a,127.0.0.1:9,devices,\n");
    let mut command = platform_command(&directory, &configuration);
    command
        .env("TMPDIR", &temporary)
        .arg("--edge")
        .arg(directory.join("edge.toml"));
    let successor = LoggingProcess::spawn(command, directory);
    let events = successor.collect_until("listening for client connections", 2);
    let received: Vec<_> = events
        .iter()
        .filter(|fields| fields["message"] == "listening sockets received from predecessor")
        .map(|fields| &fields["service"])
        .collect();
    assert_eq!(received, ["n0"]);
    let _ = std::fs::remove_dir_all(&temporary);
}

#[test]
fn failed_hand_overs_are_logged_by_both_sides() {
    let nodes = [DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = serve_constant_list(complete_list(1, &all_in_service(&addresses)));
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let temporary = create_short_directory("failed");
    let path = temporary.join("quinceflow-127.0.0.1-0.sock");
    let other_program = UnixListener::bind(&path).expect("the listener is bound");
    std::thread::spawn(move || {
        // The connections are kept open: closing one with unread input would reset it, and the
        // process might not read the version.
        let mut open = Vec::new();
        for mut connection in other_program.incoming().flatten() {
            let _ = connection.write_all(b"another version\n");
            open.push(connection);
        }
    });
    let process = LoggingProcess::start_with_hand_over("other", &configuration, &temporary);
    let mut failed = process.wait_for("socket hand-over from predecessor failed");
    assert_eq!(failed.take_field("path"), path.display().to_string());
    failed.take_field_containing("error", "another version of the hand-over protocol");
    failed.assert("WARN", json!({}));
    process.wait_for("listening for client connections");
    let mut connection =
        std::os::unix::net::UnixStream::connect(&path).expect("the process waits for a successor");
    connection
        .write_all(b"quinceflow hand-over 0\n")
        .expect("the process reads");
    let mut failed = process.wait_for("socket hand-over to successor failed");
    failed.take_field_containing("error", "another version of the hand-over protocol");
    failed.assert("WARN", json!({}));
    let _ = std::fs::remove_dir_all(&temporary);
}

#[test]
fn errors_at_the_start_are_logged_with_their_path_or_address() {
    let nodes = [DataNode::serving()];
    let mut configuration =
        Deployment::BASIC.configuration(refusing_address(), &addresses_of(&nodes));
    let in_use = bind_loopback();
    let admin_address = in_use
        .local_addr()
        .expect("the listener is bound")
        .to_string();
    configuration["mgmt"] = json!(admin_address);
    let temporary = create_short_directory("long").join("long-name-".repeat(12));
    std::fs::create_dir_all(&temporary).expect("the directory is created");
    let process = LoggingProcess::start_with_hand_over("faults", &configuration, &temporary);
    let mut not_offered = process.wait_for("listening sockets cannot be offered to a successor");
    not_offered.take_field_containing("path", "quinceflow-127.0.0.1-0.sock");
    assert!(!not_offered.take_field("error").is_empty());
    not_offered.assert("WARN", json!({}));
    let mut not_started = process.wait_for("admin endpoint not started");
    not_started.take_field_containing("error", &format!("cannot listen on {admin_address}: "));
    not_started.assert("WARN", json!({}));
    let _ = std::fs::remove_dir_all(temporary.parent().expect("the directory has a parent"));
    let unusable = LoggingProcess::start_platform_front("unusable", &json!({"listen": "nowhere"}));
    let mut error = unusable.wait_for("exiting with an error");
    error.take_field_containing("error", "config.json: ");
    error.assert("ERROR", json!({}));
}
