//! Errors of an edge file. Their messages are written to the log and by `quinceflow check`.

use super::super::inventory::InventoryError;
use std::path::PathBuf;
use thiserror::Error;

/// Error of an edge file or its inventory.
#[derive(Debug, Error)]
pub enum EdgeConfigError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Io {
        /// The edge file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of another type. The message of the
    /// source contains the line and the key.
    #[error("{}: {source}", file.display())]
    Syntax {
        /// The edge file.
        file: PathBuf,
        /// The error of the TOML parser.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[error("{}: {source}", file.display())]
    Value {
        /// The edge file.
        file: PathBuf,
        /// The error in the value.
        source: ValueError,
    },
    /// The inventory can't be used.
    #[error(transparent)]
    Inventory(InventoryError),
}

/// Error of a value in an edge file.
#[derive(Debug, Error)]
pub enum ValueError {
    /// The file has no class.
    #[error("a [[class]] is needed")]
    NoClass,
    /// A value of a class is out of range.
    #[error("class {name:?}: {source}")]
    Class {
        /// Name of the class.
        name: String,
        /// The error in the class.
        source: ClassError,
    },
    /// The type of a queryable is unknown.
    #[error("collection {collection:?}: queryable {queryable:?} is of no kind that is known")]
    UnknownQueryableType {
        /// Name of the collection.
        collection: String,
        /// Name of the queryable.
        queryable: String,
    },
    /// `limits.mode` is unknown.
    #[error("limits: mode must be adaptive or fixed")]
    UnknownLimitsMode,
    /// `limits.least` or `limits.start` is 0, or they are out of order.
    #[error("limits: least must be above 0 and at most start")]
    LimitsOutOfOrder,
    /// `limits.repeats` is out of range.
    #[error("limits: repeats must be from 0 to 10")]
    InvalidRetryRatio,
    /// The cursor key can't be used.
    #[error(transparent)]
    CursorKey(#[from] CursorKeyError),
    /// A value that must be positive is 0.
    #[error("{key} must be above 0")]
    ZeroValue {
        /// The key.
        key: &'static str,
    },
}

/// Error of a class in an edge file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClassError {
    /// The name is empty.
    #[error("its name is empty")]
    EmptyName,
    /// Another class has the same name.
    #[error("is there twice")]
    DuplicateName,
    /// The latency objective is 0 or greater than the deadline.
    #[error("aim_ms must be above 0 and at most deadline_ms")]
    InvalidLatencyObjective,
    /// The minimum share of parts is out of range.
    #[error("floor must be above 0 and at most 1")]
    InvalidMinShare,
    /// The effect is unknown.
    #[error("effect must be safe or unsafe")]
    UnknownEffect,
}

/// Error of the key that authenticates cursors.
#[derive(Debug, Error)]
pub enum CursorKeyError {
    /// The operating system provides no random bytes for a new key.
    #[error("cursor_key: no random bytes: {0}")]
    Random(getrandom::Error),
    /// The file's key is too short or not hexadecimal.
    #[error("cursor_key must be 32 hexadecimal digits or more, an even number")]
    Malformed,
}
