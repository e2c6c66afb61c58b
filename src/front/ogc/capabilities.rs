//! Capability discovery: which filters and sort orders servers can evaluate, read from their
//! conformance pages and queryables and cached until a maximum age.
//!
//! The cache owns no clock and no socket: callers pass the time and make the requests.
//! [`CapabilityCache::lookup`] asks one caller to discover the capabilities on behalf of all, so
//! that neither a restart nor an expired entry causes more than one discovery at a server at a
//! time.

use super::cql2::{Capabilities, Queryables};
use super::stable_hash::stable_hash;
use crate::time::Micros;
use serde_json::Value as Json;
use std::collections::HashMap;
use std::sync::Arc;

/// Backoff after the first discovery that failed; it doubles with each further failure.
const INITIAL_BACKOFF: Micros = Micros::from_secs(2);
/// Longest backoff.
const MAX_BACKOFF: Micros = Micros::from_secs(120);
/// Largest exponent of the backoff, which prevents an overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Time limit of a discovery; after it another caller may discover.
const DISCOVERY_TIMEOUT: Micros = Micros::from_secs(5);
/// Most entries of the cache; beyond that the least recently used one is evicted.
const MAX_ENTRIES: usize = 4_096;

/// Key of a cache entry: a shard at a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaKey {
    /// The server's address.
    pub address: Arc<str>,
    /// The server's own name for the shard.
    pub source: Arc<str>,
}

/// Capabilities and the time of their discovery.
#[derive(Debug, Clone)]
struct Discovered {
    /// Filters and sort orders that the server can evaluate.
    capabilities: Arc<Capabilities>,
    /// Time of the discovery.
    at: Micros,
}

/// Cache entry of a shard at a server.
#[derive(Debug, Default)]
struct Entry {
    /// Latest capabilities, kept while a newer discovery fails.
    discovered: Option<Discovered>,
    /// Start of the discovery in flight, if there is one.
    in_flight_since: Option<Micros>,
    /// Failed discoveries since the last successful one.
    consecutive_failures: u32,
    /// End of the backoff.
    retry_at: Micros,
    /// Time of the last lookup.
    last_used: Micros,
}

impl Entry {
    /// Returns whether the capabilities are younger than `max_age`.
    fn is_fresh(&self, now: Micros, max_age: Micros) -> bool {
        self.discovered
            .as_ref()
            .is_some_and(|discovered| now.since(discovered.at) < max_age)
    }

    /// Returns whether a discovery is in flight that has not timed out.
    fn in_flight(&self, now: Micros) -> bool {
        self.in_flight_since
            .is_some_and(|since| now.since(since) < DISCOVERY_TIMEOUT)
    }

    /// Records a failed discovery and begins its backoff.
    ///
    /// Capabilities that were discovered before are kept: while the server is down they do no harm.
    fn fail(&mut self, now: Micros) {
        let backoff = INITIAL_BACKOFF.0 << self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.retry_at = now + Micros(backoff).min(MAX_BACKOFF);
    }
}

/// Result of a lookup: the step that the caller takes next.
#[derive(Debug, Clone, PartialEq)]
pub enum CapabilityLookup {
    /// The capabilities are known and fresh.
    Known(Arc<Capabilities>),
    /// The caller discovers them and [`record`](CapabilityCache::record)s the result. The stale
    /// capabilities, if any, serve until then.
    Discover(Option<Arc<Capabilities>>),
    /// None are known, and the caller does not discover them: another caller does, or a discovery
    /// failed a short time ago.
    Unavailable,
}

/// Cache of the capabilities of all servers.
#[derive(Debug, Default)]
pub struct CapabilityCache {
    entries: HashMap<ReplicaKey, Entry>,
    /// Largest age of an entry that is fresh.
    max_age: Micros,
}

impl CapabilityCache {
    /// Creates an empty cache whose entries are stale after `max_age` at the latest.
    #[must_use]
    pub fn new(max_age: Micros) -> Self {
        CapabilityCache {
            entries: HashMap::new(),
            max_age,
        }
    }

    /// Returns the capabilities of a server for a shard, or whether the caller discovers them.
    pub fn lookup(&mut self, key: &ReplicaKey, now: Micros) -> CapabilityLookup {
        self.evict_for(key);
        let max_age = self.max_age - self.spread(key);
        let entry = self.entries.entry(key.clone()).or_default();
        entry.last_used = now;
        let capabilities = entry
            .discovered
            .as_ref()
            .map(|discovered| discovered.capabilities.clone());
        let must_wait = entry.in_flight(now) || now < entry.retry_at;
        match capabilities {
            Some(capabilities) if must_wait || entry.is_fresh(now, max_age) => {
                CapabilityLookup::Known(capabilities)
            }
            None if must_wait => CapabilityLookup::Unavailable,
            stale => {
                entry.in_flight_since = Some(now);
                CapabilityLookup::Discover(stale)
            }
        }
    }

    /// Evicts the least recently used entry if the cache is full and `key` is new.
    fn evict_for(&mut self, key: &ReplicaKey) {
        if self.entries.contains_key(key) || self.entries.len() < MAX_ENTRIES {
            return;
        }
        let least_recent = self.entries.iter().min_by_key(|(_, entry)| entry.last_used);
        if let Some(evicted) = least_recent.map(|(key, _)| key.clone()) {
            self.entries.remove(&evicted);
        }
    }

    /// Returns by how much earlier than `max_age` an entry is stale, at most a quarter of the age.
    ///
    /// Servers that were discovered together are thereby not all rediscovered together.
    fn spread(&self, key: &ReplicaKey) -> Micros {
        let hash = stable_hash(&[key.address.as_bytes(), key.source.as_bytes()]);
        Micros(self.max_age.0 / 4 * (hash % 256) / 256)
    }

    /// Records the result of a discovery; `None` is a failure.
    pub fn record(&mut self, key: &ReplicaKey, capabilities: Option<Capabilities>, now: Micros) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.in_flight_since = None;
        let Some(capabilities) = capabilities else {
            return entry.fail(now);
        };
        entry.discovered = Some(Discovered {
            capabilities: Arc::new(capabilities),
            at: now,
        });
        entry.consecutive_failures = 0;
    }

    /// Returns the queryables that any of these servers declares, or `None` if none declares any.
    pub fn any_queryables<'a>(
        &self,
        keys: impl Iterator<Item = &'a ReplicaKey>,
    ) -> Option<Queryables> {
        let known = keys
            .filter_map(|key| self.known(key))
            .map(|capabilities| &capabilities.queryables);
        let declared = known
            .filter(|queryables| !queryables.named.is_empty())
            .cloned();
        declared.reduce(|all, more| all.union(&more))
    }

    /// Returns the capabilities that all of these servers have, or `None` if those of one are
    /// unknown.
    pub fn common<'a>(&self, keys: impl Iterator<Item = &'a ReplicaKey>) -> Option<Capabilities> {
        let mut common: Option<Capabilities> = None;
        for key in keys {
            let capabilities = self.known(key)?;
            common = Some(match common {
                None => capabilities.clone(),
                Some(common) => common.intersection(capabilities),
            });
        }
        common
    }

    fn known(&self, key: &ReplicaKey) -> Option<&Capabilities> {
        Some(&self.entries.get(key)?.discovered.as_ref()?.capabilities)
    }
}

/// Returns the capabilities that a server's two documents declare, or `None` if the first is no
/// conformance page.
///
/// Conformance classes are identified by the last segment of their URIs. `max_filter_text` is this
/// edge's own limit, in characters.
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
