//! Tests of the settings: defaults, invalid values and missing keys.

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

/// Returns the text of the error that validation of the valid object reports after one change.
fn validation_error(change: impl FnOnce(&mut Value)) -> String {
    let mut object = valid_object();
    change(&mut object);
    let settings = parse_coordinator_settings(object).expect("the object has the right form");
    settings
        .validate()
        .expect_err("a value is invalid")
        .to_string()
}

#[test]
fn valid_settings_pass_and_get_the_defaults_of_the_wire_protocol() {
    let settings = parse_coordinator_settings(valid_object()).expect("the settings are valid");
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
        validation_error(|object| {
            *object
                .pointer_mut(pointer)
                .expect("the valid object has the value") = json!(0)
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
    let text = validation_error(|object| object["limits"]["dial-timeout"] = json!(0));
    assert_eq!(text, "limits.dial-timeout is not above 0");
}

#[test]
fn invalid_values_of_classes_are_reported_with_the_name_of_the_class() {
    let text = |change: fn(&mut Value)| validation_error(change);
    assert_eq!(
        text(|object| object["classes"] = json!([])),
        "the list of classes is empty"
    );
    assert_eq!(
        text(|object| object["classes"][0]["name"] = json!("")),
        "class \"\": its name is empty"
    );
    assert_eq!(
        text(|object| object["classes"][1]["name"] = json!("lookup")),
        "class \"lookup\": an earlier class has the same name"
    );
    assert_eq!(
        text(|object| object["classes"][1]["deadline"] = json!(0)),
        "class \"survey\": its deadline is not above 0"
    );
    assert_eq!(
        text(|object| object["limits"]["max-attempts"] = json!(0)),
        "class \"lookup\": its maximum number of attempts (limits.max-attempts) is not above 0"
    );
    assert_eq!(
        text(|object| object["family-info"]["class-need"] = json!([1.5])),
        "class \"lookup\": its class-need is not between 0 and 1"
    );
    assert_eq!(
        text(|object| object["family-info"]["least-share"] = json!([1.0, -0.5])),
        "class \"survey\": its least-share is not between 0 and 1"
    );
    assert_eq!(
        text(|object| object["classes"][0]["points"] = json!(-1.0)),
        "class \"lookup\": its points or late-worth is below 0"
    );
}

#[test]
fn unknown_effect_and_wrong_type_are_reported() {
    let mut object = valid_object();
    object["classes"][1]["effect"] = json!("whimsical");
    let error = parse_coordinator_settings(object).expect_err("the effect is unknown");
    assert!(
        matches!(&error, SettingsError::UnknownEffect { index: 1, .. }),
        "{error:?}"
    );
    assert_eq!(error.to_string(), "class 1: unknown effect \"whimsical\"");
    let error = parse_coordinator_settings(json!("none")).expect_err("the value is not an object");
    assert!(matches!(&error, SettingsError::Json(_)), "{error:?}");
    assert_eq!(
        error.to_string(),
        "invalid type: string \"none\", expected struct BootInfo"
    );
}

#[test]
fn each_effect_of_the_wire_protocol_is_parsed() {
    use crate::interface::Effect;
    let effects = [
        ("read_like", Effect::Idempotent),
        ("idempotency_key", Effect::Deduplicated(7)),
        ("non_idempotent", Effect::NonIdempotent),
    ];
    for (name, effect) in effects {
        let mut object = valid_object();
        object["classes"][0]["effect"] = json!(name);
        object["classes"][0]["dedup-window"] = json!(7);
        let settings = parse_policy_settings(&object.to_string()).expect("the settings are valid");
        assert_eq!(settings.classes[0].effect, effect);
    }
}

#[test]
fn missing_key_is_found_at_any_depth() {
    let old = json!({"a": {"b": 1}, "list": [{"c": 1, "look-back": 2}], "look-back": 3});
    assert_eq!(find_missing_key(&old, &old), None);
    let missing = |new: Value| find_missing_key(&old, &new);
    assert_eq!(
        missing(json!({"a": {"b": 9}, "list": [], "more": 1})),
        None,
        "new keys and shorter lists are allowed"
    );
    assert_eq!(missing(json!({"list": []})), Some("a".to_owned()));
    assert_eq!(
        missing(json!({"a": {}, "list": []})),
        Some("a.b".to_owned())
    );
    assert_eq!(
        missing(json!({"a": 4, "list": []})),
        Some("a.b".to_owned()),
        "the new value is not an object"
    );
    assert_eq!(
        missing(json!({"a": {"b": 1}, "list": [{"c": 1}, {}]})),
        Some("list.c".to_owned())
    );
}

/// Guards against reporting an optional key as missing where a value of another type replaces an
/// object.
#[test]
fn optional_key_is_never_reported_as_missing() {
    let old = json!({"limits": {"extra-floor": 1, "max-attempts": 2}, "other": {"look-back": 3}});
    let missing = |new: Value| find_missing_key(&old, &new);
    let changed = json!({"limits": 5, "other": {}});
    assert_eq!(missing(changed), Some("limits.max-attempts".to_owned()));
    assert_eq!(
        missing(json!({"limits": {"max-attempts": 1}, "other": null})),
        None
    );
}
