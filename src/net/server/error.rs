//! Errors of the server's startup, and of a reload.

use crate::front::ogc::config::{CursorKeyError, EdgeConfigError};
use crate::net::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The reason why the server could not start, or ended without a shutdown.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The server cannot listen on a front's address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address of a listening socket cannot be read.
    #[error(transparent)]
    LocalAddress(io::Error),
    /// A coroutine cannot be started.
    #[error("cannot start a coroutine: {0}")]
    Coroutine(#[source] io::Error),
    /// The thread that waits for signals cannot be started.
    #[error(transparent)]
    Signals(io::Error),
    /// The timer thread cannot be started.
    #[error(transparent)]
    Timer(io::Error),
    /// The inventory of feature servers cannot be loaded.
    #[error(transparent)]
    Inventory(#[from] ReloadError),
    /// The key that signs cursors cannot be read.
    #[error(transparent)]
    CursorKey(#[from] CursorKeyError),
    /// The coroutine of a coordinator panicked.
    #[error("the coroutine of a coordinator panicked")]
    CoordinatorPanicked,
}

/// The reason why a reload was rejected. A rejected reload changes nothing.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The platform's configuration file cannot be used.
    #[error("configuration rejected: {0}")]
    Configuration(#[source] ConfigError),
    /// The inventory of feature servers cannot be used.
    #[error("inventory rejected: {0}")]
    Inventory(#[source] EdgeConfigError),
}

impl ReloadError {
    /// Logs that the reload was rejected and why.
    pub(super) fn log(&self) {
        match self {
            ReloadError::Configuration(error) => {
                tracing::warn!(%error, "configuration reload rejected")
            }
            ReloadError::Inventory(error) => tracing::warn!(%error, "inventory reload rejected"),
        }
    }
}

#[cfg(test)]
mod tests;
