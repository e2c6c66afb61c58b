//! The edge file and the inventory of a small deployment of feature servers, with the values of
//! `deploy/edge.toml`.

use super::program::{free_address, Program};
use super::Setting;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The classes of `deploy/edge.toml`.
const CLASSES: &str = r#"
[[class]]
name = "map"
aim_ms = 2000
deadline_ms = 6000
floor = 0.8
effect = "safe"
worth = 2.0
late_worth = 0.1

[[class]]
name = "exact"
aim_ms = 3000
deadline_ms = 6000
floor = 1.0
effect = "safe"

[[class]]
name = "once"
aim_ms = 3000
deadline_ms = 6000
effect = "unsafe"

[[collection]]
id = "devices"
title = "Customer devices"
"#;

/// Writes an inventory file and returns its path.
pub fn write_inventory(setting: &Setting, file: &str, text: &str) -> Result<PathBuf, String> {
    let path = setting.directory.join(file);
    let half = setting.directory.join(format!("{file}.new"));
    // Replaced in one step, as configuration tools do.
    std::fs::write(&half, text).map_err(|e| e.to_string())?;
    std::fs::rename(&half, &path).map_err(|e| e.to_string())?;
    for line in text.lines() {
        setting.record.note(format!("{file}: {line}"));
    }
    Ok(path)
}

/// Starts the front for feature queries over an inventory file, and waits until it is ready.
pub fn start_front(setting: &Setting, inventory: &str) -> Result<Program, String> {
    let address: SocketAddr = free_address();
    let edge_file = setting.directory.join("edge.toml");
    let text = format!("listen = \"{address}\"\ninventory = \"{inventory}\"\n{CLASSES}");
    std::fs::write(&edge_file, text).map_err(|e| e.to_string())?;
    let mut program =
        Program::start_edge(&setting.record, &setting.directory, &edge_file, address)?;
    program.wait_until_ready()?;
    Ok(program)
}
