//! Servers of an inventory as either format writes them, and their validation.

use super::error::{InventoryError, InventoryErrorKind};
use super::{CollectionShard, Server};
use crate::interface::EndpointState;
use std::collections::BTreeMap;
use std::net::{SocketAddr, ToSocketAddrs};

/// Text of a field and the number of its line.
#[derive(Debug, Clone)]
pub(super) struct Field {
    /// Text of the field.
    pub(super) text: String,
    /// Line number, from 1.
    pub(super) line: usize,
}

/// Fields by their names.
pub(super) type Fields = BTreeMap<String, Field>;

/// Unchecked entry of a server.
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

    /// Returns the line of a field, or of the entry if it lacks the field.
    fn line(&self, field: &str) -> usize {
        self.fields.get(field).map_or(self.line, |field| field.line)
    }
}

/// Creator of errors for a file.
#[derive(Debug, Clone, Copy)]
pub(super) struct Locator<'a> {
    /// Name of the file.
    pub(super) file: &'a str,
}

impl Locator<'_> {
    /// Creates an error at a line, in a field or, if `field` is empty, of the whole line.
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

    /// Returns the servers of the entries, or every error by line: `errors` of the reader and those
    /// of the entries.
    pub(super) fn servers(
        &self,
        entries: &[Entry],
        mut errors: Vec<InventoryError>,
    ) -> Result<Vec<Server>, Vec<InventoryError>> {
        let mut servers: Vec<Server> = Vec::new();
        for entry in entries {
            match self
                .server(entry)
                .and_then(|server| self.unique(server, entry, &servers))
            {
                Ok(server) => servers.push(server),
                Err(error) => errors.push(error),
            }
        }
        if servers.is_empty() && errors.is_empty() {
            // An empty inventory would drain every server; most likely the file is cut off or the
            // wrong one.
            errors.push(self.error(1, "", InventoryErrorKind::NoServer));
        }
        errors.sort_by_key(|error| error.line);
        if errors.is_empty() {
            Ok(servers)
        } else {
            Err(errors)
        }
    }

    /// Returns the server if none of the earlier ones has its name or its address.
    fn unique(
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

    /// Returns the server of an entry.
    fn server(&self, entry: &Entry) -> Result<Server, InventoryError> {
        if entry.name.is_empty() {
            return Err(self.error(entry.line, "name", InventoryErrorKind::EmptyField));
        }
        let in_field = |field: &str, kind| self.error(entry.line(field), field, kind);
        let address = address(entry).map_err(|kind| in_field("address", kind))?;
        let shards = shards(entry).map_err(|kind| in_field("collections", kind))?;
        let state = state(entry).map_err(|kind| in_field("state", kind))?;
        Ok(Server {
            name: entry.name.clone(),
            address,
            shards,
            state,
        })
    }
}

/// Returns the address of a server: `address` as `host:port`, or host and port in two fields, as
/// Ansible has them.
fn address(entry: &Entry) -> Result<SocketAddr, InventoryErrorKind> {
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
    resolved.ok_or(InventoryErrorKind::Address(address))
}

/// Returns the shards of a server, each once, in the order of the file.
fn shards(entry: &Entry) -> Result<Vec<CollectionShard>, InventoryErrorKind> {
    let text = entry
        .text("collections")
        .ok_or(InventoryErrorKind::MissingField)?;
    let mut shards = Vec::new();
    for word in text.split([';', ',', ' ']).filter(|word| !word.is_empty()) {
        let (collection, source) = word.split_once('/').unwrap_or((word, word));
        if !is_name(collection) || !is_name(source) {
            return Err(InventoryErrorKind::Shard(word.to_owned()));
        }
        let shard = CollectionShard {
            collection: collection.to_owned(),
            source: source.to_owned(),
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
fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}

/// Returns the state of a server, named by any of the words that configuration tools use.
fn state(entry: &Entry) -> Result<EndpointState, InventoryErrorKind> {
    match entry.text("state").unwrap_or("in_service") {
        "in_service" | "ready" | "present" => Ok(EndpointState::Ready),
        "draining" | "terminating" => Ok(EndpointState::Draining),
        "gone" | "terminated" | "absent" => Ok(EndpointState::Removed),
        other => Err(InventoryErrorKind::State(other.to_owned())),
    }
}
