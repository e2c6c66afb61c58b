//! Reloads of the configuration file while the program runs.

use super::{file_shape, Config, ConfigError, ConfigFileError, EnvironmentOverrides};
use crate::settings::{find_missing_key, CoordinatorSettings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The active configuration file, against which a replaced file is checked.
#[derive(Debug)]
pub struct ActiveConfig {
    path: PathBuf,
    /// The active file as JSON, of which only the keys are compared; see [`Config`].
    file_shape: Value,
    /// The address on which clients connect, which a reload does not change.
    listen: SocketAddr,
    /// The address of discovery at the start.
    startup_discovery: SocketAddr,
}

/// The values of a replaced file that apply to a running program.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// The address of discovery; `None` if the file does not have one, since the environment does.
    pub discovery: Option<SocketAddr>,
    /// The settings.
    pub settings: CoordinatorSettings,
}

impl ActiveConfig {
    /// Returns the file that the program was started with.
    #[must_use]
    pub fn from_startup(config: &Config) -> Self {
        ActiveConfig {
            path: config.path.clone(),
            file_shape: config.file_shape.clone(),
            listen: config.listen,
            startup_discovery: config.discovery,
        }
    }

    /// Reads the file again and makes it the active one. The environment, which cannot have
    /// changed, is used only for addresses that the file does not have.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or used, or if it lacks a key of the active file, which then
    /// stays active.
    pub fn reload(&mut self) -> Result<ReloadedConfig, ConfigError> {
        let text = std::fs::read(&self.path).map_err(|source| ConfigError::Unreadable {
            path: self.path.clone(),
            source,
        })?;
        self.replace(&text).map_err(|source| ConfigError::Invalid {
            path: self.path.clone(),
            source: Box::new(source),
        })
    }

    /// Makes the file with this content the active one.
    fn replace(&mut self, text: &[u8]) -> Result<ReloadedConfig, ConfigFileError> {
        let file_shape = file_shape(text)?;
        if let Some(key) = find_missing_key(&self.file_shape, &file_shape) {
            return Err(ConfigFileError::MissingKey { key });
        }
        let if_absent = |key: &str, address: SocketAddr| {
            let absent = file_shape.get(key).is_none_or(Value::is_null);
            absent.then(|| address.to_string())
        };
        let environment = EnvironmentOverrides {
            listen: if_absent("listen", self.listen),
            discovery: if_absent("discovery", self.startup_discovery),
            ..EnvironmentOverrides::default()
        };
        let config = Config::parse(text, environment)?;
        self.file_shape = file_shape;
        Ok(ReloadedConfig {
            discovery: config.file_discovery,
            settings: config.settings,
        })
    }
}
