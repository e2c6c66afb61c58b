//! The operator's file that sets this front up.

use super::cql2::{Kind, Queryables};
use super::inventory::{read_file, InventoryError, Server};
use crate::interface::{Class, Effect, RetryBudget, ServiceReduction, Settings, SlowStartRule};
use crate::limits::LimitRule;
use crate::time::Micros;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edge {
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
    pub attempts: u32,
    /// Queries and parts held at a time.
    #[serde(default = "held")]
    pub most_held: usize,
    /// Descriptors that the process may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    #[serde(default = "memory")]
    pub memory_mb: usize,
    /// Features of an answer when its query names no limit.
    #[serde(default = "limit")]
    pub default_limit: usize,
    /// Most features of an answer, whatever its query says.
    #[serde(default = "most_limit")]
    pub most_limit: usize,
    /// Features asked of a server at a time.
    #[serde(default = "page")]
    pub page_size: usize,
    /// A first answer asks up to so many shards at once.
    #[serde(default = "at_once")]
    pub at_once: usize,
    /// What cursors are authenticated with, 32 hexadecimal digits or more; absent: a new key at each start, so that
    /// cursors end with the process. Coordinators that share clients need the same.
    pub cursor_key: Option<String>,
    /// A cursor serves for so long, in seconds from its query's first answer.
    #[serde(default = "cursor_age")]
    pub cursor_age_s: u64,
    /// What servers can do is learned anew after so long, in seconds.
    #[serde(default = "learned_age")]
    pub learned_age_s: u64,
    /// Most characters of a filter that is passed on in a request's head.
    #[serde(default = "filter_text")]
    pub most_filter_text: usize,
    /// Most pages of an answer.
    #[serde(default = "pages")]
    pub most_pages: usize,
    /// Most bytes of a page, and of an answer's pages together.
    #[serde(default = "bytes")]
    pub most_bytes: usize,
    /// Connections to one server at a time.
    #[serde(default = "connections")]
    pub most_connections: usize,
    /// A connection that is not ready by then has failed.
    #[serde(default = "dial")]
    pub dial_timeout_ms: u64,
    /// Idle connections to servers are kept so long: less than the servers keep theirs.
    #[serde(default = "idle")]
    pub idle_ms: u64,
    /// The longest wait that a refused client is asked for.
    #[serde(default = "retry")]
    pub retry_after_ms: u64,
    /// Limits on what servers and this edge take on.
    #[serde(default)]
    pub limits: Limits,
    /// How a server that just started is spared; absent: not at all.
    pub warm_up: Option<WarmUp>,
    /// Classes of query; the first is for queries that name none.
    #[serde(rename = "class")]
    pub classes: Vec<EdgeClass>,
    /// What is to be told of collections beside their names.
    #[serde(rename = "collection", default)]
    pub collections: Vec<Collection>,
}

/// Limits on what servers and this edge take on.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// `adaptive`: requests under way at a server follow its response times; `fixed`: always `most_connections`.
    pub mode: String,
    /// Requests under way at a server at first, and at least.
    pub start: usize,
    /// See `start`.
    pub least: usize,
    /// Further attempts at parts, as a share of the parts of the last ten seconds; ten more are free.
    pub repeats: f64,
    /// Queries are taken on by what they cost against what servers bear; `false`: all that `most_held` allows.
    pub admission: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { mode: "adaptive".to_owned(), start: 8, least: 2, repeats: 0.25, admission: true }
    }
}

/// Further attempts are counted over this span.
const REPEATS_SPAN: Micros = Micros::from_secs(10);
/// Further attempts that are free in it.
const FREE_REPEATS: f64 = 10.0;

/// A class of query.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EdgeClass {
    /// Its name, as `X-Qos` gives it.
    pub name: String,
    /// Wanted within this time.
    pub aim_ms: u64,
    /// Given up after this time.
    pub deadline_ms: u64,
    /// Least share of the parts that an answer may be given from.
    #[serde(default = "whole")]
    pub floor: f64,
    /// `safe`: parts may be asked again; `unsafe`: never once they may have run.
    #[serde(default = "safe")]
    pub effect: String,
    /// Worth of a whole answer beside other classes'.
    #[serde(default = "whole")]
    pub worth: f64,
    /// Share of the worth that an answer after the aim still has.
    #[serde(default)]
    pub late_worth: f64,
}

/// How a server that just started is spared.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUp {
    /// Share of its capacity that it starts with.
    pub start: f64,
    /// Warm after this.
    pub ms: u64,
    /// Never sent more than this multiple of what it can do
    pub factor: f64,
    /// for this long.
    pub span_ms: u64,
}

/// What is told of a collection.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Collection {
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

impl Collection {
    /// What can be asked of it, if that is told.
    pub fn queryables(&self) -> Option<Queryables> {
        if self.queryables.is_empty() {
            return None;
        }
        let named = self.queryables.iter().filter_map(|(n, k)| Some((n.clone(), kind(k)?))).collect();
        Some(Queryables { named, open: false })
    }
}

fn kind(name: &str) -> Option<Kind> {
    Some(match name {
        "text" => Kind::Text,
        "number" => Kind::Number,
        "bool" => Kind::Bool,
        "time" => Kind::Time,
        "geometry" => Kind::Geometry,
        "array" => Kind::Array,
        "any" => Kind::Any,
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
pub enum EdgeError {
    /// It, or a value in it.
    File(String),
    /// Its inventory.
    Inventory(InventoryError),
}

impl fmt::Display for EdgeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EdgeError::File(why) => f.write_str(why),
            EdgeError::Inventory(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for EdgeError {}

impl Edge {
    /// Reads the file.
    pub fn read_file(path: &Path) -> Result<Self, EdgeError> {
        let fault = |why: String| EdgeError::File(format!("{}: {why}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
        let mut edge: Edge = toml::from_str(&text).map_err(|e| fault(e.to_string()))?;
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
            if c.aim_ms == 0 || c.deadline_ms < c.aim_ms {
                fault("aim_ms must be above 0 and at most deadline_ms");
            }
            if !(c.floor > 0.0 && c.floor <= 1.0) {
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
        if self.limits.start == 0 || self.limits.least == 0 || self.limits.least > self.limits.start {
            faults.push(("least".to_owned(), "limits: least must be above 0 and at most start".to_owned()));
        }
        if !(0.0..=10.0).contains(&self.limits.repeats) {
            faults.push(("repeats".to_owned(), "limits: repeats must be from 0 to 10".to_owned()));
        }
        if let Err(why) = self.cursor_key() {
            faults.push(("cursor_key".to_owned(), why));
        }
        let positive = [
            ("default_limit", self.default_limit),
            ("most_limit", self.most_limit),
            ("page_size", self.page_size),
            ("most_pages", self.most_pages),
            ("most_bytes", self.most_bytes),
            ("most_connections", self.most_connections),
            ("attempts", self.attempts as usize),
            ("coordinators", self.coordinators as usize),
        ];
        for (key, _) in positive.iter().filter(|p| p.1 == 0) {
            faults.push(((*key).to_owned(), format!("{key} must be above 0")));
        }
        faults
    }

    /// How the requests under way at a server are limited.
    pub fn limit_rule(&self) -> LimitRule {
        match self.limits.mode.as_str() {
            "fixed" => LimitRule::Fixed(self.most_connections),
            _ => LimitRule::Adaptive {
                initial: self.limits.start.min(self.most_connections),
                min: self.limits.least.min(self.most_connections),
                max: self.most_connections,
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
    pub fn servers(&self) -> Result<Vec<Server>, EdgeError> {
        read_file(&self.inventory).map_err(EdgeError::Inventory)
    }

    /// The module's settings.
    pub fn settings(&self) -> Settings {
        let ns = |ms: u64| Micros::from_millis(ms).to_nanos();
        let class = |c: &EdgeClass| Class {
            name: c.name.clone(),
            active: true,
            latency_objective: ns(c.aim_ms),
            objective_stretch: 0.0,
            deadline: ns(c.deadline_ms),
            effect: if c.effect == "unsafe" { Effect::NonIdempotent } else { Effect::Idempotent },
            priority_weight: c.worth,
            late_weight: c.late_worth,
            required_share: 1.0,
            min_share: c.floor,
            follow_up_parts: 0,
            max_attempts: self.attempts,
        };
        let cold = |w: &WarmUp| SlowStartRule {
            overload_factor: w.factor,
            overload_window: ns(w.span_ms),
            initial_capacity: w.start,
            warm_up: ns(w.ms),
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
            call_overhead: 0,
            max_poll_interval: None,
            // The module's own budget for further attempts.
            retry_budget: Some(RetryBudget {
                ratio: self.limits.repeats,
                free: FREE_REPEATS,
                window: REPEATS_SPAN.to_nanos(),
            }),
            slow_start: self.warm_up.as_ref().map(cold),
            cancellation: true,
            hedging: false,
            max_retry_after: Some(ns(self.retry_after_ms)),
            reduction: ServiceReduction::default(),
        }
    }
}
