//! Tests of the keys of an edge file and their defaults.

use super::{parse, EVERY_KEY, REQUIRED_KEYS};
use std::path::Path;

#[test]
fn keys_of_earlier_versions_are_read() {
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
        edge.cursor_key().expect("the key is valid"),
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
fn limits_of_earlier_versions_are_read() {
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
fn slow_start_of_earlier_versions_is_read() {
    let edge = parse(EVERY_KEY);
    let slow_start = edge.slow_start.as_ref().expect("the file has a slow start");
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
fn classes_of_earlier_versions_are_read() {
    let edge = parse(EVERY_KEY);
    let [class] = edge.classes.as_slice() else {
        panic!("not exactly one class")
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
fn collections_of_earlier_versions_are_read() {
    let edge = parse(EVERY_KEY);
    let [collection] = edge.collections.as_slice() else {
        panic!("not exactly one collection")
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
    assert_eq!(
        collection
            .queryables()
            .expect("the file declares queryables")
            .named
            .len(),
        7
    );
}

#[test]
fn omitted_keys_have_defaults() {
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
    assert_eq!(edge.cursor_key().expect("a key is generated").len(), 32);
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
fn omitted_tables_and_their_keys_have_defaults() {
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
