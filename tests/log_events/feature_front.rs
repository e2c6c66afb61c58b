//! Log events of the front for feature queries.

use crate::standin::feature_server::{inventory_row, FeatureServer};
use crate::standin::process::Process;
use crate::support::{write_inventory, LogEvent, LoggingProcess};
use serde_json::json;

#[test]
fn an_edge_logs_its_start_reloads_counters_and_shutdown() {
    let server = FeatureServer::healthy(0..6, 2);
    let row = inventory_row("a", &server, "devices");
    let edge = LoggingProcess::start_feature_front("edge", &row);
    let mut listening = edge.wait_for("listening for client connections");
    listening.take_bound_address("address");
    listening.assert("INFO", json!({"service": "feature queries"}));
    let mut admin = edge.wait_for("admin endpoint listening");
    admin.take_bound_address("address");
    admin.assert("INFO", json!({}));
    let second = FeatureServer::healthy(0..6, 2);
    write_inventory(
        &edge.folder,
        &(row + &inventory_row("b", &second, "devices")),
    );
    edge.signal("HUP");
    edge.wait_for("inventory reloaded")
        .assert("INFO", json!({"servers": 2}));
    write_inventory(&edge.folder, "a,nowhere,devices,\n");
    edge.signal("HUP");
    let mut rejected = edge.wait_for("inventory reload rejected");
    rejected.take_field_containing("error", "i.csv:2: address: ");
    rejected.assert("WARN", json!({}));
    edge.signal("USR1");
    assert_counters(&edge.wait_for("counters"));
    edge.signal("TERM");
    edge.wait_for("graceful shutdown started")
        .assert("INFO", json!({"pending_queries": 0}));
    edge.wait_for("shutdown complete")
        .assert("INFO", json!({"pending_queries": 0}));
    assert_counters(&edge.wait_for("counters"));
}

/// Asserts that each field is a number, and the values after one reload that was applied and one
/// that was rejected.
fn assert_counters(counters: &LogEvent) {
    assert_eq!(counters.level, "INFO");
    let fields = counters.fields.as_object().expect("fields");
    let numbers = fields.iter().filter(|(name, _)| *name != "message");
    assert!(
        numbers.clone().all(|(_, value)| value.is_u64()),
        "{fields:?}"
    );
    let of = |name: &str| fields[name].as_u64().expect("a number");
    assert_eq!(
        (of("reloads"), of("bad_reloads"), of("broken_invariants")),
        (1, 1, 0)
    );
    assert!(numbers.count() > 30, "{fields:?}");
}

#[test]
fn a_text_line_has_the_level_the_message_and_the_fields() {
    let server = FeatureServer::healthy(0..6, 2);
    let admin = "mgmt = \"127.0.0.1:0\"";
    let edge =
        Process::start_feature_front("log-text", admin, &inventory_row("a", &server, "devices"));
    // A SIGHUP before that line may come before the process handles it.
    edge.admin_address();
    edge.signal("HUP");
    assert_eq!(
        edge.wait_for_log("inventory"),
        "quinceflow: INFO inventory reloaded servers=1"
    );
    edge.write_inventory("a,nowhere,devices,\n");
    edge.signal("HUP");
    let rejected = edge.wait_for_log("inventory");
    assert!(
        rejected.starts_with("quinceflow: WARN inventory reload rejected error="),
        "{rejected}"
    );
}
