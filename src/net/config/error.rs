//! Errors of the platform's configuration file.

use crate::settings::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why there is no usable configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable `NODE_CONFIG`, which names the file, is not set.
    #[error("NODE_CONFIG is not set")]
    PathNotSet,
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file's content cannot be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error in its content.
        source: Box<ConfigFileError>,
    },
}

/// An error in the content of a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The content is not JSON, or a value is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A required address is in neither the environment nor the file.
    #[error("{key}: no address is set")]
    NoAddress {
        /// The key in the file.
        key: &'static str,
    },
    /// An address cannot be parsed.
    #[error("{key}: {text:?}: {source}")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// The text that is not an address.
        text: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The cached endpoint list cannot be written as JSON.
    #[error("known: {0}")]
    CachedEndpoints(#[source] serde_json::Error),
    /// A replaced file lacks a key that the active file has.
    #[error("{key} is missing")]
    MissingKey {
        /// The path of the key, separated by dots.
        key: String,
    },
}
