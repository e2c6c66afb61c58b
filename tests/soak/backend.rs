//! The servers behind the process under test.

use crate::clients::SHARDS;
use crate::script::{FrontKind, Script};
use crate::servers::{start_feature_server, ServerContext, SoakNode};
use crate::standin::discovery::FaultyDiscovery;
use crate::standin::feature_server::{inventory_row_in_state, FeatureServer};
use std::net::SocketAddr;

/// The number of data nodes and of feature servers.
pub const SERVERS: usize = 3;

/// The servers behind the process, and where they are announced.
pub enum Backend {
    Platform {
        nodes: Vec<SoakNode>,
        discovery: FaultyDiscovery,
    },
    Features(Vec<FeatureServer>),
}

/// Starts the servers of a script's front.
pub fn start_backend(script: &Script, servers: &ServerContext) -> Backend {
    match script.front {
        FrontKind::Platform => {
            let nodes: Vec<SoakNode> = (0..SERVERS).map(|n| SoakNode::start(n, servers)).collect();
            let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
            let discovery = FaultyDiscovery::start(&addresses);
            Backend::Platform { nodes, discovery }
        }
        FrontKind::Features => Backend::Features(
            (0..SERVERS)
                .map(|n| start_feature_server(n, servers))
                .collect(),
        ),
    }
}

/// Returns the inventory of the feature servers, of which one may drain.
pub fn inventory(servers: &[FeatureServer], draining: Option<usize>) -> String {
    let collections = SHARDS.map(|shard| format!("devices/{shard}")).join(";");
    let row = |(n, server): (usize, &FeatureServer)| {
        let state = if draining == Some(n) {
            "draining"
        } else {
            "in_service"
        };
        inventory_row_in_state(&format!("s{n}"), server, &collections, state)
    };
    servers.iter().enumerate().map(row).collect()
}
