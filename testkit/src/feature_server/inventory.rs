//! Entries of an inventory of feature servers.

use std::net::SocketAddr;

/// Entry of a server in an inventory.
#[derive(Debug, Clone, Copy)]
pub struct InventoryEntry<'a> {
    /// Name of the server.
    pub name: &'a str,
    /// Collections that the server holds, with their shards, such as `devices/north`.
    pub collections: &'a str,
    /// State of the server.
    pub state: InventoryState,
}

/// State of a server in an inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InventoryState {
    /// No state in the entry.
    Unspecified,
    /// Server that accepts requests.
    InService,
    /// Server that accepts no new requests.
    Draining,
}

impl InventoryEntry<'_> {
    /// Formats the row of a server with this address.
    pub(super) fn to_row(self, address: SocketAddr) -> String {
        let InventoryEntry {
            name,
            collections,
            state,
        } = self;
        format!("{name},{address},{collections},{}\n", state.name())
    }
}

impl InventoryState {
    fn name(self) -> &'static str {
        match self {
            InventoryState::Unspecified => "",
            InventoryState::InService => "in_service",
            InventoryState::Draining => "draining",
        }
    }
}
