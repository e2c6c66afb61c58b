//! The edge file: the operator's configuration of the front for feature queries.
//!
//! This module owns the file's format, defaults and ranges. The servers are in a file of their own,
//! which [`inventory`](super::inventory) reads.

mod defaults;
mod error;
mod settings;
mod validation;

pub use error::{ClassError, CursorKeyError, EdgeConfigError, ValueError};
pub use validation::ValueIssue;

use super::cql2::{QueryableType, Queryables};
use super::inventory::{read_file, Server};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Smallest accepted length of a cursor key, in bytes.
const MIN_CURSOR_KEY_BYTES: usize = 16;
/// Length of a cursor key that is generated at the start, in bytes.
const GENERATED_CURSOR_KEY_BYTES: usize = 32;

/// Contents of an edge file.
///
/// Keys whose name differs from their field's are set by `rename`. Messages of the TOML reader name
/// the types by `expecting`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Edge")]
pub struct EdgeConfig {
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the management port (health and counters); disabled if absent.
    pub mgmt: Option<SocketAddr>,
    /// Path of the inventory, relative to the folder of the edge file.
    pub inventory: PathBuf,
    /// Number of coordinators that share the servers, this one included.
    #[serde(default = "defaults::coordinators")]
    pub coordinators: u32,
    /// Most attempts at a part of a query, including the first.
    #[serde(rename = "attempts", default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// Most queries and parts in flight at a time.
    #[serde(rename = "most_held", default = "defaults::max_in_flight")]
    pub max_in_flight: usize,
    /// Most file descriptors that the process may hold.
    #[serde(rename = "sockets", default = "defaults::max_descriptors")]
    pub max_descriptors: usize,
    /// Memory that the process may use, in MiB.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: usize,
    /// Number of features in an answer when its query names no limit.
    #[serde(default = "defaults::default_limit")]
    pub default_limit: usize,
    /// Most features in an answer, regardless of the limit that its query names.
    #[serde(rename = "most_limit", default = "defaults::max_limit")]
    pub max_limit: usize,
    /// Number of features that a server is asked for at a time.
    #[serde(default = "defaults::page_size")]
    pub page_size: usize,
    /// Most shards that the first page of an answer asks concurrently.
    #[serde(rename = "at_once", default = "defaults::max_initial_shards")]
    pub max_initial_shards: usize,
    /// Key that authenticates cursors, 32 hexadecimal digits or more. If it is absent, each start
    /// generates a new key, so that cursors end with the process. Coordinators that share clients
    /// need the same key.
    pub cursor_key: Option<String>,
    /// Lifetime of a cursor in seconds, counted from its query's first answer.
    #[serde(rename = "cursor_age_s", default = "defaults::cursor_max_age_s")]
    pub cursor_max_age_s: u64,
    /// Age in seconds after which the capabilities of servers are discovered again.
    #[serde(rename = "learned_age_s", default = "defaults::capability_max_age_s")]
    pub capability_max_age_s: u64,
    /// Most characters of a filter that is pushed down to a server in a request's head.
    #[serde(rename = "most_filter_text", default = "defaults::max_filter_text")]
    pub max_filter_text: usize,
    /// Most pages of an answer.
    #[serde(rename = "most_pages", default = "defaults::max_pages")]
    pub max_pages: usize,
    /// Most bytes of a server's page, and of an answer's pages together.
    #[serde(rename = "most_bytes", default = "defaults::max_bytes")]
    pub max_bytes: usize,
    /// Most connections to one server at a time.
    #[serde(rename = "most_connections", default = "defaults::max_connections")]
    pub max_connections: usize,
    /// Time-out for opening a connection, in milliseconds.
    #[serde(default = "defaults::dial_timeout_ms")]
    pub dial_timeout_ms: u64,
    /// Idle time-out of connections to servers, in milliseconds; shorter than the servers' own.
    #[serde(rename = "idle_ms", default = "defaults::idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Longest `Retry-After` that a rejected client is given, in milliseconds.
    #[serde(rename = "retry_after_ms", default = "defaults::max_retry_after_ms")]
    pub max_retry_after_ms: u64,
    /// Limits on the work that servers and this edge accept.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// Slow start of servers that just started; disabled if absent.
    #[serde(rename = "warm_up")]
    pub slow_start: Option<SlowStartConfig>,
    /// Classes of query; the first one is for queries that name none.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// Descriptions of collections.
    #[serde(rename = "collection", default)]
    pub collections: Vec<CollectionConfig>,
}

/// Limits on the work that servers and this edge accept.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Limits")]
pub struct LimitsConfig {
    /// Mode of the limit: `adaptive` follows a server's response times, `fixed` is always
    /// `most_connections`.
    pub mode: String,
    /// Initial limit on the requests in flight at a server.
    #[serde(rename = "start")]
    pub initial: usize,
    /// Lowest limit on the requests in flight at a server.
    #[serde(rename = "least")]
    pub min: usize,
    /// Retry budget as a ratio of retries to parts over the last ten seconds; ten further retries
    /// are always allowed.
    #[serde(rename = "repeats")]
    pub retry_ratio: f64,
    /// Whether queries are admitted by their cost against the capacity of servers, instead of only
    /// by `most_held`.
    pub admission: bool,
}

/// A class of query.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct EdgeClass")]
pub struct ClassConfig {
    /// Name of the class, as the header `X-Qos` gives it.
    pub name: String,
    /// Latency objective in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Deadline in milliseconds; a query without an answer by then fails.
    pub deadline_ms: u64,
    /// Smallest share of the parts that an answer may be given from, above 0 and at most 1.
    #[serde(rename = "floor", default = "defaults::full")]
    pub min_share: f64,
    /// Effect of a retry: parts that are `safe` are idempotent and may be retried; a part that is
    /// `unsafe` and may have run is never retried.
    #[serde(default = "defaults::effect")]
    pub effect: String,
    /// Priority weight of a complete answer relative to other classes.
    #[serde(rename = "worth", default = "defaults::full")]
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective keeps.
    #[serde(rename = "late_worth", default)]
    pub late_weight: f64,
}

/// Slow start: how the load on a server that just started is ramped up.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct WarmUp")]
pub struct SlowStartConfig {
    /// Share of its capacity that a server starts with.
    #[serde(rename = "start")]
    pub initial_capacity: f64,
    /// Time after which a server is warm, in milliseconds.
    #[serde(rename = "ms")]
    pub warm_up_ms: u64,
    /// Largest load of a warming server, as a multiple of its present capacity, within
    /// `overload_window_ms`.
    #[serde(rename = "factor")]
    pub overload_factor: f64,
    /// Window over which the load of a warming server is limited, in milliseconds.
    #[serde(rename = "span_ms")]
    pub overload_window_ms: u64,
}

/// The operator's description of a collection.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Collection")]
pub struct CollectionConfig {
    /// Name of the collection.
    pub id: String,
    /// Title for clients.
    pub title: Option<String>,
    /// Description for clients.
    pub description: Option<String>,
    /// Whether all servers of a shard return its features in the same order and with equivalent
    /// links, so that another server can continue a page sequence.
    #[serde(default)]
    pub same_order: bool,
    /// Bounding box of its features in CRS84.
    pub bbox: Option<[f64; 4]>,
    /// Types of its queryables by name: `text`, `number`, `bool`, `time`, `geometry`, `array` or
    /// `any`. If absent, the declarations of its servers apply.
    #[serde(default)]
    pub queryables: BTreeMap<String, String>,
}

impl EdgeConfig {
    /// Reads an edge file. The path of the inventory becomes relative to the working directory.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not an edge file, or has a value out of range, the first
    /// of which is reported.
    pub fn load(path: &Path) -> Result<Self, EdgeConfigError> {
        let file = path.to_owned();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(source) => return Err(EdgeConfigError::Io { file, source }),
        };
        let mut edge: EdgeConfig = match toml::from_str(&text) {
            Ok(edge) => edge,
            Err(source) => return Err(EdgeConfigError::Syntax { file, source }),
        };
        if let Some(issue) = edge.validate().into_iter().next() {
            return Err(EdgeConfigError::Value {
                file,
                source: issue.error,
            });
        }
        edge.inventory = path.parent().unwrap_or(Path::new("")).join(&edge.inventory);
        Ok(edge)
    }

    /// Reads the inventory.
    ///
    /// # Errors
    ///
    /// Fails with the first fault of the inventory.
    pub fn load_inventory(&self) -> Result<Vec<Server>, EdgeConfigError> {
        read_file(&self.inventory).map_err(EdgeConfigError::Inventory)
    }

    /// Returns the key of cursors: the file's, or a new random one.
    ///
    /// # Errors
    ///
    /// Fails if the file's key is too short or not hexadecimal, or if the system gives no random
    /// bytes.
    pub fn cursor_key(&self) -> Result<Vec<u8>, CursorKeyError> {
        let Some(text) = &self.cursor_key else {
            let mut key = vec![0; GENERATED_CURSOR_KEY_BYTES];
            getrandom::fill(&mut key).map_err(CursorKeyError::Random)?;
            return Ok(key);
        };
        let byte = |start: usize| u8::from_str_radix(text.get(start..start + 2)?, 16).ok();
        let key: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
        key.filter(|key| key.len() >= MIN_CURSOR_KEY_BYTES)
            .ok_or(CursorKeyError::Malformed)
    }
}

impl CollectionConfig {
    /// Returns the queryables that the file declares, if any.
    #[must_use]
    pub fn queryables(&self) -> Option<Queryables> {
        if self.queryables.is_empty() {
            return None;
        }
        let known = self
            .queryables
            .iter()
            .filter_map(|(name, kind)| Some((name.clone(), queryable_type(kind)?)));
        Some(Queryables {
            named: known.collect(),
            open: false,
        })
    }
}

/// Returns the type of a queryable by its name in the file.
fn queryable_type(name: &str) -> Option<QueryableType> {
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

#[cfg(test)]
mod tests;
