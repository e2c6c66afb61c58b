//! Tests of the edge file: keys, defaults, conversion to settings, and errors.

mod errors;
mod keys;
mod settings;

use super::EdgeConfig;

/// An edge file with every key of version 0.1.0. Operators have such files, so later versions must
/// accept it.
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

/// An edge file with the required keys only.
const REQUIRED_KEYS: &str = r#"
listen = "127.0.0.1:0"
inventory = "servers.csv"
[[class]]
name = "map"
aim_ms = 2000
deadline_ms = 6000
"#;

fn parse(text: &str) -> EdgeConfig {
    toml::from_str(text).expect("the edge file is valid")
}
