//! Unchecked entries of an inventory, which the readers of both formats return, and their
//! validation.

use super::error::{InventoryError, InventoryErrorKind};
use super::{CollectionShard, Inventory, Server};
use crate::interface::EndpointState;
use std::collections::BTreeMap;
use std::net::{SocketAddr, ToSocketAddrs};

/// State of an entry that retires its shards.
const RETIRED_STATE: &str = "retired";

/// Value of a field and the number of its line.
#[derive(Debug, Clone)]
pub(super) struct Field {
    /// Value of the field.
    pub(super) text: String,
    /// Line number, from 1.
    pub(super) line: usize,
}

/// Fields by their names.
pub(super) type Fields = BTreeMap<String, Field>;

/// Unchecked entry for a server.
#[derive(Debug, Default)]
pub(super) struct Entry {
    /// Name of the server; empty if it is missing.
    pub(super) name: String,
    /// Line number of the entry, from 1.
    pub(super) line: usize,
    /// Fields other than the name.
    pub(super) fields: Fields,
}

impl Entry {
    /// Returns the text of a field.
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).map(|field| field.text.as_str())
    }

    /// Returns whether the entry retires its shards and is not a server.
    fn is_retired(&self) -> bool {
        self.text("state") == Some(RETIRED_STATE)
    }

    /// Returns the line of a field, or of the entry if it lacks the field.
    fn line(&self, field: &str) -> usize {
        self.fields.get(field).map_or(self.line, |field| field.line)
    }
}

/// Validates the entries of an inventory file and creates the errors of the file.
#[derive(Debug, Clone, Copy)]
pub(super) struct EntryValidator<'a> {
    /// Name of the file.
    pub(super) file: &'a str,
}

impl EntryValidator<'_> {
    /// Creates an error at a line that concerns a field or, if `field` is empty, the whole line.
    pub(super) fn error(
        &self,
        line: usize,
        field: &str,
        kind: InventoryErrorKind,
    ) -> InventoryError {
        InventoryError {
            file: self.file.to_owned(),
            line,
            field: field.to_owned(),
            kind,
        }
    }

    /// Returns the servers and the retired shards that the entries describe, or all errors in the
    /// order of their lines: the reader's `errors` and those of the entries.
    pub(super) fn validate(
        &self,
        entries: &[Entry],
        mut errors: Vec<InventoryError>,
    ) -> Result<Inventory, Vec<InventoryError>> {
        let (retired, in_use): (Vec<&Entry>, Vec<&Entry>) =
            entries.iter().partition(|entry| entry.is_retired());
        let mut servers: Vec<Server> = Vec::new();
        for entry in in_use {
            match self
                .validate_entry(entry)
                .and_then(|server| self.require_unique(server, entry, &servers))
            {
                Ok(server) => servers.push(server),
                Err(error) => errors.push(error),
            }
        }
        let mut retired_shards = Vec::new();
        for entry in retired {
            match self.validate_retired(entry, &servers) {
                Ok(shards) => retired_shards.extend(shards),
                Err(error) => errors.push(error),
            }
        }
        if servers.is_empty() && errors.is_empty() {
            // An empty inventory would take every server out of service. Most likely the file is
            // truncated or is not an inventory.
            errors.push(self.error(1, "", InventoryErrorKind::NoServer));
        }
        errors.sort_by_key(|error| error.line);
        if errors.is_empty() {
            Ok(Inventory {
                servers,
                retired_shards,
            })
        } else {
            Err(errors)
        }
    }

    /// Returns the shards of a retired entry if none of the servers lists one of them. The address
    /// of such an entry is ignored.
    fn validate_retired(
        &self,
        entry: &Entry,
        servers: &[Server],
    ) -> Result<Vec<CollectionShard>, InventoryError> {
        let error = |kind| self.error(entry.line("collections"), "collections", kind);
        let shards = parse_shards(entry).map_err(error)?;
        for shard in &shards {
            if let Some(server) = servers.iter().find(|server| server.shards.contains(shard)) {
                return Err(error(InventoryErrorKind::RetiredShardListed {
                    shard: shard.server_collection.clone(),
                    server: server.name.clone(),
                }));
            }
        }
        Ok(shards)
    }

    /// Returns the server if no earlier server has the same name or address.
    fn require_unique(
        &self,
        server: Server,
        entry: &Entry,
        earlier: &[Server],
    ) -> Result<Server, InventoryError> {
        if earlier.iter().any(|other| other.name == server.name) {
            return Err(self.error(
                entry.line,
                "name",
                InventoryErrorKind::DuplicateName(server.name),
            ));
        }
        if earlier.iter().any(|other| other.address == server.address) {
            let kind = InventoryErrorKind::DuplicateAddress(server.address);
            return Err(self.error(entry.line, "address", kind));
        }
        Ok(server)
    }

    /// Returns the server that an entry describes.
    fn validate_entry(&self, entry: &Entry) -> Result<Server, InventoryError> {
        if entry.name.is_empty() {
            return Err(self.error(entry.line, "name", InventoryErrorKind::EmptyField));
        }
        let field_error = |field: &str, kind| self.error(entry.line(field), field, kind);
        let address = parse_address(entry).map_err(|kind| field_error("address", kind))?;
        let shards = parse_shards(entry).map_err(|kind| field_error("collections", kind))?;
        let state = parse_state(entry).map_err(|kind| field_error("state", kind))?;
        Ok(Server {
            name: entry.name.clone(),
            address,
            shards,
            state,
        })
    }
}

/// Returns the address of a server: either `address` as `host:port`, or host and port in two
/// fields, as in inventories of Ansible.
fn parse_address(entry: &Entry) -> Result<SocketAddr, InventoryErrorKind> {
    let port = entry.text("ansible_port").or(entry.text("port"));
    let address = match (entry.text("address"), entry.text("ansible_host"), port) {
        (Some(host), _, Some(port)) if !host.contains(':') => format!("{host}:{port}"),
        (Some(address), _, _) => address.to_owned(),
        (None, Some(host), Some(port)) => format!("{host}:{port}"),
        (None, _, _) => return Err(InventoryErrorKind::MissingField),
    };
    let resolved = address
        .to_socket_addrs()
        .ok()
        .and_then(|mut addresses| addresses.next());
    resolved.ok_or(InventoryErrorKind::InvalidAddress(address))
}

/// Returns the shards of a server in the order of the file, without duplicates.
fn parse_shards(entry: &Entry) -> Result<Vec<CollectionShard>, InventoryErrorKind> {
    let text = entry
        .text("collections")
        .ok_or(InventoryErrorKind::MissingField)?;
    let mut shards = Vec::new();
    for word in text.split([';', ',', ' ']).filter(|word| !word.is_empty()) {
        let (collection, server_collection) = word.split_once('/').unwrap_or((word, word));
        if !is_valid_name(collection) || !is_valid_name(server_collection) {
            return Err(InventoryErrorKind::InvalidShard(word.to_owned()));
        }
        let shard = CollectionShard {
            collection: collection.to_owned(),
            server_collection: server_collection.to_owned(),
        };
        if !shards.contains(&shard) {
            shards.push(shard);
        }
    }
    if shards.is_empty() {
        return Err(InventoryErrorKind::EmptyField);
    }
    Ok(shards)
}

/// Returns whether a text can be the name of a collection or a shard.
fn is_valid_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Returns the state of a server. Each state has several names, since configuration tools differ in
/// their names for it.
fn parse_state(entry: &Entry) -> Result<EndpointState, InventoryErrorKind> {
    match entry.text("state").unwrap_or("in_service") {
        "in_service" | "ready" | "present" => Ok(EndpointState::Ready),
        "draining" | "terminating" => Ok(EndpointState::Draining),
        "gone" | "terminated" | "absent" => Ok(EndpointState::Removed),
        other => Err(InventoryErrorKind::UnknownState(other.to_owned())),
    }
}
