//! What a coordinator is told at its start.

use crate::settings::{find_missing_key, parse_coordinator_settings, CoordinatorSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    mgmt: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: serde_json::Value,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// What the environment says; it goes before the file.
#[derive(Debug, Default)]
pub struct EnvironmentOverrides {
    /// See [`Config`].
    pub listen: Option<String>,
    /// See [`Config`].
    pub discovery: Option<String>,
    /// See [`Config`].
    pub mgmt: Option<String>,
    /// See [`Config`].
    pub name: Option<String>,
}

/// The start's configuration.
#[derive(Debug)]
pub struct Config {
    /// This coordinator's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub admin: Option<SocketAddr>,
    /// Where the file is, to be read anew.
    pub path: PathBuf,
    /// The file's keys, for the next one to be compared with.
    file_shape: serde_json::Value,
    /// Where discovery is in the file's own words, whatever the environment said.
    pub file_discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Bytes of memory that the process may use.
    pub max_memory: usize,
    /// The servers as last known, in discovery's form.
    pub known_endpoints: Vec<u8>,
    /// The settings.
    pub settings: CoordinatorSettings,
}

impl Config {
    /// Reads the file that the environment names; the environment's own words go first.
    pub fn from_env() -> Result<Self, String> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_owned())?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        let var = |name| std::env::var(name).ok();
        let env = EnvironmentOverrides {
            listen: var("NODE_LISTEN"),
            discovery: var("NODE_DISCOVERY"),
            mgmt: var("NODE_MGMT"),
            name: var("NODE_NAME"),
        };
        let config = Self::parse(&text, env).map_err(|e| format!("{path}: {e}"))?;
        Ok(Config { path: path.into(), ..config })
    }

    /// Reads the text of the file.
    pub fn parse(text: &[u8], env: EnvironmentOverrides) -> Result<Self, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        let parse = |what: &str, text: String| {
            text.parse::<SocketAddr>().map_err(|e| format!("{what}: {text:?}: {e}"))
        };
        let address = |what: &str, env: Option<String>, file: Option<String>| {
            parse(what, env.or(file).ok_or_else(|| format!("{what}: no address"))?)
        };
        let deployment = parse_coordinator_settings(file.settings).map_err(|e| format!("settings: {e}"))?;
        deployment.validate().map_err(|e| format!("settings: {e}"))?;
        Ok(Config {
            path: PathBuf::new(),
            file_shape: form(text)?,
            file_discovery: file.discovery.as_ref().and_then(|d| d.parse().ok()),
            listen: address("listen", env.listen, file.listen)?,
            discovery: address("discovery", env.discovery, file.discovery)?,
            admin: env.mgmt.or(file.mgmt).map(|text| parse("mgmt", text)).transpose()?,
            name: env.name.unwrap_or(file.name),
            seed: seed(&file.seed),
            max_descriptors: file.limits.sockets,
            max_memory: file.limits.memory_mb.saturating_mul(1024 * 1024),
            known_endpoints: serde_json::to_vec(&file.known).map_err(|e| format!("known: {e}"))?,
            settings: deployment,
        })
    }
}

/// The platform's file as a running program has it: the one in force, against which a replaced one is checked.
#[derive(Debug)]
pub struct ActiveConfig {
    path: PathBuf,
    /// Its keys; the list of servers is left out, since it may hold any number of any form.
    form: serde_json::Value,
}

/// What a running program takes from a replaced file.
#[derive(Debug)]
pub struct ReloadedConfig {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The settings.
    pub settings: CoordinatorSettings,
}

impl ActiveConfig {
    /// The file at the start.
    pub fn from_startup(config: &Config) -> Self {
        ActiveConfig { path: config.path.clone(), form: config.file_shape.clone() }
    }

    /// Reads the file anew. With an error nothing of it is to be used.
    pub fn reload(&mut self) -> Result<ReloadedConfig, String> {
        let text = std::fs::read(&self.path).map_err(|e| e.to_string());
        text.and_then(|t| self.replace(&t)).map_err(|e| format!("{}: {e}", self.path.display()))
    }

    /// The same with its text.
    fn replace(&mut self, text: &[u8]) -> Result<ReloadedConfig, String> {
        let form = form(text)?;
        if let Some(key) = find_missing_key(&self.form, &form) {
            return Err(format!("{key} is missing"));
        }
        let config = Config::parse(text, EnvironmentOverrides::default())?;
        self.form = form;
        Ok(ReloadedConfig { discovery: config.discovery, settings: config.settings })
    }
}

/// What of a file is compared with the next one.
fn form(text: &[u8]) -> Result<serde_json::Value, String> {
    let mut form: serde_json::Value = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    if let Some(known) = form.get_mut("known") {
        *known = serde_json::Value::Null;
    }
    Ok(form)
}

/// The seed is hex; anything else still gives one, by its bytes.
fn seed(text: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    u64::from_str_radix(text, 16).unwrap_or_else(|_| text.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}
