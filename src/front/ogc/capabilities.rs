//! Capabilities of feature servers: which filters and sort orders they can evaluate, parsed from
//! their conformance declarations and queryables and cached until a maximum age.
//!
//! The cache has no clock and sends no requests: callers pass the time, and send the requests that
//! discover capabilities. [`CapabilityCache::lookup`] assigns the discovery of an entry to one
//! caller at a time, so that many queries after a restart or the expiry of the entry don't send the
//! same requests at once.

use super::cql2::{Capabilities, Queryables};
use super::stable_hash::stable_hash;
use crate::time::Micros;
use serde_json::Value as Json;
use std::collections::HashMap;
use std::sync::Arc;

/// Backoff after the first failed discovery; it doubles with each consecutive failure.
const INITIAL_BACKOFF: Micros = Micros::from_secs(2);
/// Maximum backoff.
const MAX_BACKOFF: Micros = Micros::from_secs(120);
/// Maximum number of times that the backoff is doubled, which prevents an overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Time after which a discovery without a result no longer counts as in flight, so that another
/// caller is asked to discover.
const DISCOVERY_TIMEOUT: Micros = Micros::from_secs(5);
/// Maximum number of entries of the cache. A new entry then replaces the least recently used one.
const MAX_ENTRIES: usize = 4_096;

/// Key of a cache entry: a shard at a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaKey {
    /// The server's address.
    pub address: Arc<str>,
    /// The name of the collection at the server.
    pub server_collection: Arc<str>,
}

/// Capabilities and the time of their discovery.
#[derive(Debug, Clone)]
struct Discovered {
    /// Filters and sort orders that the server can evaluate.
    capabilities: Arc<Capabilities>,
    /// Time of the discovery.
    discovered_at: Micros,
}

/// Cache entry of a shard at a server.
#[derive(Debug, Default)]
struct Entry {
    /// Result of the last successful discovery; kept when a later one fails.
    discovered: Option<Discovered>,
    /// Start of the discovery in flight, or `None` if none is.
    in_flight_since: Option<Micros>,
    /// Number of failed discoveries since the last successful one.
    consecutive_failures: u32,
    /// End of the backoff after the last failure.
    retry_at: Micros,
    /// Time of the last lookup.
    last_used: Micros,
}

impl Entry {
    /// Returns whether the capabilities are younger than `max_age`.
    fn is_fresh(&self, now: Micros, max_age: Micros) -> bool {
        self.discovered
            .as_ref()
            .is_some_and(|discovered| now.since(discovered.discovered_at) < max_age)
    }

    /// Returns whether a discovery is in flight that has not timed out.
    fn is_in_flight(&self, now: Micros) -> bool {
        self.in_flight_since
            .is_some_and(|since| now.since(since) < DISCOVERY_TIMEOUT)
    }

    /// Records a failed discovery and starts a backoff.
    ///
    /// Capabilities of an earlier discovery are kept: while the server is down, they do no harm.
    fn record_failure(&mut self, now: Micros) {
        let backoff = INITIAL_BACKOFF.0 << self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now + Micros(backoff).min(MAX_BACKOFF);
    }
}

/// Result of a lookup, which determines what the caller does next.
#[derive(Debug, Clone, PartialEq)]
pub enum CapabilityLookup {
    /// The capabilities, which are fresh, or stale while another caller discovers them or during a
    /// backoff.
    Known(Arc<Capabilities>),
    /// The caller must discover the capabilities and pass the result to
    /// [`CapabilityCache::record`]. It can use the stale capabilities, if there are any, until
    /// then.
    Discover(Option<Arc<Capabilities>>),
    /// The capabilities are not known, and the caller must not discover them, since another caller
    /// does or the backoff after a failed discovery has not ended.
    Unavailable,
}

/// Cache of the capabilities of all servers.
#[derive(Debug, Default)]
pub struct CapabilityCache {
    entries: HashMap<ReplicaKey, Entry>,
    /// Age from which an entry is stale. Entries may be stale earlier, see
    /// [`staleness_jitter`](CapabilityCache::staleness_jitter).
    max_age: Micros,
}

impl CapabilityCache {
    /// Creates an empty cache whose entries become stale at the age `max_age` at the latest.
    #[must_use]
    pub fn new(max_age: Micros) -> Self {
        CapabilityCache {
            entries: HashMap::new(),
            max_age,
        }
    }

    /// Returns the capabilities of a server for a shard, or whether the caller must discover them.
    pub fn lookup(&mut self, key: &ReplicaKey, now: Micros) -> CapabilityLookup {
        self.evict_if_full(key);
        let max_age = self.max_age - self.staleness_jitter(key);
        let entry = self.entries.entry(key.clone()).or_default();
        entry.last_used = now;
        let capabilities = entry
            .discovered
            .as_ref()
            .map(|discovered| discovered.capabilities.clone());
        let is_deferred = entry.is_in_flight(now) || now < entry.retry_at;
        match capabilities {
            Some(capabilities) if is_deferred || entry.is_fresh(now, max_age) => {
                CapabilityLookup::Known(capabilities)
            }
            None if is_deferred => CapabilityLookup::Unavailable,
            stale => {
                entry.in_flight_since = Some(now);
                CapabilityLookup::Discover(stale)
            }
        }
    }

    /// Evicts the least recently used entry if the cache is full and has no entry for `key`.
    fn evict_if_full(&mut self, key: &ReplicaKey) {
        if self.entries.contains_key(key) || self.entries.len() < MAX_ENTRIES {
            return;
        }
        let least_recently_used = self.entries.iter().min_by_key(|(_, entry)| entry.last_used);
        if let Some(evicted) = least_recently_used.map(|(key, _)| key.clone()) {
            self.entries.remove(&evicted);
        }
    }

    /// Returns by how much earlier than at `max_age` an entry becomes stale: at most a quarter of
    /// `max_age`, by the hash of the key.
    ///
    /// Entries that were discovered together are therefore not all discovered again together.
    fn staleness_jitter(&self, key: &ReplicaKey) -> Micros {
        let hash = stable_hash(&[key.address.as_bytes(), key.server_collection.as_bytes()]);
        Micros(self.max_age.0 / 4 * (hash % 256) / 256)
    }

    /// Records the result of a discovery; `capabilities` is `None` if it failed.
    pub fn record(&mut self, key: &ReplicaKey, capabilities: Option<Capabilities>, now: Micros) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight_since = None;
        let Some(capabilities) = capabilities else {
            return entry.record_failure(now);
        };
        entry.discovered = Some(Discovered {
            capabilities: Arc::new(capabilities),
            discovered_at: now,
        });
        entry.consecutive_failures = 0;
    }

    /// Returns the queryables that at least one of these servers declares, or `None` if none
    /// declares any.
    pub fn queryables_union<'a>(
        &self,
        keys: impl Iterator<Item = &'a ReplicaKey>,
    ) -> Option<Queryables> {
        let known = keys
            .filter_map(|key| self.known_capabilities(key))
            .map(|capabilities| &capabilities.queryables);
        let declared = known
            .filter(|queryables| !queryables.named.is_empty())
            .cloned();
        declared.reduce(|merged, queryables| merged.union(&queryables))
    }

    /// Returns the capabilities that all of these servers have, or `None` if there are no servers
    /// or the capabilities of one are unknown.
    pub fn common_capabilities<'a>(
        &self,
        keys: impl Iterator<Item = &'a ReplicaKey>,
    ) -> Option<Capabilities> {
        let mut common: Option<Capabilities> = None;
        for key in keys {
            let capabilities = self.known_capabilities(key)?;
            common = Some(match common {
                None => capabilities.clone(),
                Some(common) => common.intersection(capabilities),
            });
        }
        common
    }

    /// Returns the capabilities of an entry, fresh or stale, or `None` if they were never
    /// discovered.
    fn known_capabilities(&self, key: &ReplicaKey) -> Option<&Capabilities> {
        Some(&self.entries.get(key)?.discovered.as_ref()?.capabilities)
    }
}

/// Returns the capabilities that a server declares in its conformance declaration and its
/// queryables, or `None` if `conformance` is not a conformance declaration.
///
/// Conformance classes are identified by the last segments of their URIs. `max_filter_text` is the
/// front's own limit on the text of a filter, in bytes.
#[must_use]
pub fn parse_capabilities(
    conformance: &[u8],
    queryables: Option<&[u8]>,
    max_filter_text: usize,
) -> Option<Capabilities> {
    let conformance: Json = serde_json::from_slice(conformance).ok()?;
    let uris = conformance["conformsTo"]
        .as_array()?
        .iter()
        .filter_map(Json::as_str);
    let last_segment = |uri: &str| uri.rsplit('/').next().unwrap_or_default().to_owned();
    let schema = queryables.and_then(|document| serde_json::from_slice::<Json>(document).ok());
    let queryables = schema
        .as_ref()
        .and_then(Queryables::from_schema)
        .unwrap_or_default();
    Some(Capabilities {
        classes: uris.map(last_segment).collect(),
        queryables,
        max_filter_text,
    })
}

#[cfg(test)]
mod tests;
