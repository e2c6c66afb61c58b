//! Tests of the platform's configuration file and its reload.

use super::*;
use serde_json::json;

/// Returns the content of a valid file.
fn file() -> Value {
    json!({
        "name": "node-1",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:7000",
        "mgmt": "127.0.0.1:9000",
        "seed": "ff",
        "limits": {"sockets": 64},
        "known": [{"any": "form"}],
        "settings": {
            "balancers": 1,
            "classes": [{"aim": 1, "deadline": 3, "effect": "read_like", "name": "lookup"}],
            "family-info": {"cells": 1, "in-a-row": 1, "slices": 4},
            "limits": {"max-attempts": 3},
            "tick": 5,
        },
    })
}

fn parse(file: &Value) -> Result<Config, ConfigFileError> {
    Config::parse(file.to_string().as_bytes(), EnvironmentOverrides::default())
}

/// Returns the text of the error of a file with one change.
fn error_text(change: impl FnOnce(&mut Value)) -> String {
    let mut file = file();
    change(&mut file);
    parse(&file).expect_err("the file is invalid").to_string()
}

#[test]
fn the_environment_takes_precedence_over_the_file() {
    let environment = EnvironmentOverrides {
        listen: Some("127.0.0.2:80".to_owned()),
        discovery: Some("127.0.0.2:70".to_owned()),
        admin: None,
        name: Some("other".to_owned()),
    };
    let config =
        Config::parse(file().to_string().as_bytes(), environment).expect("the file is valid");
    assert_eq!(config.name, "other");
    assert_eq!(config.listen.to_string(), "127.0.0.2:80");
    assert_eq!(config.discovery.to_string(), "127.0.0.2:70");
    assert_eq!(
        config.file_discovery.map(|address| address.to_string()),
        Some("127.0.0.1:7000".to_owned())
    );
    assert_eq!(config.admin.map(|address| address.port()), Some(9000));
    assert_eq!(
        (config.seed, config.max_descriptors, config.max_memory_bytes),
        (0xff, 64, 192 * 1024 * 1024)
    );
    assert_eq!(config.cached_endpoints, br#"[{"any":"form"}]"#);
}

#[test]
fn a_seed_that_is_not_hexadecimal_is_hashed() {
    assert_eq!(parse_seed("ff"), 0xff);
    assert_eq!(parse_seed(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(parse_seed("node-1"), parse_seed("node-1"));
    assert_ne!(parse_seed("node-1"), parse_seed("node-2"));
}

#[test]
fn each_error_states_its_key() {
    assert_eq!(
        error_text(|file| file["listen"] = Value::Null),
        "listen: no address is set"
    );
    assert_eq!(
        error_text(|file| file["discovery"] = json!("nowhere")),
        "discovery: \"nowhere\": invalid socket address syntax"
    );
    assert_eq!(
        error_text(|file| file["mgmt"] = json!("x:1")),
        "mgmt: \"x:1\": invalid socket address syntax"
    );
    assert_eq!(
        error_text(|file| file["settings"]["tick"] = json!(0)),
        "settings: tick is not above 0"
    );
    assert_eq!(
        error_text(|file| *file = json!("none")),
        "invalid type: string \"none\", expected struct File at line 1 column 6"
    );
}

#[test]
fn a_reload_rejects_a_file_that_lacks_a_key_and_accepts_another_endpoint_list() {
    let path = std::env::temp_dir().join(format!("quinceflow-config-{}.json", std::process::id()));
    let config = Config {
        path: path.clone(),
        ..parse(&file()).expect("the file is valid")
    };
    let mut active = ActiveConfig::from_startup(&config);
    let mut reload = |file: &Value| {
        std::fs::write(&path, file.to_string()).expect("the file is written");
        let reloaded = active.reload();
        std::fs::remove_file(&path).expect("the file is removed");
        reloaded
    };
    let mut replaced = file();
    replaced["known"] = json!({});
    replaced["discovery"] = json!("127.0.0.1:7001");
    let discovery = reload(&replaced).expect("the file is accepted").discovery;
    assert_eq!(discovery.map(|address| address.port()), Some(7001));
    replaced["settings"]["limits"] = json!({});
    let error = reload(&replaced).expect_err("a key is missing");
    let ConfigError::Invalid { source, .. } = &error else {
        panic!("{error:?}");
    };
    assert!(
        matches!(**source, ConfigFileError::MissingKey { .. }),
        "{error:?}"
    );
    assert_eq!(
        error.to_string(),
        format!(
            "{}: settings.limits.max-attempts is missing",
            path.display()
        )
    );
}

/// Guards against a process that rejects each reload because its addresses come from the
/// environment.
#[test]
fn a_file_without_addresses_is_reloaded_with_those_of_the_environment() {
    let path = std::env::temp_dir().join(format!("quinceflow-env-{}.json", std::process::id()));
    let mut without_addresses = file();
    let keys = without_addresses
        .as_object_mut()
        .expect("the file is a JSON object");
    keys.remove("listen");
    keys.remove("discovery");
    let environment = EnvironmentOverrides {
        listen: Some("127.0.0.1:7100".to_owned()),
        discovery: Some("127.0.0.1:7101".to_owned()),
        ..EnvironmentOverrides::default()
    };
    let text = without_addresses.to_string();
    let started = Config::parse(text.as_bytes(), environment).expect("the file is valid");
    let config = Config {
        path: path.clone(),
        ..started
    };
    let mut active = ActiveConfig::from_startup(&config);
    std::fs::write(&path, text).expect("the file is written");
    let reloaded = active.reload();
    std::fs::remove_file(&path).expect("the file is removed");
    assert_eq!(
        reloaded.expect("the file is accepted").discovery,
        None,
        "the file has no address of discovery"
    );
}
