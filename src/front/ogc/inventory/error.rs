//! Errors of an inventory, with their location. The messages are for operators.

use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Error of an inventory, with its location.
#[derive(Debug)]
pub struct InventoryError {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// Field; empty if the error concerns the whole line.
    pub field: String,
    /// Kind of the error.
    pub kind: InventoryErrorKind,
}

impl InventoryError {
    /// Creates an error that concerns the whole file.
    pub(super) fn of_file(file: &str, kind: InventoryErrorKind) -> Self {
        InventoryError {
            file: file.to_owned(),
            line: 0,
            field: String::new(),
            kind,
        }
    }

    /// Returns the message with the field, but without the file and line.
    #[must_use]
    pub fn message(&self) -> String {
        if self.field.is_empty() {
            return self.kind.to_string();
        }
        format!("{}: {}", self.field, self.kind)
    }
}

impl fmt::Display for InventoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message())
    }
}

impl std::error::Error for InventoryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.kind)
    }
}

/// Kind of an error of an inventory.
#[derive(Debug, Error)]
pub enum InventoryErrorKind {
    /// The file can't be read.
    #[error(transparent)]
    Io(std::io::Error),
    /// The extension of the file's name is not that of a supported format.
    #[error("neither .csv nor .yaml")]
    UnknownFormat,
    /// The CSV is malformed.
    #[error(transparent)]
    Csv(csv::Error),
    /// The YAML is malformed.
    #[error(transparent)]
    Yaml(Box<marked_yaml::LoadError>),
    /// A column of the CSV is missing.
    #[error("the header lacks this column")]
    MissingColumn,
    /// A node of the YAML is not a mapping.
    #[error("a mapping is needed")]
    NotMapping,
    /// An item of a list in the YAML is not a scalar.
    #[error("a list of plain words is needed")]
    NotScalar,
    /// A key of a group in the YAML is unknown.
    #[error("only hosts, vars and children are known here")]
    UnknownGroupKey,
    /// Two servers have the same name.
    #[error("{0:?} is there twice")]
    DuplicateName(String),
    /// Two servers have the same address.
    #[error("{0} is there twice")]
    DuplicateAddress(SocketAddr),
    /// The inventory contains no servers.
    #[error("no server is named")]
    NoServer,
    /// A field is missing.
    #[error("is missing")]
    MissingField,
    /// A field is empty.
    #[error("is empty")]
    EmptyField,
    /// An address is malformed or its host name can't be resolved.
    #[error("{0:?} is no host:port")]
    InvalidAddress(String),
    /// A shard is malformed.
    #[error("{0:?} is no collection or collection/shard")]
    InvalidShard(String),
    /// A shard is retired, and a server lists it.
    #[error("the shard {shard:?} is retired, and {server:?} lists it")]
    RetiredShardListed {
        /// Name of the shard's collection at its servers.
        shard: String,
        /// Name of a server that lists the shard.
        server: String,
    },
    /// A state is unknown.
    #[error("{0:?} is none of in_service, draining, gone, retired")]
    UnknownState(String),
}
