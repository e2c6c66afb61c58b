//! Test bed of the measurements: four feature servers, with which versions of the program are
//! started.

use crate::feature_server::{devices, Capabilities, FeatureServer, InventoryEntry, InventoryState};
use crate::process::{Configuration, FeatureFrontProcess, ProcessError};
use std::io;
use std::path::Path;

/// Settings of a class with a long deadline.
const LONG_DEADLINE_CLASS: &str = "
[[class]]
name = \"map\"
aim_ms = 8000
deadline_ms = 10000
";

/// Top-level settings of every version. The limit on the bytes of all pages of an answer is raised
/// because an earlier version reads complete shards.
pub(super) const SETTINGS: &str = "most_bytes = 33554432";

/// Collections of the servers; each shard is held by two of them.
const SERVER_COLLECTIONS: [&str; 4] = [
    "devices/north",
    "devices/north",
    "devices/south",
    "devices/south",
];

/// Feature servers of all measurements.
pub(super) struct TestBed {
    pub(super) servers: Vec<FeatureServer>,
}

/// Cumulative work of all servers.
#[derive(Clone, Copy)]
pub(super) struct ServerWork {
    pub(super) requests: u64,
    pub(super) body_bytes: u64,
}

impl ServerWork {
    /// Returns the work since an earlier measurement.
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
        let start_server = |from: usize| {
            let features = devices(from..from + features_per_shard);
            FeatureServer::start(features, Capabilities::FiltersAndSorting)
        };
        let servers = vec![
            start_server(0)?,
            start_server(0)?,
            start_server(features_per_shard)?,
            start_server(features_per_shard)?,
        ];
        Ok(TestBed { servers })
    }

    /// Returns the rows of the inventory.
    pub(super) fn inventory(&self) -> String {
        let format_row = |(index, (server, collection)): (usize, (&FeatureServer, &str))| {
            let name = format!("s{index}");
            let state = InventoryState::Unspecified;
            server.inventory_row(InventoryEntry {
                name: &name,
                collections: collection,
                state,
            })
        };
        self.servers
            .iter()
            .zip(SERVER_COLLECTIONS)
            .enumerate()
            .map(format_row)
            .collect()
    }

    /// Starts a version of the program with the servers in its inventory.
    pub(super) fn start_version(
        &self,
        program: &Path,
    ) -> Result<FeatureFrontProcess, ProcessError> {
        let rows = self.inventory();
        let configuration = Configuration {
            settings: SETTINGS,
            inventory_rows: &rows,
            tables: LONG_DEADLINE_CLASS,
        };
        FeatureFrontProcess::start(program, &configuration)
    }

    /// Returns the cumulative work of the servers.
    pub(super) fn work(&self) -> ServerWork {
        ServerWork {
            requests: self.servers.iter().map(FeatureServer::request_count).sum(),
            body_bytes: self.servers.iter().map(FeatureServer::body_bytes).sum(),
        }
    }
}
