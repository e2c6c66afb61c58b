//! Log events of the configuration and of discovery.

use crate::standin::data_node::{addresses_of, DataNode};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{all_in_service, complete_list, ControlledDiscovery};
use crate::support::{refusing_address, LoggingProcess};
use serde_json::json;
use std::net::Shutdown;

#[test]
fn a_coordinator_logs_its_reloads_and_the_failures_of_discovery() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = refusing_address();
    let configuration = Deployment::BASIC.configuration(discovery, &addresses);
    let mut unusable_list = configuration.clone();
    unusable_list["known"] = json!("no list");
    let process = LoggingProcess::start_platform_front("discovery", &unusable_list);
    let mut rejected_list = process.wait_for("cached endpoint list rejected");
    assert!(!rejected_list.take_field("error").is_empty());
    rejected_list.assert("WARN", json!({}));
    // A SIGHUP that is sent before this event may arrive before the process handles the signal.
    process.wait_for("admin endpoint listening");
    let mut failed = process.wait_for("discovery watch failed");
    failed.take_field_containing("error", "refused");
    failed.assert("WARN", json!({"revision": 0}));
    process.signal("HUP");
    let classes = json!({"discovery": discovery.to_string(), "classes": "lookup brief send"});
    process
        .wait_for("configuration reloaded")
        .assert("INFO", classes);
    std::fs::write(
        process.directory.join("config.json"),
        "{\"discovery\":\"nowhere\"}",
    )
    .expect("the configuration is written");
    process.signal("HUP");
    let mut rejected = process.wait_for("configuration reload rejected");
    rejected.take_field_containing("error", "config.json: ");
    rejected.assert("WARN", json!({}));
}

#[test]
fn a_stale_list_and_a_closed_watch_are_logged_with_their_versions() {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = addresses_of(&nodes);
    let discovery = ControlledDiscovery::new();
    let configuration = Deployment::BASIC.configuration(discovery.address(), &addresses);
    let process = LoggingProcess::start_platform_front("stale", &configuration);
    let mut watch = discovery.answer_watch(&complete_list(7, &all_in_service(&addresses)));
    watch.send(&complete_list(6, &all_in_service(&addresses)));
    process
        .wait_for("stale endpoint list: only its drains, removals and restarts are applied")
        .assert("WARN", json!({"version": 6, "current_version": 7}));
    watch
        .stream
        .shutdown(Shutdown::Write)
        .expect("the watch is open");
    process
        .wait_for("discovery watch closed by the server")
        .assert("INFO", json!({"revision": 7}));
}
