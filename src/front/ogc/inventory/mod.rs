//! Inventory of feature servers, in the formats of configuration tools: CSV with a header, or YAML
//! with groups, hosts and vars.
//!
//! A server has a name, an address, a state, and shards. A shard is written as `collection` or
//! `collection/shard`. `shard` is the name under which the server offers its shard of the
//! collection; without it, the server uses the collection's name.
//!
//! An entry in the state `retired` is not a server: its shards no longer belong to their
//! collections. Without such an entry, a shard whose servers are all removed is missing.

mod csv_reader;
mod entry;
mod error;
mod yaml_reader;

pub use csv_reader::read_csv;
pub use error::{InventoryError, InventoryErrorKind};
pub use yaml_reader::read_yaml;

use crate::interface::EndpointState;
use std::net::SocketAddr;
use std::path::Path;

/// Shard of a collection, identified by the collection's name and by the name of the shard's
/// collection at its servers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CollectionShard {
    /// Name of the collection as clients see it.
    pub collection: String,
    /// Name of the collection at the servers that have the shard.
    pub server_collection: String,
}

/// A feature server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server, which stays the same when the server restarts or its address changes.
    pub name: String,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Shards that the server has.
    pub shards: Vec<CollectionShard>,
    /// Operational state of the server.
    pub state: EndpointState,
}

/// The feature servers, and the shards that the operator has taken out of service for good.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Inventory {
    /// The servers, in the order of the file.
    pub servers: Vec<Server>,
    /// The shards that no longer belong to their collections. No server has them.
    pub retired_shards: Vec<CollectionShard>,
}

/// Reads an inventory, whose format is chosen by the extension of the file's name.
///
/// # Errors
///
/// Fails with the first error of the inventory; [`read_file_with_all_errors`] returns all of them.
pub fn read_file(path: &Path) -> Result<Inventory, InventoryError> {
    read_file_with_all_errors(path).map_err(first_error)
}

/// Reads an inventory, whose format is chosen by the extension of the file's name.
///
/// # Errors
///
/// Fails with all errors of the inventory, of which there is at least one.
pub fn read_file_with_all_errors(path: &Path) -> Result<Inventory, Vec<InventoryError>> {
    let file = path
        .file_name()
        .unwrap_or(path.as_os_str())
        .to_string_lossy()
        .into_owned();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            return Err(vec![InventoryError::of_file(
                &file,
                InventoryErrorKind::Io(error),
            )])
        }
    };
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("csv") => csv_reader::read_with_all_errors(&file, &text),
        Some("yaml" | "yml") => yaml_reader::read_with_all_errors(&file, &text),
        _ => Err(vec![InventoryError::of_file(
            &file,
            InventoryErrorKind::UnknownFormat,
        )]),
    }
}

/// Returns the first of several errors, of which there is at least one.
fn first_error(mut errors: Vec<InventoryError>) -> InventoryError {
    errors.swap_remove(0)
}

#[cfg(test)]
mod tests;
