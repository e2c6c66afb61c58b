//! The test bed: four feature servers, and the versions of the program that are started over them.

use crate::feature_server::{devices, Capabilities, FeatureServer};
use crate::process::{EdgeProcess, ProcessError};
use std::io;
use std::path::Path;

/// A class with long deadlines.
const CLASSES: &str = "
[[class]]
name = \"map\"
aim_ms = 8000
deadline_ms = 10000
";

/// Settings of every version. An earlier version reads whole shards, which takes more than the default allows.
pub(super) const SETTINGS: &str = "most_bytes = 33554432";

/// The collections of the servers: each shard is on two of them.
const SERVER_COLLECTIONS: [&str; 4] = ["devices/north", "devices/north", "devices/south", "devices/south"];

/// Feature servers for all measurements.
pub(super) struct TestBed {
    pub(super) servers: Vec<FeatureServer>,
}

/// What all servers have done so far.
#[derive(Clone, Copy)]
pub(super) struct ServerWork {
    pub(super) requests: u64,
    pub(super) body_bytes: u64,
}

impl ServerWork {
    /// What was done since an earlier time.
    pub(super) fn since(self, earlier: ServerWork) -> ServerWork {
        ServerWork {
            requests: self.requests - earlier.requests,
            body_bytes: self.body_bytes - earlier.body_bytes,
        }
    }
}

impl TestBed {
    /// Starts the servers.
    pub(super) fn start(features_per_shard: usize) -> io::Result<TestBed> {
        let start = |from: usize| {
            let features = devices(from..from + features_per_shard);
            FeatureServer::start(features, Capabilities::FiltersAndSorting)
        };
        let servers = vec![start(0)?, start(0)?, start(features_per_shard)?, start(features_per_shard)?];
        Ok(TestBed { servers })
    }

    /// The rows of the inventory.
    pub(super) fn inventory(&self) -> String {
        let row = |(index, (server, collection)): (usize, (&FeatureServer, &str))| {
            server.inventory_row(&format!("s{index}"), collection, "")
        };
        self.servers.iter().zip(SERVER_COLLECTIONS).enumerate().map(row).collect()
    }

    /// Starts a version over the servers.
    pub(super) fn start_version(&self, program: &Path) -> Result<EdgeProcess, ProcessError> {
        EdgeProcess::start(program, SETTINGS, &self.inventory(), CLASSES)
    }

    /// What the servers have done so far.
    pub(super) fn work(&self) -> ServerWork {
        ServerWork {
            requests: self.servers.iter().map(FeatureServer::request_count).sum(),
            body_bytes: self.servers.iter().map(FeatureServer::body_bytes).sum(),
        }
    }
}
