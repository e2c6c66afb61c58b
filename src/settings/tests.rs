//! Tests of the settings: defaults, faults and missing keys.

use super::*;
use serde_json::{json, Value};

/// A settings object that passes every check.
fn valid_object() -> Value {
    json!({
        "balancers": 1,
        "classes": [class_object("lookup"), class_object("survey")],
        "family-info": {"cells": 1, "in-a-row": 1, "slices": 4},
        "limits": {"max-attempts": 3},
        "tick": 5_000_000,
    })
}

fn class_object(name: &str) -> Value {
    json!({
        "aim": 1_000_000_000,
        "deadline": 3_000_000_000_u64,
        "effect": "read_like",
        "name": name,
    })
}

/// The text of the error that validation of the object gives with one change.
fn validation_text(change: impl FnOnce(&mut Value)) -> String {
    let mut object = valid_object();
    change(&mut object);
    let settings = parse_coordinator_settings(object).expect("an object of the right form");
    settings.validate().expect_err("a fault").to_string()
}

#[test]
fn valid_settings_pass_and_get_the_defaults_of_the_wire() {
    let settings = parse_coordinator_settings(valid_object()).expect("settings");
    assert!(settings.validate().is_ok());
    assert_eq!(settings.connect_timeout, 250_000_000);
    assert_eq!(settings.idle_timeout, 15_000_000_000);
    assert_eq!(settings.max_streams_per_connection, 100);
    assert_eq!(settings.max_in_flight, usize::MAX);
    assert_eq!(settings.policy.classes[1].min_share, 1.0);
    assert_eq!(
        (settings.policy.retry_budget, settings.policy.slow_start),
        (None, None)
    );
}

#[test]
fn values_that_must_be_positive_are_reported_by_their_key() {
    let text = |pointer: &str| {
        validation_text(|object| {
            *object
                .pointer_mut(pointer)
                .expect("a value of the valid object") = json!(0)
        })
    };
    assert_eq!(text("/balancers"), "balancers is not above 0");
    assert_eq!(text("/tick"), "tick is not above 0");
    assert_eq!(
        text("/family-info/slices"),
        "family-info.slices is not above 0"
    );
    assert_eq!(
        text("/family-info/cells"),
        "family-info.cells is not above 0"
    );
    assert_eq!(
        text("/family-info/in-a-row"),
        "family-info.in-a-row is not above 0"
    );
    let text = validation_text(|object| object["limits"]["dial-timeout"] = json!(0));
    assert_eq!(text, "limits.dial-timeout is not above 0");
}

#[test]
fn faults_of_classes_are_reported_by_the_name_of_the_class() {
    let text = |change: fn(&mut Value)| validation_text(change);
    assert_eq!(
        text(|object| object["classes"] = json!([])),
        "there are no classes"
    );
    assert_eq!(
        text(|object| object["classes"][0]["name"] = json!("")),
        "class \"\": it has no name"
    );
    assert_eq!(
        text(|object| object["classes"][1]["name"] = json!("lookup")),
        "class \"lookup\": it is named twice"
    );
    assert_eq!(
        text(|object| object["classes"][1]["deadline"] = json!(0)),
        "class \"survey\": its deadline is not above 0"
    );
    assert_eq!(
        text(|object| object["limits"]["max-attempts"] = json!(0)),
        "class \"lookup\": its attempts (limits.max-attempts) are not above 0"
    );
    assert_eq!(
        text(|object| object["family-info"]["class-need"] = json!([1.5])),
        "class \"lookup\": its class-need is no share"
    );
    assert_eq!(
        text(|object| object["family-info"]["least-share"] = json!([1.0, -0.5])),
        "class \"survey\": its least-share is no share"
    );
    assert_eq!(
        text(|object| object["classes"][0]["points"] = json!(-1.0)),
        "class \"lookup\": its worth is below 0"
    );
}

#[test]
fn an_unknown_effect_and_a_wrong_type_are_reported_as_always() {
    let mut object = valid_object();
    object["classes"][1]["effect"] = json!("whimsical");
    let error = parse_coordinator_settings(object).expect_err("an unknown effect");
    assert!(
        matches!(&error, SettingsError::UnknownEffect { index: 1, .. }),
        "{error:?}"
    );
    assert_eq!(error.to_string(), "class 1: unknown effect \"whimsical\"");
    let error = parse_coordinator_settings(json!("none")).expect_err("no object");
    assert!(matches!(&error, SettingsError::Json(_)), "{error:?}");
    assert_eq!(
        error.to_string(),
        "invalid type: string \"none\", expected struct BootInfo"
    );
}

#[test]
fn each_effect_of_the_wire_is_known() {
    use crate::interface::Effect;
    let words = [
        ("read_like", Effect::Idempotent),
        ("idempotency_key", Effect::Deduplicated(7)),
        ("non_idempotent", Effect::NonIdempotent),
    ];
    for (word, effect) in words {
        let mut object = valid_object();
        object["classes"][0]["effect"] = json!(word);
        object["classes"][0]["dedup-window"] = json!(7);
        let settings = parse_policy_settings(&object.to_string()).expect("settings");
        assert_eq!(settings.classes[0].effect, effect);
    }
}

#[test]
fn a_key_that_has_gone_is_found_at_any_depth() {
    let old = json!({"a": {"b": 1}, "list": [{"c": 1, "look-back": 2}], "look-back": 3});
    assert_eq!(find_missing_key(&old, &old), None);
    let missing = |new: Value| find_missing_key(&old, &new);
    assert_eq!(
        missing(json!({"a": {"b": 9}, "list": [], "more": 1})),
        None,
        "optional keys and list lengths"
    );
    assert_eq!(missing(json!({"list": []})), Some("a".to_owned()));
    assert_eq!(
        missing(json!({"a": {}, "list": []})),
        Some("a.b".to_owned())
    );
    assert_eq!(
        missing(json!({"a": 4, "list": []})),
        Some("a.b".to_owned()),
        "no object any more"
    );
    assert_eq!(
        missing(json!({"a": {"b": 1}, "list": [{"c": 1}, {}]})),
        Some("list.c".to_owned())
    );
}

/// Guards against an optional key that is reported as missing where an object changed its type.
#[test]
fn an_optional_key_is_never_missing() {
    let old = json!({"limits": {"extra-floor": 1, "max-attempts": 2}, "other": {"look-back": 3}});
    let missing = |new: Value| find_missing_key(&old, &new);
    let changed = json!({"limits": 5, "other": {}});
    assert_eq!(missing(changed), Some("limits.max-attempts".to_owned()));
    assert_eq!(
        missing(json!({"limits": {"max-attempts": 1}, "other": null})),
        None
    );
}
