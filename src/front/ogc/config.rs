//! The operator's file that sets this front up.

use super::cql2::{QueryableType, Queryables};
use super::inventory::{read_file, InventoryError, Server};
use crate::interface::{Class, Effect, RetryBudget, ServiceReduction, Settings, SlowStartRule};
use crate::limits::Rule;
use crate::time::Micros;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Edge")]
pub struct EdgeConfig {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators are answered, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// The inventory's file; from the folder of this one.
    pub inventory: PathBuf,
    /// Coordinators that share the servers, this one included.
    #[serde(default = "one")]
    pub coordinators: u32,
    /// Most attempts at a part.
    #[serde(default = "four")]
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Queries and parts held at a time.
    #[serde(default = "held")]
    #[serde(rename = "most_held")]
    pub max_in_flight: usize,
    /// Descriptors that the process may hold.
    #[serde(default = "sockets")]
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    #[serde(default = "memory")]
    pub memory_mb: usize,
    /// Features of an answer when its query names no limit.
    #[serde(default = "limit")]
    pub default_limit: usize,
    /// Most features of an answer, whatever its query says.
    #[serde(default = "most_limit")]
    #[serde(rename = "most_limit")]
    pub max_limit: usize,
    /// Features asked of a server at a time.
    #[serde(default = "page")]
    pub page_size: usize,
    /// A first answer asks up to so many shards at once.
    #[serde(default = "at_once")]
    #[serde(rename = "at_once")]
    pub max_initial_shards: usize,
    /// What cursors are authenticated with, 32 hexadecimal digits or more; absent: a new key at each start, so that
    /// cursors end with the process. Coordinators that share clients need the same.
    pub cursor_key: Option<String>,
    /// A cursor serves for so long, in seconds from its query's first answer.
    #[serde(default = "cursor_age")]
    #[serde(rename = "cursor_age_s")]
    pub cursor_max_age_s: u64,
    /// What servers can do is learned anew after so long, in seconds.
    #[serde(default = "learned_age")]
    #[serde(rename = "learned_age_s")]
    pub capability_max_age_s: u64,
    /// Most characters of a filter that is passed on in a request's head.
    #[serde(default = "filter_text")]
    #[serde(rename = "most_filter_text")]
    pub max_filter_text: usize,
    /// Most pages of an answer.
    #[serde(default = "pages")]
    #[serde(rename = "most_pages")]
    pub max_pages: usize,
    /// Most bytes of a page, and of an answer's pages together.
    #[serde(default = "bytes")]
    #[serde(rename = "most_bytes")]
    pub max_bytes: usize,
    /// Connections to one server at a time.
    #[serde(default = "connections")]
    #[serde(rename = "most_connections")]
    pub max_connections: usize,
    /// A connection that is not ready by then has failed.
    #[serde(default = "dial")]
    pub dial_timeout_ms: u64,
    /// Idle connections to servers are kept so long: less than the servers keep theirs.
    #[serde(default = "idle")]
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: u64,
    /// The longest wait that a refused client is asked for.
    #[serde(default = "retry")]
    #[serde(rename = "retry_after_ms")]
    pub max_retry_after_ms: u64,
    /// Limits on what servers and this edge take on.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// How a server that just started is spared; absent: not at all.
    #[serde(rename = "warm_up")]
    pub slow_start: Option<SlowStartConfig>,
    /// Classes of query; the first is for queries that name none.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// What is to be told of collections beside their names.
    #[serde(rename = "collection", default)]
    pub collections: Vec<CollectionConfig>,
}

/// Limits on what servers and this edge take on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Limits")]
pub struct LimitsConfig {
    /// `adaptive`: requests under way at a server follow its response times; `fixed`: always `most_connections`.
    pub mode: String,
    /// Requests under way at a server at first, and at least.
    #[serde(rename = "start")]
    pub initial: usize,
    /// See `start`.
    #[serde(rename = "least")]
    pub min: usize,
    /// Further attempts at parts, as a share of the parts of the last ten seconds; ten more are free.
    #[serde(rename = "repeats")]
    pub retry_ratio: f64,
    /// Queries are taken on by what they cost against what servers bear; `false`: all that `most_held` allows.
    pub admission: bool,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        LimitsConfig { mode: "adaptive".to_owned(), initial: 8, min: 2, retry_ratio: 0.25, admission: true }
    }
}

/// Further attempts are counted over this span.
const REPEATS_SPAN: Micros = Micros::from_secs(10);
/// Further attempts that are free in it.
const FREE_REPEATS: f64 = 10.0;

/// A class of query.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct EdgeClass")]
pub struct ClassConfig {
    /// Its name, as `X-Qos` gives it.
    pub name: String,
    /// Wanted within this time.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Given up after this time.
    pub deadline_ms: u64,
    /// Least share of the parts that an answer may be given from.
    #[serde(default = "whole")]
    #[serde(rename = "floor")]
    pub min_share: f64,
    /// `safe`: parts may be asked again; `unsafe`: never once they may have run.
    #[serde(default = "safe")]
    pub effect: String,
    /// Worth of a whole answer beside other classes'.
    #[serde(default = "whole")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still has.
    #[serde(default)]
    #[serde(rename = "late_worth")]
    pub late_weight: f64,
}

/// How a server that just started is spared.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct WarmUp")]
pub struct SlowStartConfig {
    /// Share of its capacity that it starts with.
    #[serde(rename = "start")]
    pub initial_capacity: f64,
    /// Warm after this.
    #[serde(rename = "ms")]
    pub warm_up_ms: u64,
    /// Never sent more than this multiple of what it can do
    #[serde(rename = "factor")]
    pub overload_factor: f64,
    /// for this long.
    #[serde(rename = "span_ms")]
    pub overload_window_ms: u64,
}

/// What is told of a collection.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Collection")]
pub struct CollectionConfig {
    /// Its name.
    pub id: String,
    /// Its title.
    pub title: Option<String>,
    /// Its description.
    pub description: Option<String>,
    /// All servers of a shard give its features in the same order, with links that lead to the same place: what one of
    /// them began another may go on with.
    #[serde(default)]
    pub same_order: bool,
    /// The box that its features lie in, in CRS84.
    pub bbox: Option<[f64; 4]>,
    /// What can be asked of it, by name: `text`, `number`, `bool`, `time`, `geometry`, `array` or `any`. Absent: what its
    /// servers tell.
    #[serde(default)]
    pub queryables: BTreeMap<String, String>,
}

impl CollectionConfig {
    /// What can be asked of it, if that is told.
    pub fn queryables(&self) -> Option<Queryables> {
        if self.queryables.is_empty() {
            return None;
        }
        let named = self.queryables.iter().filter_map(|(n, k)| Some((n.clone(), kind(k)?))).collect();
        Some(Queryables { named, open: false })
    }
}

fn kind(name: &str) -> Option<QueryableType> {
    Some(match name {
        "text" => QueryableType::Text,
        "number" => QueryableType::Number,
        "bool" => QueryableType::Bool,
        "time" => QueryableType::Time,
        "geometry" => QueryableType::Geometry,
        "array" => QueryableType::Array,
        "any" => QueryableType::Any,
        _ => return None,
    })
}

fn one() -> u32 {
    1
}
fn four() -> u32 {
    4
}
fn held() -> usize {
    400
}
fn sockets() -> usize {
    1024
}
fn memory() -> usize {
    192
}
fn limit() -> usize {
    100
}
fn most_limit() -> usize {
    5_000
}
fn page() -> usize {
    500
}
fn at_once() -> usize {
    8
}
fn learned_age() -> u64 {
    600
}
fn filter_text() -> usize {
    2_000
}
fn cursor_age() -> u64 {
    3_600
}
fn pages() -> usize {
    200
}
fn bytes() -> usize {
    4 * 1024 * 1024
}
fn connections() -> usize {
    32
}
fn dial() -> u64 {
    250
}
fn idle() -> u64 {
    4_000
}
fn retry() -> u64 {
    2_000
}
fn whole() -> f64 {
    1.0
}
fn safe() -> String {
    "safe".to_owned()
}

/// What is wrong with the operator's file.
#[derive(Debug)]
pub enum EdgeConfigError {
    /// It, or a value in it.
    File(String),
    /// Its inventory.
    Inventory(InventoryError),
}

impl fmt::Display for EdgeConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EdgeConfigError::File(why) => f.write_str(why),
            EdgeConfigError::Inventory(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for EdgeConfigError {}

impl EdgeConfig {
    /// Reads the file.
    pub fn load(path: &Path) -> Result<Self, EdgeConfigError> {
        let fault = |why: String| EdgeConfigError::File(format!("{}: {why}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        let mut edge: EdgeConfig = toml::from_str(&text).map_err(|e| fault(e.to_string()))?;
        if let Some((_, why)) = edge.faults().into_iter().next() {
            return Err(fault(why));
        }
        edge.inventory = path.parent().unwrap_or(Path::new("")).join(&edge.inventory);
        Ok(edge)
    }

    /// What is wrong with its values: text that stands in the faulty line, and why.
    pub fn faults(&self) -> Vec<(String, String)> {
        let mut faults = Vec::new();
        if self.classes.is_empty() {
            faults.push(("class".to_owned(), "a [[class]] is needed".to_owned()));
        }
        for (n, c) in self.classes.iter().enumerate() {
            let mut fault =
                |why: &str| faults.push((format!("\"{}\"", c.name), format!("class {:?}: {why}", c.name)));
            if c.name.is_empty() {
                fault("its name is empty");
            }
            if self.classes[..n].iter().any(|other| other.name == c.name) {
                fault("is there twice");
            }
            if c.latency_objective_ms == 0 || c.deadline_ms < c.latency_objective_ms {
                fault("aim_ms must be above 0 and at most deadline_ms");
            }
            if !(c.min_share > 0.0 && c.min_share <= 1.0) {
                fault("floor must be above 0 and at most 1");
            }
            if !matches!(c.effect.as_str(), "safe" | "unsafe") {
                fault("effect must be safe or unsafe");
            }
        }
        for c in &self.collections {
            for (name, _) in c.queryables.iter().filter(|q| kind(q.1).is_none()) {
                let why = format!("collection {:?}: queryable {name:?} is of no kind that is known", c.id);
                faults.push((name.clone(), why));
            }
        }
        if !matches!(self.limits.mode.as_str(), "adaptive" | "fixed") {
            faults.push(("mode".to_owned(), "limits: mode must be adaptive or fixed".to_owned()));
        }
        if self.limits.initial == 0 || self.limits.min == 0 || self.limits.min > self.limits.initial {
            faults.push(("least".to_owned(), "limits: least must be above 0 and at most start".to_owned()));
        }
        if !(0.0..=10.0).contains(&self.limits.retry_ratio) {
            faults.push(("repeats".to_owned(), "limits: repeats must be from 0 to 10".to_owned()));
        }
        if let Err(why) = self.cursor_key() {
            faults.push(("cursor_key".to_owned(), why));
        }
        let positive = [
            ("default_limit", self.default_limit),
            ("most_limit", self.max_limit),
            ("page_size", self.page_size),
            ("most_pages", self.max_pages),
            ("most_bytes", self.max_bytes),
            ("most_connections", self.max_connections),
            ("attempts", self.max_attempts as usize),
            ("coordinators", self.coordinators as usize),
        ];
        for (key, _) in positive.iter().filter(|p| p.1 == 0) {
            faults.push(((*key).to_owned(), format!("{key} must be above 0")));
        }
        faults
    }

    /// How the requests under way at a server are limited.
    pub fn concurrency_rule(&self) -> Rule {
        match self.limits.mode.as_str() {
            "fixed" => Rule::Fixed(self.max_connections),
            _ => Rule::Adaptive {
                start: self.limits.initial.min(self.max_connections),
                least: self.limits.min.min(self.max_connections),
                most: self.max_connections,
            },
        }
    }

    /// The key of cursors: the file's, or one that is new.
    pub fn cursor_key(&self) -> Result<Vec<u8>, String> {
        let Some(text) = &self.cursor_key else {
            let mut key = vec![0; 32];
            getrandom::fill(&mut key).map_err(|e| format!("cursor_key: no random bytes: {e}"))?;
            return Ok(key);
        };
        let digit = |n: usize| u8::from_str_radix(text.get(n..n + 2)?, 16).ok();
        let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(digit).collect();
        bytes
            .filter(|b| b.len() >= 16)
            .ok_or_else(|| "cursor_key must be 32 hexadecimal digits or more, an even number".to_owned())
    }

    /// Reads the inventory.
    pub fn load_inventory(&self) -> Result<Vec<Server>, EdgeConfigError> {
        read_file(&self.inventory).map_err(EdgeConfigError::Inventory)
    }

    /// The module's settings.
    pub fn settings(&self) -> Settings {
        let ns = |ms: u64| Micros::from_millis(ms).to_nanos();
        let class = |c: &ClassConfig| Class {
            name: c.name.clone(),
            in_force: true,
            latency_objective: ns(c.latency_objective_ms),
            objective_stretch: 0.0,
            deadline: ns(c.deadline_ms),
            effect: if c.effect == "unsafe" { Effect::NonIdempotent } else { Effect::Idempotent },
            priority_weight: c.priority_weight,
            late_weight: c.late_weight,
            required_share: 1.0,
            min_share: c.min_share,
            follow_up: 0,
            max_attempts: self.max_attempts,
        };
        let cold = |w: &SlowStartConfig| SlowStartRule {
            overload_factor: w.overload_factor,
            overload_window: ns(w.overload_window_ms),
            initial_capacity: w.initial_capacity,
            warm_up: ns(w.warm_up_ms),
        };
        Settings {
            coordinators: self.coordinators,
            tick: ns(5),
            classes: self.classes.iter().map(class).collect(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            // Shards and who holds them come with the inventory.
            shards: 0,
            cells: 1,
            cells_per_shard: 1,
            max_batch: 1,
            call_cost: 0,
            max_poll_interval: None,
            // The module's own budget for further attempts.
            retry_budget: Some(RetryBudget {
                ratio: self.limits.retry_ratio,
                free: FREE_REPEATS,
                window: REPEATS_SPAN.to_nanos(),
            }),
            slow_start: self.slow_start.as_ref().map(cold),
            cancellation: true,
            hedging: false,
            max_retry_after: Some(ns(self.max_retry_after_ms)),
            reduction: ServiceReduction::default(),
        }
    }
}
