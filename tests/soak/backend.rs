//! The servers to which the process under test connects.

use crate::clients::SHARDS;
use crate::script::{FrontKind, Script};
use crate::servers::{start_faulty_feature_server, FaultyDataNode, ServerContext};
use crate::standin::discovery::FaultyDiscovery;
use crate::standin::feature_server::{inventory_row_in_state, FeatureServer};
use std::net::SocketAddr;

/// The number of data nodes and of feature servers.
pub const SERVERS: usize = 3;

/// The servers to which the process connects, and the discovery agent that lists them.
pub enum Backend {
    Platform {
        nodes: Vec<FaultyDataNode>,
        discovery: FaultyDiscovery,
    },
    Features(Vec<FeatureServer>),
}

/// Starts the servers of a script's front.
pub fn start_backend(script: &Script, servers: &ServerContext) -> Backend {
    match script.front {
        FrontKind::Platform => {
            let nodes: Vec<FaultyDataNode> = (0..SERVERS)
                .map(|n| FaultyDataNode::start(n, servers))
                .collect();
            let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
            let discovery = FaultyDiscovery::start(&addresses);
            Backend::Platform { nodes, discovery }
        }
        FrontKind::Features => Backend::Features(
            (0..SERVERS)
                .map(|n| start_faulty_feature_server(n, servers))
                .collect(),
        ),
    }
}

/// Returns the inventory of the feature servers. `draining` is the index of a server that drains.
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
