//! The edge file: the operator's configuration of the front for feature queries.
//!
//! This module defines the file's format, defaults and ranges. The feature servers are listed in a
//! separate file, which [`inventory`](super::inventory) reads.

mod defaults;
mod error;
mod settings;
mod validation;

pub use error::{ClassError, CursorKeyError, EdgeConfigError, ValueError};
pub use validation::ValueIssue;

use super::cql2::{QueryableType, Queryables};
use super::inventory::{read_file, Inventory};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Minimum length of a cursor key, in bytes.
const MIN_CURSOR_KEY_BYTES: usize = 16;
/// Length of a generated cursor key, in bytes.
const GENERATED_CURSOR_KEY_BYTES: usize = 32;

/// The effect of a class whose parts may run more than once.
const IDEMPOTENT: &str = "safe";
/// The effect of a class whose parts must not run more than once.
const NON_IDEMPOTENT: &str = "unsafe";

/// Contents of an edge file.
///
/// `rename` keeps the name of a key that differs from the field's name. `expecting` keeps the name
/// of a type in the messages of the TOML parser.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Edge")]
pub struct EdgeConfig {
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the admin endpoint (health and counters); disabled if absent.
    pub mgmt: Option<SocketAddr>,
    /// Path of the inventory, relative to the directory of the edge file.
    pub inventory: PathBuf,
    /// Number of coordinators that share the servers, including this one.
    #[serde(default = "defaults::coordinators")]
    pub coordinators: u32,
    /// Maximum number of attempts of a part of a query, including the first attempt.
    #[serde(rename = "attempts", default = "defaults::max_attempts")]
    pub max_attempts: u32,
    /// Maximum number of queries and parts in flight at a time.
    #[serde(rename = "most_held", default = "defaults::max_in_flight")]
    pub max_in_flight: usize,
    /// Maximum number of file descriptors that the process has open.
    #[serde(rename = "sockets", default = "defaults::max_descriptors")]
    pub max_descriptors: usize,
    /// Maximum memory of the process, in MiB.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: usize,
    /// Maximum number of features in a response whose query has no `limit`.
    #[serde(default = "defaults::default_limit")]
    pub default_limit: usize,
    /// Maximum number of features in any response; a larger `limit` is reduced to it.
    #[serde(rename = "most_limit", default = "defaults::max_limit")]
    pub max_limit: usize,
    /// Number of features that one request to a server asks for.
    #[serde(default = "defaults::page_size")]
    pub page_size: usize,
    /// Maximum number of shards that a query requests concurrently in its first round.
    #[serde(rename = "at_once", default = "defaults::max_initial_shards")]
    pub max_initial_shards: usize,
    /// Key that authenticates cursors, 32 hexadecimal digits or more. If it is absent, each process
    /// generates a new key, and its cursors become invalid when it exits. Coordinators that serve
    /// the same clients need the same key.
    pub cursor_key: Option<String>,
    /// Lifetime of the cursors of a query in seconds, counted from the query's first response.
    #[serde(rename = "cursor_age_s", default = "defaults::cursor_max_age_s")]
    pub cursor_max_age_s: u64,
    /// Age in seconds after which the capabilities of a server are discovered again.
    #[serde(rename = "learned_age_s", default = "defaults::capability_max_age_s")]
    pub capability_max_age_s: u64,
    /// Maximum length of a filter that is pushed down to a server in a request's head, in
    /// characters.
    #[serde(rename = "most_filter_text", default = "defaults::max_filter_text")]
    pub max_filter_text: usize,
    /// Maximum number of pages that are fetched for a response.
    #[serde(rename = "most_pages", default = "defaults::max_pages")]
    pub max_pages: usize,
    /// Maximum size of a page, and of all pages of a response together, in bytes.
    #[serde(rename = "most_bytes", default = "defaults::max_bytes")]
    pub max_bytes: usize,
    /// Maximum number of connections to one server at a time.
    #[serde(rename = "most_connections", default = "defaults::max_connections")]
    pub max_connections: usize,
    /// Timeout for opening a connection, in milliseconds.
    #[serde(default = "defaults::dial_timeout_ms")]
    pub dial_timeout_ms: u64,
    /// Idle timeout of connections to servers, in milliseconds; must be shorter than the idle
    /// timeout of the servers themselves.
    #[serde(rename = "idle_ms", default = "defaults::idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Maximum `Retry-After` of a rejected query, in milliseconds.
    #[serde(rename = "retry_after_ms", default = "defaults::max_retry_after_ms")]
    pub max_retry_after_ms: u64,
    /// Concurrency limits of the servers, retry budget and admission.
    #[serde(default)]
    pub limits: LimitsConfig,
    /// Slow start of servers that have just started; disabled if absent.
    #[serde(rename = "warm_up")]
    pub slow_start: Option<SlowStartConfig>,
    /// Classes of queries; a query without a class has the first one.
    #[serde(rename = "class")]
    pub classes: Vec<ClassConfig>,
    /// Descriptions of collections.
    #[serde(rename = "collection", default)]
    pub collections: Vec<CollectionConfig>,
}

/// Concurrency limits of the servers, retry budget and admission.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Limits")]
pub struct LimitsConfig {
    /// Mode of the concurrency limit of a server: `adaptive` depends on the server's response
    /// times, `fixed` is always `most_connections`.
    pub mode: String,
    /// Initial concurrency limit of a server.
    #[serde(rename = "start")]
    pub initial: usize,
    /// Minimum concurrency limit of a server.
    #[serde(rename = "least")]
    pub min: usize,
    /// Retry budget as a ratio of retries to parts over the last ten seconds; ten additional
    /// retries are always allowed.
    #[serde(rename = "repeats")]
    pub retry_ratio: f64,
    /// Whether admission compares the cost of a query with the capacity of the servers. Otherwise
    /// only `most_held` limits the queries that are admitted.
    pub admission: bool,
}

/// A class of queries.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct EdgeClass")]
pub struct ClassConfig {
    /// Name of the class, as in the header `X-Qos`.
    pub name: String,
    /// Latency objective in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Deadline in milliseconds after which a query without an answer fails.
    pub deadline_ms: u64,
    /// Minimum share of the parts that a partial answer needs, above 0 and at most 1.
    #[serde(rename = "floor", default = "defaults::one")]
    pub min_share: f64,
    /// Effect of executing a part: `safe` parts are idempotent and may be retried; an `unsafe` part
    /// that a server may have executed is never retried.
    #[serde(default = "defaults::effect")]
    pub effect: String,
    /// Priority weight of a complete answer, relative to other classes.
    #[serde(rename = "worth", default = "defaults::one")]
    pub priority_weight: f64,
    /// Share of the priority weight that remains for an answer after the latency objective.
    #[serde(rename = "late_worth", default)]
    pub late_weight: f64,
}

impl ClassConfig {
    /// Returns whether a part may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.effect != NON_IDEMPOTENT
    }
}

/// Slow start: how the load on a server that has just started is increased.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct WarmUp")]
pub struct SlowStartConfig {
    /// Share of its full capacity that a server starts with.
    #[serde(rename = "start")]
    pub initial_capacity: f64,
    /// Time until a server has its full capacity, in milliseconds.
    #[serde(rename = "ms")]
    pub warm_up_ms: u64,
    /// Maximum load on a server that is warming up within `overload_window_ms`, as a multiple of
    /// its current capacity.
    #[serde(rename = "factor")]
    pub overload_factor: f64,
    /// Window over which the load on a server that is warming up is limited, in milliseconds.
    #[serde(rename = "span_ms")]
    pub overload_window_ms: u64,
}

/// The operator's description of a collection.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Collection")]
pub struct CollectionConfig {
    /// Name of the collection, as in the inventory.
    pub id: String,
    /// Title that clients see.
    pub title: Option<String>,
    /// Description that clients see.
    pub description: Option<String>,
    /// Whether all servers of a shard return its features in the same order and with equivalent
    /// links, so that a sequence of pages can be continued at another server.
    #[serde(default)]
    pub same_order: bool,
    /// Whether all servers order texts, identifiers among them, by their code points. If so, the
    /// order of sorted pages is relied on for texts too.
    #[serde(default)]
    pub same_text_order: bool,
    /// Bounding box of the collection's features, in CRS84.
    pub bbox: Option<[f64; 4]>,
    /// Types of the collection's queryables by name: `text`, `number`, `bool`, `time`, `geometry`,
    /// `array` or `any`. If absent, the declarations of the servers apply.
    #[serde(default)]
    pub queryables: BTreeMap<String, String>,
}

impl EdgeConfig {
    /// Reads an edge file. In the result, the path of the inventory is relative to the working
    /// directory.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read, is not an edge file, or has a value out of range. Only the
    /// first such value is reported.
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
    /// Fails with the first error of the inventory.
    pub fn load_inventory(&self) -> Result<Inventory, EdgeConfigError> {
        read_file(&self.inventory).map_err(EdgeConfigError::Inventory)
    }

    /// Returns the key that authenticates cursors: the key in the file or, if there is none, a new
    /// random key.
    ///
    /// # Errors
    ///
    /// Fails if the key in the file is too short or not hexadecimal, or if the operating system
    /// provides no random bytes.
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
    /// Returns the queryables that the file declares, or `None` if it declares none.
    #[must_use]
    pub fn queryables(&self) -> Option<Queryables> {
        if self.queryables.is_empty() {
            return None;
        }
        let declared = self
            .queryables
            .iter()
            .filter_map(|(name, type_name)| Some((name.clone(), queryable_type(type_name)?)));
        Some(Queryables {
            named: declared.collect(),
            open: false,
        })
    }
}

/// Returns the type of queryables that has a name in the file, or `None` if the name is unknown.
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
