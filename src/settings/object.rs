//! The settings object as the platform sends it.
//!
//! Unknown keys are ignored; an absent key has the meaning that the wire protocol gives to its
//! absence. Fields have the names that the rest of the program uses; where the key in the wire
//! protocol differs, it is in the `serde` attribute. Times are nanoseconds. The `expecting`
//! attributes keep the type names in the error messages of the JSON reader unchanged.

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
    /// The kind of discovery, which determines whether the endpoint list is pushed or polled.
    #[serde(default)]
    pub discovery: String,
    /// The properties of the query family.
    #[serde(rename = "family-info")]
    pub query_family: QueryFamily,
    /// The platform's requirements.
    #[serde(default, rename = "invariants")]
    pub rules: PlatformRules,
    /// The limits and optional features.
    #[serde(default)]
    pub limits: TransportLimits,
    /// The weight of a query beyond its tenant's quota, as a share of the weight of its class.
    #[serde(default = "one", rename = "over-share-worth")]
    pub over_quota_weight: f64,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantObject>,
    /// The shortest time between two batches, in nanoseconds.
    pub tick: Nanos,
}

/// A class of queries.
#[derive(Deserialize)]
#[serde(expecting = "struct BootClass", rename_all = "kebab-case")]
pub struct ClassObject {
    /// The time within which an answer has its full weight, in nanoseconds.
    #[serde(rename = "aim")]
    pub latency_objective: Nanos,
    /// The multiple of a query's expected work by which its latency objective is extended.
    #[serde(default, rename = "aim-stretch")]
    pub objective_stretch: f64,
    /// The time that a client waits for the final answer, in nanoseconds.
    pub deadline: Nanos,
    /// The effect of running a part more than once, by its name in the wire protocol.
    pub effect: String,
    /// The time within which servers detect a repeated part, in nanoseconds.
    #[serde(default, rename = "dedup-window")]
    pub deduplication_window: Nanos,
    /// The weight of a complete answer, relative to those of other classes.
    #[serde(default = "one", rename = "points")]
    pub priority_weight: f64,
    /// The share of the weight that an answer still has after the latency objective, 0 to 1.
    #[serde(default, rename = "late-worth")]
    pub late_weight: f64,
    /// The name of the class.
    #[serde(default)]
    pub name: String,
}

/// The query family: how many shards and cells there are, and which share of the parts each class
/// requires. The lists have one entry for each class, in the same order, and may be shorter.
#[derive(Deserialize)]
#[serde(expecting = "struct FamilyInfo", rename_all = "kebab-case")]
pub struct QueryFamily {
    /// The maximum number of attempts in one call.
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
    /// The minimum share of the weight with which an answer may be given, 0 to 1, by class.
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
    /// The multiple of its capacity that overloads a server if it is sustained for the overload
    /// window.
    pub overload_factor: Option<f64>,
    /// The time for which the load must be sustained to overload a server, in nanoseconds.
    #[serde(rename = "overload-for")]
    pub overload_window: Option<Nanos>,
    /// The capacity of a server at its start, as a share of its capacity after the warm-up.
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
    /// The longest `Retry-After` of a rejection, in nanoseconds.
    pub max_retry_after: Nanos,
    /// The maximum number of queries and parts that are pending at the same time.
    #[serde(rename = "most-held")]
    pub max_in_flight: Option<usize>,
    /// Whether rejections carry a `Retry-After`.
    pub retry_after: bool,
    /// Whether two attempts at a part may be in flight at the same time.
    #[serde(rename = "second-copies")]
    pub hedging: bool,
    /// The maximum number of concurrent calls on one connection.
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
