//! The inventory of feature servers, as configuration tools keep it: CSV with a header, or YAML with groups, hosts and
//! vars.
//!
//! A server has a name, an address, a state, and the shards that it holds: `collection`, or `collection/shard`, where the
//! shard is the name that the server itself gives that part of the collection.

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

/// A shard of a collection: the collection's name, and the server's own name for the shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CollectionShard {
    /// The collection as clients know it.
    pub collection: String,
    /// The collection at the server.
    pub source: String,
}

/// A feature server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its name, which stays over restarts and moves.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shards that it holds.
    pub shards: Vec<CollectionShard>,
    /// Its state.
    pub state: EndpointState,
}

/// Reads an inventory; the extension of the file's name tells the format.
///
/// # Errors
/// The first fault of the inventory; [`read_file_with_all_errors`] returns every one.
pub fn read_file(path: &Path) -> Result<Vec<Server>, InventoryError> {
    read_file_with_all_errors(path).map_err(first)
}

/// Reads an inventory; the extension of the file's name tells the format.
///
/// # Errors
/// Every fault of the inventory, at least one.
pub fn read_file_with_all_errors(path: &Path) -> Result<Vec<Server>, Vec<InventoryError>> {
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

/// The first of several errors; there is at least one.
fn first(mut errors: Vec<InventoryError>) -> InventoryError {
    errors.swap_remove(0)
}

#[cfg(test)]
mod tests;
