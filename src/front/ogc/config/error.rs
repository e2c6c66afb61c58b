//! Errors of an edge file. Operators read the messages in the log and from `quinceflow check`.

use super::super::inventory::InventoryError;
use std::path::PathBuf;
use thiserror::Error;

/// An edge file or its inventory can't be used.
#[derive(Debug, Error)]
pub enum EdgeConfigError {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Io {
        /// The edge file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file is not TOML, or its keys or types are not those of an edge file. The source names
    /// line and key.
    #[error("{}: {source}", file.display())]
    Syntax {
        /// The edge file.
        file: PathBuf,
        /// The reader's error.
        source: toml::de::Error,
    },
    /// A value is out of range.
    #[error("{}: {source}", file.display())]
    Value {
        /// The edge file.
        file: PathBuf,
        /// The value and its fault.
        source: ValueError,
    },
    /// The inventory can't be used.
    #[error(transparent)]
    Inventory(InventoryError),
}

/// A value of an edge file is out of range.
#[derive(Debug, Error)]
pub enum ValueError {
    /// There is no class.
    #[error("a [[class]] is needed")]
    NoClass,
    /// A class has a fault.
    #[error("class {name:?}: {source}")]
    Class {
        /// The class' name.
        name: String,
        /// The class' fault.
        source: ClassError,
    },
    /// The type of a queryable is unknown.
    #[error("collection {collection:?}: queryable {queryable:?} is of no kind that is known")]
    QueryableType {
        /// The collection's name.
        collection: String,
        /// The queryable's name.
        queryable: String,
    },
    /// `limits.mode` is unknown.
    #[error("limits: mode must be adaptive or fixed")]
    LimitsMode,
    /// `limits.least` and `limits.start` are out of order.
    #[error("limits: least must be above 0 and at most start")]
    LimitsRange,
    /// `limits.repeats` is out of range.
    #[error("limits: repeats must be from 0 to 10")]
    RetryRatio,
    /// The cursor key can't be used.
    #[error(transparent)]
    CursorKey(#[from] CursorKeyError),
    /// A number is 0 that must not be.
    #[error("{key} must be above 0")]
    Zero {
        /// The key.
        key: &'static str,
    },
}

/// A class of an edge file has a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClassError {
    /// The name is empty.
    #[error("its name is empty")]
    EmptyName,
    /// Another class has the same name.
    #[error("is there twice")]
    Duplicate,
    /// Latency objective and deadline are out of order.
    #[error("aim_ms must be above 0 and at most deadline_ms")]
    LatencyObjective,
    /// The least share of parts is out of range.
    #[error("floor must be above 0 and at most 1")]
    MinShare,
    /// The effect is unknown.
    #[error("effect must be safe or unsafe")]
    Effect,
}

/// There is no usable cursor key.
#[derive(Debug, Error)]
pub enum CursorKeyError {
    /// The system gives no random bytes for a new key.
    #[error("cursor_key: no random bytes: {0}")]
    Random(getrandom::Error),
    /// The file's key is too short or not hexadecimal.
    #[error("cursor_key must be 32 hexadecimal digits or more, an even number")]
    Malformed,
}
