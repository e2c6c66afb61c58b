//! The settings text of a new instance. Unknown keys are skipped; an absent one has the wire's meaning of absent.

use crate::interface::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BootInfo {
    balancers: u32,
    classes: Vec<BootClass>,
    #[serde(default)]
    discovery: String,
    family_info: FamilyInfo,
    #[serde(default)]
    invariants: Invariants,
    #[serde(default)]
    limits: Limits,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    tenants: Vec<BootTenant>,
    tick: Nanos,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BootClass {
    aim: Nanos,
    #[serde(default)]
    aim_stretch: f64,
    deadline: Nanos,
    effect: String,
    #[serde(default)]
    dedup_window: Nanos,
    #[serde(default = "one")]
    points: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    name: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FamilyInfo {
    #[serde(default)]
    bundle_max: u32,
    #[serde(default)]
    call_cost: Nanos,
    cells: u32,
    #[serde(default)]
    class_need: Vec<f64>,
    #[serde(default)]
    follow_up: Vec<u32>,
    in_a_row: u32,
    #[serde(default)]
    least_share: Vec<f64>,
    slices: u32,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Invariants {
    extra_floor: Option<f64>,
    extra_ratio: Option<f64>,
    look_back: Option<Nanos>,
    must_ask_in: Option<Nanos>,
    overload_factor: Option<f64>,
    overload_for: Option<Nanos>,
    start_capacity: Option<f64>,
    warm_up: Option<Nanos>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Limits {
    cancel: bool,
    dial_timeout: Option<Nanos>,
    idle_close: Option<Nanos>,
    max_attempts: u32,
    max_retry_after: Nanos,
    most_held: Option<usize>,
    retry_after: bool,
    second_copies: bool,
    streams_per_conn: Option<usize>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct BootTenant {
    quota_rps: Option<f64>,
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
    serde_json::from_str(text).map_err(|e| e.to_string()).and_then(module_settings)
}

/// Reads the settings for a coordinator on sockets.
pub fn parse_coordinator_settings(value: serde_json::Value) -> Result<CoordinatorSettings, String> {
    let boot: BootInfo = serde_json::from_value(value).map_err(|e| e.to_string())?;
    let limits = &boot.limits;
    Ok(CoordinatorSettings {
        connect_timeout: limits.dial_timeout.unwrap_or(250_000_000),
        idle_timeout: limits.idle_close.unwrap_or(15_000_000_000),
        max_streams_per_connection: limits.streams_per_conn.unwrap_or(100).max(1),
        max_in_flight: limits.most_held.unwrap_or(usize::MAX),
        policy: module_settings(boot)?,
    })
}

fn module_settings(boot: BootInfo) -> Result<Settings, String> {
    let (family, rules, limits) = (boot.family_info, boot.invariants, boot.limits);
    let mut classes = Vec::new();
    for (at, c) in boot.classes.into_iter().enumerate() {
        let effect = match c.effect.as_str() {
            "read_like" => Effect::Idempotent,
            "idempotency_key" => Effect::Deduplicated(c.dedup_window),
            "non_idempotent" => Effect::NonIdempotent,
            other => return Err(format!("class {at}: unknown effect {other:?}")),
        };
        let need = family.class_need.get(at).copied().unwrap_or(1.0);
        classes.push(Class {
            name: c.name,
            in_force: true,
            latency_objective: c.aim,
            objective_stretch: c.aim_stretch,
            deadline: c.deadline,
            effect,
            priority_weight: c.points,
            late_weight: c.late_worth,
            required_share: need,
            min_share: family.least_share.get(at).copied().unwrap_or(need),
            follow_up: family.follow_up.get(at).copied().unwrap_or(0),
            max_attempts: limits.max_attempts,
        });
    }
    let extra = rules.look_back.map(|look_back| RetryBudget {
        free: rules.extra_floor.unwrap_or(0.0),
        ratio: rules.extra_ratio.unwrap_or(0.0),
        window: look_back,
    });
    let cold = match (rules.overload_factor, rules.overload_for) {
        (Some(factor), Some(span)) => Some(SlowStartRule {
            overload_factor: factor,
            overload_window: span,
            initial_capacity: rules.start_capacity.unwrap_or(0.0),
            warm_up: rules.warm_up.unwrap_or(0),
        }),
        _ => None,
    };
    Ok(Settings {
        coordinators: boot.balancers,
        tick: boot.tick,
        classes,
        tenants: boot.tenants.into_iter().map(|t| Tenant { quota: t.quota_rps }).collect(),
        over_quota_weight: boot.over_share_worth,
        shards: family.slices,
        cells: family.cells,
        cells_per_shard: family.in_a_row,
        max_batch: family.bundle_max,
        call_cost: family.call_cost,
        max_poll_interval: (boot.discovery == "ask").then_some(rules.must_ask_in.unwrap_or(Nanos::MAX)),
        retry_budget: extra,
        slow_start: cold,
        cancellation: limits.cancel,
        hedging: limits.second_copies,
        max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
        reduction: ServiceReduction::default(),
    })
}
