//! Tests of the memory use of the catalog.

use super::*;

/// Returns a server that is ready and has the same shard as all others.
fn server(name: String) -> Server {
    Server {
        name,
        address: ([127, 0, 0, 1], 9).into(),
        state: EndpointState::Ready,
        shards: vec![CollectionShard {
            collection: "devices".to_owned(),
            server_collection: "north".to_owned(),
        }],
    }
}

/// Returns an inventory without retired shards.
fn inventory(servers: Vec<Server>) -> Inventory {
    Inventory {
        servers,
        ..Inventory::default()
    }
}

/// Guards against shards that can never be taken out of a collection, and against memory use that
/// grows with their names.
#[test]
fn a_retired_shard_leaves_its_collection_and_returns_under_another_identifier() {
    let mut catalog = Catalog::default();
    let north = CollectionShard {
        collection: "devices".to_owned(),
        server_collection: "north".to_owned(),
    };
    let in_service = inventory(vec![server("a".to_owned())]);
    catalog.load(&in_service, Micros::ZERO);
    let first = catalog.shards("devices").expect("the collection exists")[0];
    assert!(catalog.unserved_shards().is_empty());

    catalog.load(&Inventory::default(), Micros::ZERO);
    assert_eq!(catalog.shards("devices"), Some(&[first][..]));
    assert_eq!(catalog.unserved_shards(), [&north]);

    let retired = Inventory {
        retired_shards: vec![north],
        ..Inventory::default()
    };
    catalog.load(&retired, Micros::ZERO);
    assert_eq!(catalog.shards("devices"), None);
    assert!(catalog.unserved_shards().is_empty());
    assert_eq!(catalog.server_collection(first), None);
    assert!(catalog.shard_ids.is_empty() && catalog.sticky_ids.is_empty());

    catalog.load(&in_service, Micros::ZERO);
    let second = catalog.shards("devices").expect("the collection exists")[0];
    assert_ne!(first, second);
}

/// Guards against memory use that grows with the number of server names in all inventories, when
/// servers are replaced by servers with new names.
#[test]
fn entries_of_servers_that_are_no_longer_listed_are_removed() {
    let mut catalog = Catalog::default();
    let mut assigned = HashSet::new();
    for generation in 0..1_000 {
        let servers = [0, 1].map(|n| server(format!("server-{generation}-{n}")));
        let update = catalog.load(&inventory(servers.to_vec()), Micros::ZERO);
        let shards = update.endpoints[0]
            .shards
            .as_ref()
            .expect("the server has a list of shards");
        assert!(
            shards[1..].iter().all(|id| assigned.insert(*id)),
            "an identifier was reused"
        );
        let shard = catalog.shards("devices").expect("the collection exists")[0];
        assert_eq!(catalog.server_collection(shard), Some("north"));
    }
    let entry_count = catalog.shards_by_id.len()
        + catalog.shard_ids.len()
        + catalog.sticky_ids.len()
        + catalog.excluding_ids.len()
        + catalog.previous_servers.len();
    assert_eq!(entry_count, 8, "two servers of one shard");
}
