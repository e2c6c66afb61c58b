//! The platform's configuration: the file named by `NODE_CONFIG`, and the environment variables
//! that override it. The settings in the file are parsed by `settings`.

mod error;
mod reload;
#[cfg(test)]
mod tests;

pub use error::{ConfigError, ConfigFileError};
pub use reload::{ActiveConfig, ReloadedConfig};

use crate::settings::{parse_coordinator_settings, CoordinatorSettings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The content of the file. `expecting` sets the type name in the texts of JSON errors, which is
/// independent of the name in the code.
#[derive(Deserialize)]
#[serde(expecting = "struct File")]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(rename = "mgmt")]
    admin: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: ProcessLimits,
    #[serde(default, rename = "known")]
    cached_endpoints: Value,
    settings: Value,
}

/// The resource limits of the process.
#[derive(Deserialize)]
#[serde(default, expecting = "struct Limits")]
struct ProcessLimits {
    #[serde(rename = "sockets")]
    max_descriptors: usize,
    /// The maximum memory, in mebibytes.
    #[serde(rename = "memory_mb")]
    max_memory_mib: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits {
            max_descriptors: 1024,
            max_memory_mib: 192,
        }
    }
}

/// The values from the environment, which take precedence over the file.
#[derive(Debug, Default)]
pub struct EnvironmentOverrides {
    /// `NODE_LISTEN`; see [`Config::listen`].
    pub listen: Option<String>,
    /// `NODE_DISCOVERY`; see [`Config::discovery`].
    pub discovery: Option<String>,
    /// `NODE_MGMT`; see [`Config::admin`].
    pub admin: Option<String>,
    /// `NODE_NAME`; see [`Config::name`].
    pub name: Option<String>,
}

impl EnvironmentOverrides {
    /// Reads the environment variables of this process.
    fn from_env() -> Self {
        let variable = |name| std::env::var(name).ok();
        EnvironmentOverrides {
            listen: variable("NODE_LISTEN"),
            discovery: variable("NODE_DISCOVERY"),
            admin: variable("NODE_MGMT"),
            name: variable("NODE_NAME"),
        }
    }
}

/// The configuration that a coordinator starts with.
#[derive(Debug)]
pub struct Config {
    /// The name of this coordinator.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the admin endpoint; `None` if it is not served.
    pub admin: Option<SocketAddr>,
    /// The path of the file, for reloads.
    pub path: PathBuf,
    /// The file as JSON, against which a replaced file is checked for missing keys. The endpoint
    /// list is replaced by null, since its length and shape may change.
    file_shape: Value,
    /// The address of discovery in the file, which the environment may override; `None` if the file
    /// has no valid one.
    pub file_discovery: Option<SocketAddr>,
    /// The seed of random generators.
    pub seed: u64,
    /// The maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The maximum memory of the process, in bytes.
    pub max_memory_bytes: usize,
    /// The cached endpoint list, in discovery's format.
    pub cached_endpoints: Vec<u8>,
    /// The settings.
    pub settings: CoordinatorSettings,
}

impl Config {
    /// Reads the file named by `NODE_CONFIG`, and the overrides from the environment.
    ///
    /// # Errors
    ///
    /// Fails if no file is named, or if it cannot be read or used.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| ConfigError::PathNotSet)?;
        let path = PathBuf::from(path);
        let text = std::fs::read(&path).map_err(|source| ConfigError::Unreadable {
            path: path.clone(),
            source,
        })?;
        match Self::parse(&text, EnvironmentOverrides::from_env()) {
            Ok(config) => Ok(Config { path, ..config }),
            Err(source) => Err(ConfigError::Invalid {
                path,
                source: Box::new(source),
            }),
        }
    }

    /// Parses the content of a file. The path of the returned configuration is empty.
    ///
    /// # Errors
    ///
    /// Fails if the content is not JSON, if a value is missing or has the wrong type, if an address
    /// is missing or malformed, or if the settings are invalid.
    pub fn parse(text: &[u8], environment: EnvironmentOverrides) -> Result<Self, ConfigFileError> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let settings = parse_coordinator_settings(file.settings)?;
        settings.validate()?;
        let file_shape = file_shape(text)?;
        let file_discovery = file
            .discovery
            .as_ref()
            .and_then(|address| address.parse().ok());
        let listen = required_address("listen", environment.listen.or(file.listen))?;
        let discovery = required_address("discovery", environment.discovery.or(file.discovery))?;
        let admin = environment.admin.or(file.admin);
        let admin = admin
            .map(|address| parse_address("mgmt", address))
            .transpose()?;
        Ok(Config {
            name: environment.name.unwrap_or(file.name),
            listen,
            discovery,
            admin,
            path: PathBuf::new(),
            file_shape,
            file_discovery,
            seed: parse_seed(&file.seed),
            max_descriptors: file.limits.max_descriptors,
            max_memory_bytes: file.limits.max_memory_mib.saturating_mul(1024 * 1024),
            cached_endpoints: serde_json::to_vec(&file.cached_endpoints)
                .map_err(ConfigFileError::CachedEndpoints)?,
            settings,
        })
    }
}

fn required_address(
    key: &'static str,
    text: Option<String>,
) -> Result<SocketAddr, ConfigFileError> {
    parse_address(key, text.ok_or(ConfigFileError::NoAddress { key })?)
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigFileError> {
    text.parse()
        .map_err(|source| ConfigFileError::InvalidAddress { key, text, source })
}

/// Parses the file as JSON and replaces its endpoint list by null; see [`Config`].
fn file_shape(text: &[u8]) -> Result<Value, ConfigFileError> {
    let mut file: Value = serde_json::from_slice(text)?;
    if let Some(cached_endpoints) = file.get_mut("known") {
        *cached_endpoints = Value::Null;
    }
    Ok(file)
}

/// Parses a hexadecimal seed. For any other text the seed is the FNV-1a hash of the text.
fn parse_seed(text: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        })
    })
}
