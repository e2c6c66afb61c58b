//! The feature servers of the run, and their faults.

use crate::standin::feature_server::{
    healthy_response, inventory_row_in_state, FeatureServer, ServerResponse,
};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// The names of the shards.
pub const SHARDS: [&str; 3] = ["east", "north", "south"];
/// The faults in the order in which servers get them.
pub const FAULTS: [&str; 7] = [
    "healthy", "errors", "hang", "truncate", "slow", "drain", "burst",
];
/// The number of feature servers.
pub const SERVERS: usize = 6;

/// Returns the numbers of the features of a shard.
pub fn feature_numbers(shard: usize) -> Range<usize> {
    shard * 1000..shard * 1000 + 40 + shard
}

/// Returns the shards of a server; each shard is at four servers.
pub fn shards_of(server: usize) -> [usize; 2] {
    [server % 3, (server + 1) % 3]
}

/// Starts a server of two shards; `fault` is the index of its present fault in [`FAULTS`].
pub fn start_server(shards: [usize; 2], fault: Arc<AtomicUsize>) -> FeatureServer {
    let mut seed = 7usize;
    FeatureServer::start(move |target| {
        let shard = shards
            .into_iter()
            .find(|s| target.contains(&format!("/{}/", SHARDS[*s])))
            .expect("the path has a shard of this server");
        let response = healthy_response(target, feature_numbers(shard), 10);
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        // About every other page fails. If all failed, only first pages would have the fault.
        let fails = (seed >> 33).is_multiple_of(2);
        match (FAULTS[fault.load(Relaxed)], response) {
            ("errors", _) if fails => ServerResponse::Status(500),
            ("hang", _) => ServerResponse::Hang,
            ("truncate", ServerResponse::Json(body)) if fails => ServerResponse::Truncated(body),
            ("slow", response) => {
                std::thread::sleep(Duration::from_millis(30));
                response
            }
            (_, response) => response,
        }
    })
}

/// Returns the inventory of the servers, of which one may be draining.
pub fn inventory(servers: &[FeatureServer], draining: Option<usize>) -> String {
    let row = |(n, server): (usize, &FeatureServer)| {
        let [first, second] = shards_of(n).map(|shard| SHARDS[shard]);
        let shards = format!("devices/{first};devices/{second}");
        let state = if draining == Some(n) {
            "draining"
        } else {
            "in_service"
        };
        inventory_row_in_state(&format!("s{n}"), server, &shards, state)
    };
    servers.iter().enumerate().map(row).collect()
}
