//! Tests of the edge file: keys, defaults, mapping and errors.

use super::{EdgeConfig, EdgeConfigError, ValueError};
use crate::interface::Effect;
use crate::limits::LimitRule;
use std::path::Path;

/// An edge file with every key of version 0.1.0. Operators use files like it, so it must stay
/// readable.
const EVERY_KEY: &str = r#"
listen = "127.0.0.1:8080"
mgmt = "127.0.0.1:8081"
inventory = "servers.csv"
coordinators = 2
attempts = 3
most_held = 401
sockets = 1025
memory_mb = 193
default_limit = 101
most_limit = 5001
page_size = 501
at_once = 9
cursor_key = "000102030405060708090a0b0c0d0e0f"
cursor_age_s = 3601
learned_age_s = 601
most_filter_text = 2001
most_pages = 201
most_bytes = 4194305
most_connections = 33
dial_timeout_ms = 251
idle_ms = 4001
retry_after_ms = 2001

[limits]
mode = "fixed"
start = 9
least = 3
repeats = 0.5
admission = false

[warm_up]
start = 0.2
ms = 17000
factor = 2.5
span_ms = 1500

[[class]]
name = "map"
aim_ms = 2000
deadline_ms = 6000
floor = 0.8
effect = "unsafe"
worth = 2.0
late_worth = 0.1

[[collection]]
id = "devices"
title = "Customer devices"
description = "Devices that can be sent alerts"
same_order = true
bbox = [-121.0, 37.0, -119.0, 39.0]
queryables = { name = "text", volts = "number", live = "bool", installed = "time", geometry = "geometry", tags = "array", rest = "any" }
"#;

/// The keys that every edge file needs.
const REQUIRED_KEYS: &str = r#"
listen = "127.0.0.1:0"
inventory = "servers.csv"
[[class]]
name = "map"
aim_ms = 2000
deadline_ms = 6000
"#;

fn parse(text: &str) -> EdgeConfig {
    toml::from_str(text).expect("an edge file")
}

fn syntax_error(text: &str) -> String {
    toml::from_str::<EdgeConfig>(text)
        .expect_err("no edge file")
        .message()
        .to_owned()
}

#[test]
fn every_key_of_an_earlier_file_is_read() {
    let edge = parse(EVERY_KEY);
    assert_eq!(edge.validate().len(), 0);
    assert_eq!(edge.listen.to_string(), "127.0.0.1:8080");
    assert_eq!(
        edge.mgmt.map(|a| a.to_string()).as_deref(),
        Some("127.0.0.1:8081")
    );
    assert_eq!(edge.inventory, Path::new("servers.csv"));
    assert_eq!((edge.coordinators, edge.max_attempts), (2, 3));
    assert_eq!(
        (edge.max_in_flight, edge.max_descriptors, edge.memory_mb),
        (401, 1025, 193)
    );
    assert_eq!(
        (edge.default_limit, edge.max_limit, edge.page_size),
        (101, 5001, 501)
    );
    assert_eq!(edge.max_initial_shards, 9);
    assert_eq!(
        edge.cursor_key().expect("a key"),
        (0..16).collect::<Vec<u8>>()
    );
    assert_eq!(
        (edge.cursor_max_age_s, edge.capability_max_age_s),
        (3601, 601)
    );
    assert_eq!(
        (edge.max_filter_text, edge.max_pages, edge.max_bytes),
        (2001, 201, 4_194_305)
    );
    assert_eq!((edge.max_connections, edge.dial_timeout_ms), (33, 251));
    assert_eq!(
        (edge.idle_timeout_ms, edge.max_retry_after_ms),
        (4001, 2001)
    );
}

#[test]
fn the_limits_of_an_earlier_file_are_read() {
    let edge = parse(EVERY_KEY);
    assert_eq!(
        (
            edge.limits.mode.as_str(),
            edge.limits.initial,
            edge.limits.min
        ),
        ("fixed", 9, 3)
    );
    assert_eq!(
        (edge.limits.retry_ratio, edge.limits.admission),
        (0.5, false)
    );
}

#[test]
fn the_slow_start_of_an_earlier_file_is_read() {
    let edge = parse(EVERY_KEY);
    let slow_start = edge.slow_start.as_ref().expect("a slow start");
    assert_eq!(
        (slow_start.initial_capacity, slow_start.warm_up_ms),
        (0.2, 17_000)
    );
    assert_eq!(
        (slow_start.overload_factor, slow_start.overload_window_ms),
        (2.5, 1_500)
    );
}

#[test]
fn the_classes_of_an_earlier_file_are_read() {
    let edge = parse(EVERY_KEY);
    let [class] = edge.classes.as_slice() else {
        panic!("one class")
    };
    assert_eq!(
        (class.name.as_str(), class.effect.as_str()),
        ("map", "unsafe")
    );
    assert_eq!(
        (class.latency_objective_ms, class.deadline_ms),
        (2_000, 6_000)
    );
    assert_eq!(
        (class.min_share, class.priority_weight, class.late_weight),
        (0.8, 2.0, 0.1)
    );
}

#[test]
fn the_collections_of_an_earlier_file_are_read() {
    let edge = parse(EVERY_KEY);
    let [collection] = edge.collections.as_slice() else {
        panic!("one collection")
    };
    assert_eq!(
        (collection.id.as_str(), collection.same_order),
        ("devices", true)
    );
    assert_eq!(collection.title.as_deref(), Some("Customer devices"));
    assert_eq!(
        collection.description.as_deref(),
        Some("Devices that can be sent alerts")
    );
    assert_eq!(collection.bbox, Some([-121.0, 37.0, -119.0, 39.0]));
    assert_eq!(collection.queryables().expect("queryables").named.len(), 7);
}

#[test]
fn keys_that_are_left_out_have_their_defaults() {
    let edge = parse(REQUIRED_KEYS);
    assert_eq!(edge.validate().len(), 0);
    assert_eq!(edge.mgmt, None);
    assert_eq!((edge.coordinators, edge.max_attempts), (1, 4));
    assert_eq!(
        (edge.max_in_flight, edge.max_descriptors, edge.memory_mb),
        (400, 1024, 192)
    );
    assert_eq!(
        (edge.default_limit, edge.max_limit, edge.page_size),
        (100, 5000, 500)
    );
    assert_eq!(edge.max_initial_shards, 8);
    assert_eq!(edge.cursor_key().expect("a drawn key").len(), 32);
    assert_eq!(
        (edge.cursor_max_age_s, edge.capability_max_age_s),
        (3600, 600)
    );
    assert_eq!(
        (edge.max_filter_text, edge.max_pages, edge.max_bytes),
        (2000, 200, 4_194_304)
    );
    assert_eq!((edge.max_connections, edge.dial_timeout_ms), (32, 250));
    assert_eq!(
        (edge.idle_timeout_ms, edge.max_retry_after_ms),
        (4000, 2000)
    );
}

#[test]
fn tables_and_keys_of_tables_that_are_left_out_have_their_defaults() {
    let edge = parse(REQUIRED_KEYS);
    assert!(edge.slow_start.is_none());
    assert_eq!(edge.collections.len(), 0);
    assert_eq!(
        (
            edge.limits.mode.as_str(),
            edge.limits.initial,
            edge.limits.min
        ),
        ("adaptive", 8, 2)
    );
    assert_eq!(
        (edge.limits.retry_ratio, edge.limits.admission),
        (0.25, true)
    );
    let class = &edge.classes[0];
    assert_eq!((class.effect.as_str(), class.min_share), ("safe", 1.0));
    assert_eq!((class.priority_weight, class.late_weight), (1.0, 0.0));
}

#[test]
fn a_file_becomes_the_rule_of_the_limits() {
    let edge = parse(EVERY_KEY);
    assert!(matches!(edge.concurrency_rule(), LimitRule::Fixed(33)));
    let adaptive = parse(REQUIRED_KEYS).concurrency_rule();
    assert!(matches!(
        adaptive,
        LimitRule::Adaptive {
            initial: 8,
            min: 2,
            max: 32
        }
    ));
}

#[test]
fn a_file_becomes_the_settings_of_the_module() {
    let settings = parse(EVERY_KEY).settings();
    assert_eq!(
        (settings.coordinators, settings.tick, settings.shards),
        (2, 5_000_000, 0)
    );
    assert_eq!(settings.max_retry_after, Some(2_001_000_000));
    let budget = settings.retry_budget.expect("a retry budget");
    assert_eq!(
        (budget.ratio, budget.free, budget.window),
        (0.5, 10.0, 10_000_000_000)
    );
    let slow_start = settings.slow_start.expect("a slow start");
    assert_eq!(
        (slow_start.initial_capacity, slow_start.warm_up),
        (0.2, 17_000_000_000)
    );
    assert_eq!(
        (slow_start.overload_factor, slow_start.overload_window),
        (2.5, 1_500_000_000)
    );
}

#[test]
fn a_class_of_a_file_becomes_the_settings_of_the_module() {
    let settings = parse(EVERY_KEY).settings();
    let class = &settings.classes[0];
    assert_eq!(
        (class.latency_objective, class.deadline),
        (2_000_000_000, 6_000_000_000)
    );
    assert_eq!(
        (class.effect, class.max_attempts),
        (Effect::NonIdempotent, 3)
    );
    assert_eq!(
        (class.min_share, class.priority_weight, class.late_weight),
        (0.8, 2.0, 0.1)
    );
}

#[test]
fn unknown_keys_and_wrong_types_are_rejected_in_the_words_of_earlier_versions() {
    let unknown = syntax_error(&format!("most_hold = 1\n{REQUIRED_KEYS}"));
    assert!(
        unknown.starts_with(
            "unknown field `most_hold`, expected one of `listen`, `mgmt`, `inventory`,"
        ),
        "{unknown}"
    );
    let without = |key: &str| {
        let lines = REQUIRED_KEYS.lines().filter(|line| !line.starts_with(key));
        syntax_error(&lines.collect::<Vec<_>>().join("\n"))
    };
    assert_eq!(without("aim_ms"), "missing field `aim_ms`");
    for (line, expected) in [
        ("limits = 1", "struct Limits"),
        ("warm_up = 1", "struct WarmUp"),
        ("collection = [1]", "struct Collection"),
    ] {
        let text = syntax_error(&format!("{line}\n{REQUIRED_KEYS}"));
        assert_eq!(
            text,
            format!("invalid type: integer `1`, expected {expected}")
        );
    }
    let class = syntax_error("listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\nclass = [1]\n");
    assert_eq!(
        class,
        "invalid type: integer `1`, expected struct EdgeClass"
    );
}

/// A line of [`EVERY_KEY`] whose value is put out of range, and the expected error.
struct OutOfRange {
    line: &'static str,
    replacement: &'static str,
    /// Anchor and message of the only issue.
    issue: &'static str,
}

const OUT_OF_RANGE: &[OutOfRange] = &[
    OutOfRange {
        line: "name = \"map\"",
        replacement: "name = \"\"",
        issue: "\"\": class \"\": its name is empty",
    },
    OutOfRange {
        line: "aim_ms = 2000",
        replacement: "aim_ms = 0",
        issue: "\"map\": class \"map\": aim_ms must be above 0 and at most deadline_ms",
    },
    OutOfRange {
        line: "deadline_ms = 6000",
        replacement: "deadline_ms = 1",
        issue: "\"map\": class \"map\": aim_ms must be above 0 and at most deadline_ms",
    },
    OutOfRange {
        line: "floor = 0.8",
        replacement: "floor = 1.1",
        issue: "\"map\": class \"map\": floor must be above 0 and at most 1",
    },
    OutOfRange {
        line: "effect = \"unsafe\"",
        replacement: "effect = \"x\"",
        issue: "\"map\": class \"map\": effect must be safe or unsafe",
    },
    OutOfRange {
        line: "volts = \"number\"",
        replacement: "volts = \"x\"",
        issue: "volts: collection \"devices\": queryable \"volts\" is of no kind that is known",
    },
    OutOfRange {
        line: "mode = \"fixed\"",
        replacement: "mode = \"x\"",
        issue: "mode: limits: mode must be adaptive or fixed",
    },
    OutOfRange {
        line: "least = 3",
        replacement: "least = 10",
        issue: "least: limits: least must be above 0 and at most start",
    },
    OutOfRange {
        line: "repeats = 0.5",
        replacement: "repeats = 10.5",
        issue: "repeats: limits: repeats must be from 0 to 10",
    },
    OutOfRange {
        line: "0e0f\"",
        replacement: "0e\"",
        issue: "cursor_key: cursor_key must be 32 hexadecimal digits or more, an even number",
    },
    OutOfRange {
        line: "page_size = 501",
        replacement: "page_size = 0",
        issue: "page_size: page_size must be above 0",
    },
    OutOfRange {
        line: "attempts = 3",
        replacement: "attempts = 0",
        issue: "attempts: attempts must be above 0",
    },
];

#[test]
fn each_value_out_of_range_has_its_error_and_text() {
    for case in OUT_OF_RANGE {
        let text = EVERY_KEY.replacen(case.line, case.replacement, 1);
        assert_ne!(text, EVERY_KEY, "{}", case.line);
        let issues: Vec<_> = parse(&text)
            .validate()
            .iter()
            .map(|issue| format!("{}: {}", issue.anchor, issue.error))
            .collect();
        assert_eq!(issues, [case.issue], "{}", case.replacement);
    }
}

#[test]
fn classes_are_named_once_and_one_is_needed() {
    let mut edge = parse(EVERY_KEY);
    edge.classes.push(edge.classes[0].clone());
    assert_eq!(
        edge.validate()[0].error.to_string(),
        "class \"map\": is there twice"
    );
    edge.classes.clear();
    assert!(matches!(edge.validate()[0].error, ValueError::NoClass));
    assert_eq!(
        edge.validate()[0].error.to_string(),
        "a [[class]] is needed"
    );
}

#[test]
fn errors_of_a_file_begin_with_its_path() {
    let missing = EdgeConfig::load(Path::new("deploy/none.toml")).expect_err("there is none");
    assert!(matches!(missing, EdgeConfigError::Io { .. }));
    assert!(
        missing.to_string().starts_with("deploy/none.toml: "),
        "{missing}"
    );
    let other = EdgeConfig::load(Path::new("Cargo.toml")).expect_err("it is another file");
    assert!(matches!(other, EdgeConfigError::Syntax { .. }));
    assert!(
        other
            .to_string()
            .starts_with("Cargo.toml: TOML parse error at line "),
        "{other}"
    );
}
