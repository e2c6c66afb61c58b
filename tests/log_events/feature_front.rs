//! Log events of the feature front.

use crate::standin::feature_server::{inventory_row, FeatureServer};
use crate::standin::process::Process;
use crate::support::{write_inventory, LogEvent, LoggingProcess};
use serde_json::json;

#[test]
fn the_feature_front_logs_its_start_reloads_counters_and_shutdown() {
    let server = FeatureServer::healthy(0..6, 2);
    let row = inventory_row("a", &server, "devices");
    let process = LoggingProcess::start_feature_front("edge", &row);
    let mut listening = process.wait_for("listening for client connections");
    listening.take_bound_address("address");
    listening.assert("INFO", json!({"service": "feature queries"}));
    let mut admin = process.wait_for("admin endpoint listening");
    admin.take_bound_address("address");
    admin.assert("INFO", json!({}));
    let second = FeatureServer::healthy(0..6, 2);
    write_inventory(
        &process.directory,
        &(row + &inventory_row("b", &second, "devices")),
    );
    process.signal("HUP");
    process
        .wait_for("inventory reloaded")
        .assert("INFO", json!({"servers": 2}));
    write_inventory(&process.directory, "a,nowhere,devices,\n");
    process.signal("HUP");
    let mut rejected = process.wait_for("inventory reload rejected");
    rejected.take_field_containing("error", "i.csv:2: address: ");
    rejected.assert("WARN", json!({}));
    process.signal("USR1");
    assert_counters(&process.wait_for("counters"));
    process.signal("TERM");
    process
        .wait_for("graceful shutdown started")
        .assert("INFO", json!({"pending_queries": 0}));
    process
        .wait_for("shutdown complete")
        .assert("INFO", json!({"pending_queries": 0}));
    assert_counters(&process.wait_for("counters"));
}

/// Asserts that each field is a number, and that one reload was counted as applied and one as
/// rejected.
fn assert_counters(counters: &LogEvent) {
    assert_eq!(counters.level, "INFO");
    let fields = counters.fields.as_object().expect("the event has fields");
    let numbers = fields.iter().filter(|(name, _)| *name != "message");
    assert!(
        numbers.clone().all(|(_, value)| value.is_u64()),
        "{fields:?}"
    );
    let value_of = |name: &str| fields[name].as_u64().expect("the field is a number");
    assert_eq!(
        (
            value_of("reloads"),
            value_of("bad_reloads"),
            value_of("broken_invariants")
        ),
        (1, 1, 0)
    );
    assert!(numbers.count() > 30, "{fields:?}");
}

#[test]
fn a_text_line_has_the_level_the_message_and_the_fields() {
    let server = FeatureServer::healthy(0..6, 2);
    let admin = "mgmt = \"127.0.0.1:0\"";
    let process =
        Process::start_feature_front("log-text", admin, &inventory_row("a", &server, "devices"));
    // A SIGHUP that is sent before the admin endpoint listens may arrive before the process handles
    // the signal.
    process.admin_address();
    process.signal("HUP");
    assert_eq!(
        process.wait_for_log("inventory"),
        "quinceflow: INFO inventory reloaded servers=1"
    );
    process.write_inventory("a,nowhere,devices,\n");
    process.signal("HUP");
    let rejected = process.wait_for_log("inventory");
    assert!(
        rejected.starts_with("quinceflow: WARN inventory reload rejected error="),
        "{rejected}"
    );
}
