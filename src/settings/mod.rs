//! The settings that the platform gives a new coordinator: their conversion from JSON to typed
//! values, and their validation.
//!
//! All times are nanoseconds, as on the wire. The configuration file of a process and the edge file
//! are read elsewhere: see [`net::config`](crate::net::config) and
//! [`front::ogc::config`](crate::front::ogc::config).

mod error;
mod missing_key;
mod object;
mod policy;
#[cfg(test)]
mod tests;
mod validate;

pub use error::{ClassFault, SettingsError};
pub use missing_key::find_missing_key;

use crate::interface::{Nanos, Settings};
use object::{SettingsObject, TransportLimits};
use policy::policy_settings;

/// The connect timeout if the settings state none: 250 ms.
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;
/// The idle time after which servers close a connection if the settings state none: 15 s.
const DEFAULT_IDLE_TIMEOUT: Nanos = 15_000_000_000;
/// The maximum number of concurrent calls on one connection if the settings state none.
const DEFAULT_MAX_STREAMS: usize = 100;

/// The settings of a coordinator on sockets: those of the decision policy and the limits of its
/// connections.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorSettings {
    /// The settings of the decision policy.
    pub policy: Settings,
    /// The time within which a connection must be established, in nanoseconds.
    pub connect_timeout: Nanos,
    /// The idle time after which a server closes a connection at the latest, in nanoseconds.
    pub idle_timeout: Nanos,
    /// The maximum number of concurrent calls on one connection, at least 1.
    pub max_streams_per_connection: usize,
    /// The maximum number of queries and parts that are pending at the same time.
    pub max_in_flight: usize,
}

impl CoordinatorSettings {
    fn new(policy: Settings, limits: &TransportLimits) -> Self {
        CoordinatorSettings {
            policy,
            connect_timeout: limits.connect_timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: limits.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            max_streams_per_connection: limits
                .max_streams_per_connection
                .unwrap_or(DEFAULT_MAX_STREAMS)
                .max(1),
            max_in_flight: limits.max_in_flight.unwrap_or(usize::MAX),
        }
    }
}

/// Reads the settings of the decision policy from a settings object in JSON.
///
/// # Errors
///
/// [`SettingsError::Json`] if the text has the wrong form, [`SettingsError::UnknownEffect`] for a
/// class with an effect that the wire protocol does not have. Other values are not checked.
pub fn parse_policy_settings(text: &str) -> Result<Settings, SettingsError> {
    policy_settings(serde_json::from_str(text)?)
}

/// Reads the settings of a coordinator on sockets from a settings object; see
/// [`CoordinatorSettings::validate`] for the checks that follow.
///
/// # Errors
///
/// Those of [`parse_policy_settings`].
pub fn parse_coordinator_settings(
    value: serde_json::Value,
) -> Result<CoordinatorSettings, SettingsError> {
    let object: SettingsObject = serde_json::from_value(value)?;
    let limits = object.limits;
    Ok(CoordinatorSettings::new(policy_settings(object)?, &limits))
}
