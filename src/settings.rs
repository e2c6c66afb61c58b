//! The settings text of a new instance. Unknown keys are skipped; an absent one has the wire's meaning of absent.

use crate::interface::*;
use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(rename = "BootInfo", rename_all = "kebab-case")]
struct SettingsObject {
    #[serde(rename = "balancers")]
    coordinators: u32,
    classes: Vec<ClassObject>,
    #[serde(default)]
    discovery: String,
    #[serde(rename = "family-info")]
    query_family: QueryFamily,
    #[serde(default, rename = "invariants")]
    rules: PlatformRules,
    #[serde(default)]
    limits: TransportLimits,
    #[serde(default = "one", rename = "over-share-worth")]
    over_quota_weight: f64,
    #[serde(default)]
    tenants: Vec<TenantObject>,
    tick: Nanos,
}

/// A class of query.
#[derive(Deserialize)]
#[serde(rename = "BootClass", rename_all = "kebab-case")]
struct ClassObject {
    #[serde(rename = "aim")]
    latency_objective: Nanos,
    #[serde(default, rename = "aim-stretch")]
    objective_stretch: f64,
    deadline: Nanos,
    effect: String,
    #[serde(default, rename = "dedup-window")]
    deduplication_window: Nanos,
    #[serde(default = "one", rename = "points")]
    priority_weight: f64,
    #[serde(default, rename = "late-worth")]
    late_weight: f64,
    #[serde(default)]
    name: String,
}

/// The shape of the queries: how many shards and cells there are, and what each class needs of them. The lists
/// run parallel to the classes and may be shorter.
#[derive(Deserialize)]
#[serde(rename = "FamilyInfo", rename_all = "kebab-case")]
struct QueryFamily {
    #[serde(default, rename = "bundle-max")]
    max_batch: u32,
    #[serde(default)]
    call_cost: Nanos,
    cells: u32,
    #[serde(default, rename = "class-need")]
    required_shares: Vec<f64>,
    #[serde(default)]
    follow_up: Vec<u32>,
    #[serde(rename = "in-a-row")]
    cells_per_shard: u32,
    #[serde(default, rename = "least-share")]
    min_shares: Vec<f64>,
    #[serde(rename = "slices")]
    shards: u32,
}

/// What the platform demands of every coordinator: its retry budget, its polling interval and slow start.
#[derive(Deserialize, Default)]
#[serde(rename = "Invariants", rename_all = "kebab-case", default)]
struct PlatformRules {
    #[serde(rename = "extra-floor")]
    free_retries: Option<f64>,
    #[serde(rename = "extra-ratio")]
    retry_ratio: Option<f64>,
    #[serde(rename = "look-back")]
    retry_window: Option<Nanos>,
    #[serde(rename = "must-ask-in")]
    max_poll_interval: Option<Nanos>,
    overload_factor: Option<f64>,
    #[serde(rename = "overload-for")]
    overload_window: Option<Nanos>,
    #[serde(rename = "start-capacity")]
    initial_capacity: Option<f64>,
    warm_up: Option<Nanos>,
}

/// Limits of connections and attempts, and the optional features that the platform allows.
#[derive(Deserialize, Default)]
#[serde(rename = "Limits", rename_all = "kebab-case", default)]
struct TransportLimits {
    #[serde(rename = "cancel")]
    cancellation: bool,
    #[serde(rename = "dial-timeout")]
    connect_timeout: Option<Nanos>,
    #[serde(rename = "idle-close")]
    idle_timeout: Option<Nanos>,
    max_attempts: u32,
    max_retry_after: Nanos,
    #[serde(rename = "most-held")]
    max_in_flight: Option<usize>,
    retry_after: bool,
    #[serde(rename = "second-copies")]
    hedging: bool,
    #[serde(rename = "streams-per-conn")]
    max_streams_per_connection: Option<usize>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename = "BootTenant", rename_all = "kebab-case")]
struct TenantObject {
    #[serde(rename = "quota-rps")]
    quota: Option<f64>,
}

fn one() -> f64 {
    1.0
}

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

impl CoordinatorSettings {
    /// What settings must hold so that a program may begin with them, or go over to them while it runs.
    pub fn validate(&self) -> Result<(), String> {
        let m = &self.policy;
        let counts = [
            ("balancers", u64::from(m.coordinators)),
            ("tick", m.tick),
            ("family-info.slices", u64::from(m.shards)),
            ("family-info.cells", u64::from(m.cells)),
            ("family-info.in-a-row", u64::from(m.cells_per_shard)),
            ("limits.dial-timeout", self.connect_timeout),
        ];
        if let Some((key, _)) = counts.iter().find(|c| c.1 == 0) {
            return Err(format!("{key} is not above 0"));
        }
        let classes = &m.classes;
        for (at, c) in classes.iter().enumerate() {
            let fault = |why: &str| Err(format!("class {:?}: {why}", c.name));
            match () {
                () if c.name.is_empty() => return fault("it has no name"),
                () if classes[..at].iter().any(|b| b.name == c.name) => return fault("it is named twice"),
                () if c.deadline == 0 => return fault("its deadline is not above 0"),
                () if c.max_attempts == 0 => {
                    return fault("its attempts (limits.max-attempts) are not above 0")
                }
                () if !(0.0..=1.0).contains(&c.required_share) => return fault("its class-need is no share"),
                () if !(0.0..=1.0).contains(&c.min_share) => return fault("its least-share is no share"),
                () if c.priority_weight < 0.0 || c.late_weight < 0.0 => return fault("its worth is below 0"),
                () => {}
            }
        }
        if classes.is_empty() {
            return Err("there are no classes".to_owned());
        }
        Ok(())
    }
}

/// Keys that the wire lets settings go without.
const OPTIONAL: [&str; 5] = ["aim-stretch", "warm-keys", "extra-floor", "extra-ratio", "look-back"];

/// The first key that `old` has and `new` lacks, at any depth: defaults would stand in for it unseen. The elements of a
/// list of objects are all of the form of its first.
pub fn find_missing_key(old: &serde_json::Value, new: &serde_json::Value) -> Option<String> {
    use serde_json::Value::{Array, Object};
    match (old, new) {
        (Object(old), Object(new)) => old.iter().find_map(|(key, value)| match new.get(key) {
            None => (!OPTIONAL.contains(&key.as_str())).then(|| key.clone()),
            Some(new) => find_missing_key(value, new).map(|inner| format!("{key}.{inner}")),
        }),
        (Array(old), Array(new)) => {
            old.first().and_then(|form| new.iter().find_map(|n| find_missing_key(form, n)))
        }
        (Object(old), _) => old.keys().next().cloned(),
        _ => None,
    }
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

fn policy_settings(object: SettingsObject) -> Result<Settings, String> {
    let (family, rules, limits) = (object.query_family, object.rules, object.limits);
    let mut classes = Vec::new();
    for (at, c) in object.classes.into_iter().enumerate() {
        let effect = match c.effect.as_str() {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated(c.deduplication_window),
            "non_idempotent" => Effect::NonIdempotent,
            other => return Err(format!("class {at}: unknown effect {other:?}")),
        };
        let need = family.required_shares.get(at).copied().unwrap_or(1.0);
        classes.push(Class {
            name: c.name,
            in_force: true,
            latency_objective: c.latency_objective,
            objective_stretch: c.objective_stretch,
            deadline: c.deadline,
            effect,
            priority_weight: c.priority_weight,
            late_weight: c.late_weight,
            required_share: need,
            min_share: family.min_shares.get(at).copied().unwrap_or(need),
            follow_up: family.follow_up.get(at).copied().unwrap_or(0),
            max_attempts: limits.max_attempts,
        });
    }
    let extra = rules.retry_window.map(|look_back| RetryBudget {
        free: rules.free_retries.unwrap_or(0.0),
        ratio: rules.retry_ratio.unwrap_or(0.0),
        window: look_back,
    });
    let cold = match (rules.overload_factor, rules.overload_window) {
        (Some(factor), Some(span)) => Some(SlowStartRule {
            overload_factor: factor,
            overload_window: span,
            initial_capacity: rules.initial_capacity.unwrap_or(0.0),
            warm_up: rules.warm_up.unwrap_or(0),
        }),
        _ => None,
    };
    Ok(Settings {
        coordinators: object.coordinators,
        tick: object.tick,
        classes,
        tenants: object.tenants.into_iter().map(|t| Tenant { quota: t.quota }).collect(),
        over_quota_weight: object.over_quota_weight,
        shards: family.shards,
        cells: family.cells,
        cells_per_shard: family.cells_per_shard,
        max_batch: family.max_batch,
        call_cost: family.call_cost,
        max_poll_interval: (object.discovery == "ask")
            .then_some(rules.max_poll_interval.unwrap_or(Nanos::MAX)),
        retry_budget: extra,
        slow_start: cold,
        cancellation: limits.cancellation,
        hedging: limits.hedging,
        max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
        reduction: ServiceReduction::default(),
    })
}
