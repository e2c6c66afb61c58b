//! Tests of the memory of the catalog.

use super::*;

/// Returns a server in service of a shard that all servers hold.
fn server(name: String) -> Server {
    Server {
        name,
        address: ([127, 0, 0, 1], 9).into(),
        state: EndpointState::Ready,
        shards: vec![CollectionShard {
            collection: "devices".to_owned(),
            source: "north".to_owned(),
        }],
    }
}

/// Guards against memory that grows with each server name that was ever listed.
#[test]
fn servers_that_are_replaced_by_new_names_are_forgotten() {
    let mut catalog = Catalog::default();
    let mut assigned = HashSet::new();
    for generation in 0..1_000 {
        let servers = [0, 1].map(|n| server(format!("server-{generation}-{n}")));
        let update = catalog.load(&servers, Micros::ZERO);
        let shards = update.endpoints[0].shards.as_ref().expect("its shards");
        assert!(shards[1..].iter().all(|id| assigned.insert(*id)), "reused");
        let shard = catalog.shards("devices").expect("the collection")[0];
        assert_eq!(catalog.source_name(shard), Some("north"));
    }
    let remembered = catalog.shards_by_id.len()
        + catalog.shard_ids.len()
        + catalog.sticky_ids.len()
        + catalog.excluding_ids.len()
        + catalog.history.len();
    assert_eq!(remembered, 8, "two servers of one shard");
}
