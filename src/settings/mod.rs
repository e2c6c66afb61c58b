//! The settings that the platform gives a new instance, from JSON to typed values.

mod missing_key;
mod object;
mod policy;
mod validate;

pub use missing_key::find_missing_key;

use crate::interface::{Nanos, Settings};
use object::SettingsObject;
use policy::policy_settings;

/// What a coordinator is told beside what the module needs: names and the limits of its connections.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorSettings {
    /// For the module.
    pub policy: Settings,
    /// A connection that is not ready by then has failed.
    pub connect_timeout: Nanos,
    /// An idle connection is closed by the other side after this at the latest.
    pub idle_timeout: Nanos,
    /// Calls that one connection carries at a time.
    pub max_streams_per_connection: usize,
    /// Queries and parts that may be held at a time.
    pub max_in_flight: usize,
}

/// Reads the settings text for the module.
pub fn parse_policy_settings(text: &str) -> Result<Settings, String> {
    serde_json::from_str(text).map_err(|e| e.to_string()).and_then(policy_settings)
}

/// Reads the settings for a coordinator on sockets.
pub fn parse_coordinator_settings(value: serde_json::Value) -> Result<CoordinatorSettings, String> {
    let object: SettingsObject = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let limits = &object.limits;
    Ok(CoordinatorSettings {
        connect_timeout: limits.connect_timeout.unwrap_or(250_000_000),
        idle_timeout: limits.idle_timeout.unwrap_or(15_000_000_000),
        max_streams_per_connection: limits.max_streams_per_connection.unwrap_or(100).max(1),
        max_in_flight: limits.max_in_flight.unwrap_or(usize::MAX),
        policy: policy_settings(object)?,
    })
}
