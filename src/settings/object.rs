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
    /// The number of coordinators that share the servers, this one included.
    #[serde(rename = "balancers")]
    pub coordinators: u32,
    /// The classes of queries.
    pub classes: Vec<ClassObject>,
    /// The kind of discovery: whether the endpoint list is pushed or polled.
    #[serde(default)]
    pub discovery: String,
    /// The shape of the queries.
    #[serde(rename = "family-info")]
    pub query_family: QueryFamily,
    /// The platform's requirements.
    #[serde(default, rename = "invariants")]
    pub rules: PlatformRules,
    /// The limits and optional features.
    #[serde(default)]
    pub limits: TransportLimits,
    /// The weight of a query beyond its tenant's quota, as a share of its class's.
    #[serde(default = "one", rename = "over-share-worth")]
    pub over_quota_weight: f64,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantObject>,
    /// The shortest time between two batches, in nanoseconds.
    pub tick: Nanos,
}

/// A class of query.
#[derive(Deserialize)]
#[serde(expecting = "struct BootClass", rename_all = "kebab-case")]
pub struct ClassObject {
    /// The time within which an answer earns the full weight, in nanoseconds.
    #[serde(rename = "aim")]
    pub latency_objective: Nanos,
    /// The multiple of a query's expected work by which its latency objective is extended.
    #[serde(default, rename = "aim-stretch")]
    pub objective_stretch: f64,
    /// The time that a client waits for the final answer, in nanoseconds.
    pub deadline: Nanos,
    /// The consequence of running a part more than once, by its name in the wire protocol.
    pub effect: String,
    /// The time in which servers detect a repeated part, in nanoseconds.
    #[serde(default, rename = "dedup-window")]
    pub deduplication_window: Nanos,
    /// The weight of a complete answer, relative to those of other classes.
    #[serde(default = "one", rename = "points")]
    pub priority_weight: f64,
    /// The share of the weight that an answer after the latency objective still earns, 0 to 1.
    #[serde(default, rename = "late-worth")]
    pub late_weight: f64,
    /// The name of the class.
    #[serde(default)]
    pub name: String,
}

/// The shape of the queries: how many shards and cells there are, and what each class needs of
/// them. The lists run parallel to the classes and may be shorter.
#[derive(Deserialize)]
#[serde(expecting = "struct FamilyInfo", rename_all = "kebab-case")]
pub struct QueryFamily {
    /// The maximum number of parts in one call.
    #[serde(default, rename = "bundle-max")]
    pub max_batch: u32,
    /// The work of a call in addition to that of its parts, in nanoseconds.
    #[serde(default, rename = "call-cost")]
    pub call_overhead: Nanos,
    /// The number of cells.
    pub cells: u32,
    /// The share of the weight that makes an answer complete, 0 to 1, by class.
    #[serde(default, rename = "class-need")]
    pub required_shares: Vec<f64>,
    /// The number of parts in the follow-up step, by class.
    #[serde(default, rename = "follow-up")]
    pub follow_up_parts: Vec<u32>,
    /// The number of cells that hold a shard.
    #[serde(rename = "in-a-row")]
    pub cells_per_shard: u32,
    /// The minimum share of the weight from which an answer may be given, 0 to 1, by class.
    #[serde(default, rename = "least-share")]
    pub min_shares: Vec<f64>,
    /// The number of shards.
    #[serde(rename = "slices")]
    pub shards: u32,
}

/// The platform's requirements on every coordinator: its retry budget, its polling interval and
/// slow start.
#[derive(Deserialize, Default)]
#[serde(expecting = "struct Invariants", rename_all = "kebab-case", default)]
pub struct PlatformRules {
    /// The number of retries that are free in any window.
    #[serde(rename = "extra-floor")]
    pub free_retries: Option<f64>,
    /// The number of retries that each query or part received in the window adds.
    #[serde(rename = "extra-ratio")]
    pub retry_ratio: Option<f64>,
    /// The window of the retry budget, in nanoseconds.
    #[serde(rename = "look-back")]
    pub retry_window: Option<Nanos>,
    /// The longest interval between polls for the endpoint list, in nanoseconds.
    #[serde(rename = "must-ask-in")]
    pub max_poll_interval: Option<Nanos>,
    /// The multiple of its capacity that overloads a server, if sustained for the window.
    pub overload_factor: Option<f64>,
    /// The window of the overload, in nanoseconds.
    #[serde(rename = "overload-for")]
    pub overload_window: Option<Nanos>,
    /// The capacity of a server at its start, as a share of the capacity when warm.
    #[serde(rename = "start-capacity")]
    pub initial_capacity: Option<f64>,
    /// The time after its start at which a server has its full capacity, in nanoseconds.
    pub warm_up: Option<Nanos>,
}

/// The limits of connections and attempts, and the optional features that the platform allows.
#[derive(Deserialize, Default, Clone, Copy)]
#[serde(expecting = "struct Limits", rename_all = "kebab-case", default)]
pub struct TransportLimits {
    /// Whether attempts can be cancelled at the servers.
    #[serde(rename = "cancel")]
    pub cancellation: bool,
    /// The time within which a connection must be established, in nanoseconds.
    #[serde(rename = "dial-timeout")]
    pub connect_timeout: Option<Nanos>,
    /// The idle time after which servers close a connection, in nanoseconds.
    #[serde(rename = "idle-close")]
    pub idle_timeout: Option<Nanos>,
    /// The maximum number of attempts at a part.
    pub max_attempts: u32,
    /// The longest `Retry-After` of a rejected client, in nanoseconds.
    pub max_retry_after: Nanos,
    /// The number of queries and parts that may be in flight at a time.
    #[serde(rename = "most-held")]
    pub max_in_flight: Option<usize>,
    /// Whether rejections carry a `Retry-After`.
    pub retry_after: bool,
    /// Whether two attempts at a part may be in flight at a time.
    #[serde(rename = "second-copies")]
    pub hedging: bool,
    /// The number of concurrent calls on one connection.
    #[serde(rename = "streams-per-conn")]
    pub max_streams_per_connection: Option<usize>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(expecting = "struct BootTenant", rename_all = "kebab-case")]
pub struct TenantObject {
    /// The quota over all coordinators, in queries per second.
    #[serde(rename = "quota-rps")]
    pub quota: Option<f64>,
}

/// Returns the default of a weight.
fn one() -> f64 {
    1.0
}
