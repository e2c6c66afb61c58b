//! Errors of the platform's configuration file.

use crate::settings::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use thiserror::Error;

/// Why there is no usable configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment names no file.
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
        /// What is wrong with it.
        source: Box<ConfigFileError>,
    },
}

/// What is wrong with the content of a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// It is no JSON, or a value is absent or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Neither the environment nor the file gives an address that must be there.
    #[error("{key}: no address")]
    NoAddress {
        /// The key in the file.
        key: &'static str,
    },
    /// An address cannot be parsed.
    #[error("{key}: {text:?}: {source}")]
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// The address as stated.
        text: String,
        /// The error of the parser.
        source: AddrParseError,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The last known endpoint list cannot be encoded again.
    #[error("known: {0}")]
    KnownEndpoints(#[source] serde_json::Error),
    /// A replaced file lacks a key that the file in force has.
    #[error("{key} is missing")]
    MissingKey {
        /// The path of the key, with dots.
        key: String,
    },
}
