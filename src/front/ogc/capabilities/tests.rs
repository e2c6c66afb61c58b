//! Tests of the cache of capabilities.

use super::{parse_capabilities, CapabilityCache, CapabilityLookup, ReplicaKey, MAX_ENTRIES};
use crate::time::Micros;
use std::sync::Arc;

fn replica(n: usize) -> ReplicaKey {
    ReplicaKey {
        address: format!("s{n}").into(),
        server_collection: "north".into(),
    }
}

fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

#[test]
fn a_discovery_is_assigned_to_one_caller_and_the_others_get_cached_capabilities() {
    let mut cache = CapabilityCache::new(secs(100));
    assert_eq!(
        cache.lookup(&replica(1), secs(1)),
        CapabilityLookup::Discover(None)
    );
    assert_eq!(
        cache.lookup(&replica(1), secs(2)),
        CapabilityLookup::Unavailable,
        "another caller is discovering"
    );
    assert_eq!(
        cache.lookup(&replica(1), secs(7)),
        CapabilityLookup::Discover(None),
        "the first discovery timed out"
    );
    let capabilities =
        parse_capabilities(br#"{"conformsTo":["http://x/conf/basic-cql2"]}"#, None, 9)
            .expect("the document is a conformance declaration");
    cache.record(&replica(1), Some(capabilities.clone()), secs(8));
    let known = CapabilityLookup::Known(Arc::new(capabilities.clone()));
    assert_eq!(cache.lookup(&replica(1), secs(9)), known);
    assert_eq!(
        cache.lookup(&replica(1), secs(200)),
        CapabilityLookup::Discover(Some(Arc::new(capabilities))),
        "the stale capabilities are returned"
    );
    assert_eq!(cache.lookup(&replica(1), secs(200)), known);
}

#[test]
fn a_failed_discovery_is_repeated_after_a_backoff() {
    let mut cache = CapabilityCache::new(secs(100));
    let mut discoveries = 0;
    for second in 0..1_000 {
        if let CapabilityLookup::Discover(_) = cache.lookup(&replica(1), secs(second)) {
            discoveries += 1;
            cache.record(&replica(1), None, secs(second));
        }
    }
    assert!((8..=16).contains(&discoveries), "{discoveries}");
}

#[test]
fn discoveries_are_spread_over_time_and_the_number_of_entries_is_bounded() {
    let mut cache = CapabilityCache::new(secs(100));
    let capabilities = || parse_capabilities(br#"{"conformsTo":[]}"#, None, 9);
    for n in 0..200 {
        cache.lookup(&replica(n), secs(0));
        cache.record(&replica(n), capabilities(), secs(0));
    }
    let mut max_at_once = 0;
    for second in 70..=100 {
        let discoveries: Vec<_> = (0..200)
            .filter(|n| {
                matches!(
                    cache.lookup(&replica(*n), secs(second)),
                    CapabilityLookup::Discover(_)
                )
            })
            .collect();
        max_at_once = max_at_once.max(discoveries.len());
        discoveries
            .into_iter()
            .for_each(|n| cache.record(&replica(n), capabilities(), secs(second)));
    }
    assert!(
        max_at_once < 40,
        "{max_at_once} discoveries at the same time"
    );
    for n in 0..10_000 {
        cache.lookup(&replica(n), secs(200 + n as u64));
    }
    assert!(cache.entries.len() <= MAX_ENTRIES);
}

#[test]
fn common_capabilities_are_those_that_all_servers_have() {
    let mut cache = CapabilityCache::new(secs(100));
    let declared = |classes: &str, names: &str| {
        let page = format!("{{\"conformsTo\":[{classes}]}}");
        let schema = format!("{{\"properties\":{{{names}}}}}");
        parse_capabilities(page.as_bytes(), Some(schema.as_bytes()), 9)
    };
    for (n, capabilities) in [
        declared("\"c/a\",\"c/b\"", "\"x\":{},\"y\":{}"),
        declared("\"d/b\"", "\"y\":{}"),
    ]
    .into_iter()
    .enumerate()
    {
        cache.lookup(&replica(n), secs(0));
        cache.record(&replica(n), capabilities, secs(0));
    }
    let both = cache
        .common_capabilities([replica(0), replica(1)].iter())
        .expect("all capabilities are known");
    assert_eq!((both.classes.len(), both.queryables.named.len()), (1, 1));
    assert_eq!(
        cache.common_capabilities([replica(0), replica(2)].iter()),
        None
    );
    let either = cache
        .queryables_union([replica(0), replica(1), replica(2)].iter())
        .expect("queryables are declared");
    assert_eq!(either.named.into_keys().collect::<Vec<_>>(), ["x", "y"]);
    assert_eq!(cache.queryables_union([replica(2)].iter()), None);
    assert!(
        parse_capabilities(b"<html>", None, 9).is_none()
            && parse_capabilities(b"{}", None, 9).is_none()
    );
}
