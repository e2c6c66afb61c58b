//! `quinceflow check`: reports every fault of an edge file and its inventory with its line.

mod recovery;

use super::config::{CollectionConfig, EdgeConfig};
use super::inventory::{read_file_with_all_errors, CollectionShard, InventoryError, Server};
use recovery::{line_containing, parse_with_recovery, LineFault, RecoveredEdge};
use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};

/// Maximum number of faults that are reported, since a file in another format has a fault in each
/// line.
const MAX_FAULTS: usize = 100;

/// A fault of a file, with its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; 0 if the fault concerns the whole file.
    pub line: usize,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

impl From<InventoryError> for Fault {
    fn from(error: InventoryError) -> Self {
        let message = error.message();
        Fault {
            file: error.file,
            line: error.line,
            message,
        }
    }
}

/// The result of a check.
#[derive(Debug, Default)]
pub struct Report {
    /// All faults: first those of the edge file by itself, then those found with the inventory.
    pub faults: Vec<Fault>,
    /// Summary of the configuration; meaningful only if there are no faults.
    pub summary: String,
}

/// Checks an edge file and its inventory without opening a connection or listening.
#[must_use]
pub fn check_edge_file(path: &Path) -> Report {
    let file = path
        .file_name()
        .unwrap_or(path.as_os_str())
        .to_string_lossy()
        .into_owned();
    let mut report = match std::fs::read_to_string(path) {
        Ok(text) => check_text(path, &file, &text),
        Err(error) => Report::of_fault(Fault {
            file,
            line: 0,
            message: error.to_string(),
        }),
    };
    report.faults.truncate(MAX_FAULTS);
    report
}

/// Checks the text of the edge file at `path` and its inventory; `file` is the edge file's name in
/// faults.
fn check_text(path: &Path, file: &str, text: &str) -> Report {
    let RecoveredEdge { edge, faults } = parse_with_recovery(text);
    let to_fault = |fault: LineFault| Fault {
        file: file.to_owned(),
        line: fault.line,
        message: fault.message,
    };
    let mut report = Report {
        faults: faults.into_iter().map(to_fault).collect(),
        summary: String::new(),
    };
    // The inventory is checked even if other lines of the edge file are faulty.
    let inventory = edge
        .as_ref()
        .map(|edge| edge.inventory.clone())
        .or_else(|| inventory_name(text));
    if let Some(inventory) = inventory {
        let inventory = path.parent().unwrap_or(Path::new("")).join(inventory);
        match read_file_with_all_errors(&inventory) {
            Ok(inventory) => report.add_servers(file, text, edge.as_ref(), &inventory.servers),
            Err(errors) => report.faults.extend(errors.into_iter().map(Fault::from)),
        }
    }
    report
}

impl Report {
    /// Creates a report with a single fault.
    fn of_fault(fault: Fault) -> Self {
        Report {
            faults: vec![fault],
            summary: String::new(),
        }
    }

    /// Adds a fault for each collection of the edge file that no server has, and sets the summary.
    fn add_servers(
        &mut self,
        file: &str,
        text: &str,
        edge: Option<&EdgeConfig>,
        servers: &[Server],
    ) {
        let shards: BTreeSet<_> = servers.iter().flat_map(|server| &server.shards).collect();
        let collections = edge
            .map(|edge| edge.collections.as_slice())
            .unwrap_or_default();
        let unserved = collections
            .iter()
            .filter(|collection| !has_shard(collection, &shards));
        self.faults.extend(unserved.map(|collection| Fault {
            file: file.to_owned(),
            line: line_containing(text, &format!("\"{}\"", collection.id)),
            message: format!("collection {:?}: no server holds it", collection.id),
        }));
        self.summary = format!(
            "{file} is sound: {} servers, {} shards, {} classes",
            servers.len(),
            shards.len(),
            edge.map_or(0, |edge| edge.classes.len())
        );
    }
}

fn has_shard(collection: &CollectionConfig, shards: &BTreeSet<&CollectionShard>) -> bool {
    shards.iter().any(|shard| shard.collection == collection.id)
}

/// Returns the inventory's path in the text of an edge file, or `None` if the text is not
/// well-formed TOML or has no path.
fn inventory_name(text: &str) -> Option<PathBuf> {
    let table: toml::Table = text.parse().ok()?;
    table.get("inventory")?.as_str().map(Into::into)
}

#[cfg(test)]
mod tests;
