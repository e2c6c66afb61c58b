//! Shards without a server: their last server is gone or is no longer listed.

use crate::standin::client::Response;
use crate::standin::feature_server::{
    healthy_response, inventory_row, inventory_row_in_state, FeatureServer, ServerResponse,
};
use crate::standin::process::Process;
use crate::support::{feature_ids, GatedServer, ITEMS};
use std::time::{Duration, Instant};

/// The time within which a query that lacks a shard without a server is answered or rejected. The
/// latency objective of the class that needs all shards is 20 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The inventories of a test: two shards, of which the second one loses its only server.
struct Fleet {
    north: FeatureServer,
    south: FeatureServer,
}

impl Fleet {
    fn start() -> Fleet {
        Fleet {
            north: FeatureServer::healthy(0..3, 10),
            south: FeatureServer::healthy(100..103, 10),
        }
    }

    fn north_row(&self) -> String {
        inventory_row("a", &self.north, "devices/n")
    }

    fn south_row(&self, state: &str) -> String {
        inventory_row_in_state("b", &self.south, "devices/s", state)
    }

    fn rows(&self, state: &str) -> String {
        self.north_row() + &self.south_row(state)
    }
}

/// Returns the response to a query of this class, which must arrive within [`RESPONSE_TIMEOUT`].
fn get_in_time(process: &Process, target: &str, class: &str) -> Response {
    let started = Instant::now();
    let response = process.get_with_headers(target, &format!("X-Qos: {class}\r\n"));
    let elapsed = started.elapsed();
    assert!(elapsed < RESPONSE_TIMEOUT, "{target} took {elapsed:?}");
    response
}

/// Asserts that no response claims to have the features of the shard `s`.
fn assert_south_is_missing(process: &Process) {
    for target in [ITEMS, "/collections/devices/items?limit=2&sortby=name"] {
        assert_eq!(
            get_in_time(process, target, "exact").status,
            503,
            "{target}"
        );
    }
    let partial = get_in_time(process, ITEMS, "part");
    assert_eq!((partial.status, partial.ids()), (200, feature_ids(0..3)));
    assert_eq!(partial.headers["x-answer-whole"], "false");
    let json = partial.json();
    assert_eq!(json["missing"], serde_json::json!(["s"]));
    assert!(json.get("numberMatched").is_none(), "{json}");
    let feature = get_in_time(process, "/collections/devices/items/d101", "part");
    assert_eq!(
        feature.status, 502,
        "the missing shard may have the feature"
    );
}

/// Guards against responses marked complete that lack a shard whose only server is gone.
#[test]
fn a_shard_whose_only_server_is_gone_is_missing_after_a_reload() {
    let fleet = Fleet::start();
    let process = Process::start_feature_front("gone-reload", "", &fleet.rows("in_service"));
    let complete = process.get(ITEMS);
    assert_eq!((complete.status, complete.ids().len()), (200, 6));

    process.reload_inventory(&fleet.rows("gone"));
    assert_south_is_missing(&process);

    process.reload_inventory(&fleet.rows("in_service"));
    let complete = process.get(ITEMS);
    assert_eq!((complete.status, complete.ids().len()), (200, 6));
}

/// Guards against responses marked complete that lack a shard whose only server was gone before
/// the start.
#[test]
fn a_shard_whose_only_server_is_gone_is_missing_from_the_start() {
    let fleet = Fleet::start();
    let process = Process::start_feature_front("gone-start", "", &fleet.rows("gone"));
    assert_south_is_missing(&process);
}

/// Guards against responses marked complete that lack a shard whose only server has left the
/// inventory: a server that a complete list omits counts as removed.
#[test]
fn a_shard_whose_only_server_is_no_longer_listed_is_missing() {
    let fleet = Fleet::start();
    let process = Process::start_feature_front("unlisted", "", &fleet.rows("in_service"));
    process.write_inventory(&fleet.north_row());
    process.signal("HUP");
    let line = process.wait_for_log("shard without a server");
    assert!(
        line.contains("devices") && line.contains("shard=s"),
        "{line}"
    );
    process.wait_for_log("inventory reloaded");
    assert_south_is_missing(&process);
}

/// Guards against responses marked complete that lack a shard whose only server is gone between
/// two responses.
#[test]
fn a_shard_whose_only_server_is_gone_during_a_traversal_is_missing() {
    let fleet = Fleet::start();
    let process = Process::start_feature_front("gone-walk", "", &fleet.rows("in_service"));
    let first = process.get_with_headers(&format!("{ITEMS}?limit=2"), "X-Qos: part\r\n");
    let next = first.link("next").expect("the first response has a link");

    process.reload_inventory(&fleet.rows("gone"));

    assert_eq!(get_in_time(&process, &next, "exact").status, 503);
    let second = get_in_time(&process, &next, "part");
    assert_eq!((second.status, second.ids()), (200, feature_ids(2..3)));
    let json = second.json();
    assert_eq!(json["missing"], serde_json::json!(["s"]), "{json}");
}

/// Guards against a response marked complete that lacks the later pages of a shard whose only server
/// is gone between two of its pages.
#[test]
fn a_shard_whose_only_server_is_gone_between_two_pages_is_missing() {
    for class in ["exact", "part"] {
        let north = FeatureServer::healthy(0..3, 10);
        let south = GatedServer::start(100..106, 2);
        let rows = |state| {
            inventory_row("a", &north, "devices/n")
                + &inventory_row_in_state("b", &south.server, "devices/s", state)
        };
        let process = Process::start_feature_front("gone-page", "", &rows("in_service"));
        let response = std::thread::scope(|scope| {
            let query = scope.spawn(|| get_in_time(&process, ITEMS, class));
            south.wait_for_request();
            process.reload_inventory(&rows("gone"));
            south.open();
            query.join().expect("the thread does not panic")
        });
        assert_eq!((response.status, response.ids()), (200, feature_ids(0..3)));
        // The response ends before the shard, and its link leads there.
        let next = response.link("next").expect("the shard is still to come");
        let following = get_in_time(&process, &next, class);
        assert_eq!(following.status, 503, "{class}: {following:?}");
    }
}

/// Guards against a number of matching features that leaves out a shard without a server.
#[test]
fn the_number_matched_is_unknown_without_a_shard() {
    let counted = |target: &str| match healthy_response(target, 0..3, 10) {
        ServerResponse::Json(body) => {
            ServerResponse::Json(body.replacen('{', r#"{"numberMatched":3,"#, 1))
        }
        other => other,
    };
    let north = FeatureServer::start(counted);
    let south = FeatureServer::healthy(100..103, 10);
    let rows = |state| {
        inventory_row("a", &north, "devices/n")
            + &inventory_row_in_state("b", &south, "devices/s", state)
    };
    let process = Process::start_feature_front("matched", "", &rows("in_service"));
    assert_eq!(process.get(ITEMS).json()["numberMatched"], 6);

    process.reload_inventory(&rows("gone"));

    let partial = get_in_time(&process, ITEMS, "part").json();
    assert!(partial.get("numberMatched").is_none(), "{partial}");
}

/// Guards against a shard that an operator cannot take out of its collection.
#[test]
fn a_retired_shard_no_longer_belongs_to_its_collection() {
    let fleet = Fleet::start();
    let process = Process::start_feature_front("retired", "", &fleet.rows("in_service"));
    let in_retired_shard = process.get(&format!("{ITEMS}?limit=4")).link("next");
    process.reload_inventory(&(fleet.north_row() + "b,,devices/s,retired\n"));

    let complete = process.get(ITEMS);
    assert_eq!((complete.status, complete.ids()), (200, feature_ids(0..3)));
    assert_eq!(complete.headers["x-answer-whole"], "true");
    let next = in_retired_shard.expect("the first response has a link");
    assert_eq!(
        process.get(&next).status,
        410,
        "the link leads to the shard"
    );
}
