//! What servers can do: learned from their conformance pages and queryables, kept with an age, and learned anew.
//!
//! A decision table without clock or socket. Who wants to know asks [`CapabilityCache::want`]; whoever is told to look does so for all,
//! so that neither a restart nor an age that ends sends more than one look to a server at a time.

use super::cql2::{Capabilities, Queryables};
use crate::time::Micros;
use serde_json::Value as Json;
use std::collections::HashMap;
use std::sync::Arc;

/// A look that came to nothing is not made again for so long, doubled each time,
const FIRST_PAUSE: Micros = Micros::from_secs(2);
/// up to this.
const MAX_PAUSE: Micros = Micros::from_secs(120);
/// Whoever looks has so long; then another may.
const MAX_LOOK: Micros = Micros::from_secs(5);
/// Most that is remembered; the longest unused gives way.
const MAX_KNOWN: usize = 4_096;

/// A shard at a server, which is what capabilities are kept for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaKey {
    /// The server's address.
    pub address: Arc<str>,
    /// The server's own name for the shard.
    pub source: Arc<str>,
}

#[derive(Debug, Default)]
struct Entry {
    known: Option<(Arc<Capabilities>, Micros)>,
    /// Since when somebody looks.
    looking: Option<Micros>,
    /// Looks in a row that came to nothing, and when the next may be made.
    failed: u32,
    not_before: Micros,
    used: Micros,
}

/// What is to be done about a server's abilities.
#[derive(Debug, Clone, PartialEq)]
pub enum CapabilityLookup {
    /// This is known.
    Known(Arc<Capabilities>),
    /// Look, and tell what came; until then this is known, if anything.
    Discover(Option<Arc<Capabilities>>),
    /// Go on without.
    Unavailable,
}

/// What is known of all servers.
#[derive(Debug, Default)]
pub struct CapabilityCache {
    entries: HashMap<ReplicaKey, Entry>,
    age: Micros,
}

impl CapabilityCache {
    /// Nothing yet; what is learned serves for `age`.
    pub fn new(age: Micros) -> Self {
        CapabilityCache { entries: HashMap::new(), age }
    }

    /// Somebody wants to know what a server can do with a shard.
    pub fn lookup(&mut self, at: &ReplicaKey, now: Micros) -> CapabilityLookup {
        if !self.entries.contains_key(at) && self.entries.len() >= MAX_KNOWN {
            let oldest = self.entries.iter().min_by_key(|e| e.1.used).map(|e| e.0.clone());
            oldest.map(|at| self.entries.remove(&at));
        }
        // Servers that were learned together are not learned anew together.
        let spread = Micros(
            self.age.0 / 4
                * (super::cursor::stable_hash(&[at.address.as_bytes(), at.source.as_bytes()]) % 256)
                / 256,
        );
        let age = self.age - spread;
        let entry = self.entries.entry(at.clone()).or_default();
        entry.used = now;
        let known = entry.known.as_ref().map(|k| k.0.clone());
        let fresh = entry.known.as_ref().is_some_and(|k| now.since(k.1) < age);
        let looked_at = entry.looking.is_some_and(|since| now.since(since) < MAX_LOOK);
        match known {
            Some(able) if fresh || looked_at || now < entry.not_before => CapabilityLookup::Known(able),
            None if looked_at || now < entry.not_before => CapabilityLookup::Unavailable,
            known => {
                entry.looking = Some(now);
                CapabilityLookup::Discover(known)
            }
        }
    }

    /// What a look came to; `None`: to nothing.
    pub fn record(&mut self, at: &ReplicaKey, able: Option<Capabilities>, now: Micros) {
        let Some(entry) = self.entries.get_mut(at) else { return };
        entry.looking = None;
        match able {
            Some(able) => {
                (entry.known, entry.failed) = (Some((Arc::new(able), now)), 0);
            }
            None => {
                // What was known of it is as good as before: a server that is down can do nothing else.
                let pause = FIRST_PAUSE.0 << entry.failed.min(16);
                entry.failed = entry.failed.saturating_add(1);
                entry.not_before = now + Micros(pause).min(MAX_PAUSE);
            }
        }
    }

    /// What any of these tells that can be asked; `None` if none tells anything.
    pub fn any_queryables<'a>(&self, of: impl Iterator<Item = &'a ReplicaKey>) -> Option<Queryables> {
        let known = of.filter_map(|at| Some(&self.entries.get(at)?.known.as_ref()?.0.queryables));
        known.filter(|q| !q.named.is_empty()).cloned().reduce(|all, more| all.either(&more))
    }

    /// What all of these can do together; `None` if of one of them nothing is known.
    pub fn common<'a>(&self, of: impl Iterator<Item = &'a ReplicaKey>) -> Option<Capabilities> {
        let mut all: Option<Capabilities> = None;
        for at in of {
            let able = &self.entries.get(at)?.known.as_ref()?.0;
            all = Some(match all {
                None => Capabilities::clone(able),
                Some(before) => Capabilities {
                    classes: before.classes.intersection(&able.classes).cloned().collect(),
                    queryables: before.queryables.both(&able.queryables),
                    max_filter_text: before.max_filter_text.min(able.max_filter_text),
                },
            });
        }
        all
    }
}

/// A server's abilities from its two documents. `None`: the first is no conformance page.
pub fn parse_capabilities(
    conformance: &[u8],
    queryables: Option<&[u8]>,
    most_text: usize,
) -> Option<Capabilities> {
    let json: Json = serde_json::from_slice(conformance).ok()?;
    let classes = json["conformsTo"].as_array()?.iter().filter_map(Json::as_str);
    let last = |uri: &str| uri.rsplit('/').next().unwrap_or_default().to_owned();
    let schema = queryables.and_then(|q| serde_json::from_slice::<Json>(q).ok());
    let queryables = schema.as_ref().and_then(Queryables::from_schema).unwrap_or_default();
    Some(Capabilities { classes: classes.map(last).collect(), queryables, max_filter_text: most_text })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(n: usize) -> ReplicaKey {
        ReplicaKey { address: format!("s{n}").into(), source: "north".into() }
    }

    fn secs(s: u64) -> Micros {
        Micros::from_secs(s)
    }

    #[test]
    fn one_looks_for_all_and_the_others_go_on() {
        let mut learned = CapabilityCache::new(secs(100));
        assert_eq!(learned.lookup(&at(1), secs(1)), CapabilityLookup::Discover(None));
        assert_eq!(learned.lookup(&at(1), secs(2)), CapabilityLookup::Unavailable, "another looks");
        assert_eq!(
            learned.lookup(&at(1), secs(7)),
            CapabilityLookup::Discover(None),
            "who looked never came back"
        );
        let able =
            parse_capabilities(br#"{"conformsTo":["http://x/conf/basic-cql2"]}"#, None, 9).expect("a page");
        learned.record(&at(1), Some(able.clone()), secs(8));
        let known = CapabilityLookup::Known(Arc::new(able.clone()));
        assert_eq!(learned.lookup(&at(1), secs(9)), known);
        assert_eq!(
            learned.lookup(&at(1), secs(200)),
            CapabilityLookup::Discover(Some(Arc::new(able))),
            "too old, yet of use"
        );
        assert_eq!(learned.lookup(&at(1), secs(200)), known);
    }

    #[test]
    fn a_look_that_fails_is_not_made_again_at_once() {
        let mut learned = CapabilityCache::new(secs(100));
        let mut looks = 0;
        for second in 0..1_000 {
            if let CapabilityLookup::Discover(_) = learned.lookup(&at(1), secs(second)) {
                looks += 1;
                learned.record(&at(1), None, secs(second));
            }
        }
        assert!((8..=16).contains(&looks), "{looks}");
    }

    #[test]
    fn servers_are_not_learned_anew_all_at_once_and_memory_has_an_end() {
        let mut learned = CapabilityCache::new(secs(100));
        let able = || parse_capabilities(br#"{"conformsTo":[]}"#, None, 9);
        for n in 0..200 {
            learned.lookup(&at(n), secs(0));
            learned.record(&at(n), able(), secs(0));
        }
        let mut most = 0;
        for second in 70..=100 {
            let looks: Vec<_> = (0..200)
                .filter(|n| matches!(learned.lookup(&at(*n), secs(second)), CapabilityLookup::Discover(_)))
                .collect();
            most = most.max(looks.len());
            looks.into_iter().for_each(|n| learned.record(&at(n), able(), secs(second)));
        }
        assert!(most < 40, "{most} at once");
        for n in 0..10_000 {
            learned.lookup(&at(n), secs(200 + n as u64));
        }
        assert!(learned.entries.len() <= MAX_KNOWN);
    }

    #[test]
    fn together_servers_can_do_what_each_can() {
        let mut learned = CapabilityCache::new(secs(100));
        let told = |classes: &str, names: &str| {
            let page = format!("{{\"conformsTo\":[{classes}]}}");
            let schema = format!("{{\"properties\":{{{names}}}}}");
            parse_capabilities(page.as_bytes(), Some(schema.as_bytes()), 9)
        };
        for (n, able) in [told("\"c/a\",\"c/b\"", "\"x\":{},\"y\":{}"), told("\"d/b\"", "\"y\":{}")]
            .into_iter()
            .enumerate()
        {
            learned.lookup(&at(n), secs(0));
            learned.record(&at(n), able, secs(0));
        }
        let both = learned.common([at(0), at(1)].iter()).expect("known");
        assert_eq!((both.classes.len(), both.queryables.named.len()), (1, 1));
        assert_eq!(learned.common([at(0), at(2)].iter()), None);
        let either = learned.any_queryables([at(0), at(1), at(2)].iter()).expect("told");
        assert_eq!(either.named.into_keys().collect::<Vec<_>>(), ["x", "y"]);
        assert_eq!(learned.any_queryables([at(2)].iter()), None);
        assert!(
            parse_capabilities(b"<html>", None, 9).is_none() && parse_capabilities(b"{}", None, 9).is_none()
        );
    }
}
