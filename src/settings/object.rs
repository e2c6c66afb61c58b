//! The settings object as the platform sends it.
//!
//! Unknown keys are skipped; an absent key has the meaning that the wire protocol gives to its
//! absence. Each field has its usual name here, and the key of the wire in its `serde` attribute.
//! Times are nanoseconds. `expecting` preserves the type names that messages of the JSON reader
//! have always shown.

use crate::interface::Nanos;
use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(expecting = "struct BootInfo", rename_all = "kebab-case")]
pub struct SettingsObject {
    #[serde(rename = "balancers")]
    pub coordinators: u32,
    pub classes: Vec<ClassObject>,
    #[serde(default)]
    pub discovery: String,
    #[serde(rename = "family-info")]
    pub query_family: QueryFamily,
    #[serde(default, rename = "invariants")]
    pub rules: PlatformRules,
    #[serde(default)]
    pub limits: TransportLimits,
    #[serde(default = "one", rename = "over-share-worth")]
    pub over_quota_weight: f64,
    #[serde(default)]
    pub tenants: Vec<TenantObject>,
    pub tick: Nanos,
}

/// A class of query.
#[derive(Deserialize)]
#[serde(expecting = "struct BootClass", rename_all = "kebab-case")]
pub struct ClassObject {
    #[serde(rename = "aim")]
    pub latency_objective: Nanos,
    #[serde(default, rename = "aim-stretch")]
    pub objective_stretch: f64,
    pub deadline: Nanos,
    pub effect: String,
    #[serde(default, rename = "dedup-window")]
    pub deduplication_window: Nanos,
    #[serde(default = "one", rename = "points")]
    pub priority_weight: f64,
    #[serde(default, rename = "late-worth")]
    pub late_weight: f64,
    #[serde(default)]
    pub name: String,
}

/// The shape of the queries: how many shards and cells there are, and what each class needs of
/// them. The lists run parallel to the classes and may be shorter.
#[derive(Deserialize)]
#[serde(expecting = "struct FamilyInfo", rename_all = "kebab-case")]
pub struct QueryFamily {
    #[serde(default, rename = "bundle-max")]
    pub max_batch: u32,
    #[serde(default, rename = "call-cost")]
    pub call_overhead: Nanos,
    pub cells: u32,
    #[serde(default, rename = "class-need")]
    pub required_shares: Vec<f64>,
    #[serde(default, rename = "follow-up")]
    pub follow_up_parts: Vec<u32>,
    #[serde(rename = "in-a-row")]
    pub cells_per_shard: u32,
    #[serde(default, rename = "least-share")]
    pub min_shares: Vec<f64>,
    #[serde(rename = "slices")]
    pub shards: u32,
}

/// The platform's requirements on every coordinator: its retry budget, its polling interval and
/// slow start.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Invariants", rename_all = "kebab-case", default)]
pub struct PlatformRules {
    #[serde(rename = "extra-floor")]
    pub free_retries: Option<f64>,
    #[serde(rename = "extra-ratio")]
    pub retry_ratio: Option<f64>,
    #[serde(rename = "look-back")]
    pub retry_window: Option<Nanos>,
    #[serde(rename = "must-ask-in")]
    pub max_poll_interval: Option<Nanos>,
    pub overload_factor: Option<f64>,
    #[serde(rename = "overload-for")]
    pub overload_window: Option<Nanos>,
    #[serde(rename = "start-capacity")]
    pub initial_capacity: Option<f64>,
    pub warm_up: Option<Nanos>,
}

/// The limits of connections and attempts, and the optional features that the platform allows.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(expecting = "struct Limits", rename_all = "kebab-case", default)]
pub struct TransportLimits {
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    #[serde(rename = "dial-timeout")]
    pub connect_timeout: Option<Nanos>,
    #[serde(rename = "idle-close")]
    pub idle_timeout: Option<Nanos>,
    pub max_attempts: u32,
    pub max_retry_after: Nanos,
    #[serde(rename = "most-held")]
    pub max_in_flight: Option<usize>,
    pub retry_after: bool,
    #[serde(rename = "second-copies")]
    pub hedging: bool,
    #[serde(rename = "streams-per-conn")]
    pub max_streams_per_connection: Option<usize>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(expecting = "struct BootTenant", rename_all = "kebab-case")]
pub struct TenantObject {
    #[serde(rename = "quota-rps")]
    pub quota: Option<f64>,
}

/// Returns the default of a weight.
fn one() -> f64 {
    1.0
}
