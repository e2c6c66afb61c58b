//! Data nodes, queries and assertions that several modules use.

use crate::standin::client::{query, send_request, Class, QueryRequest, Shards};
use crate::standin::data_node::DataNode;
use crate::standin::process::Process;
use std::net::{SocketAddr, TcpStream};

/// Starts two data nodes that answer every part and returns them with their addresses.
pub fn two_serving_nodes() -> ([DataNode; 2], [SocketAddr; 2]) {
    let nodes = [DataNode::serving(), DataNode::serving()];
    let addresses = nodes.each_ref().map(|node| node.address);
    (nodes, addresses)
}

/// Sends four queries of these shards whose parts must not run twice, each on its own connection.
pub fn send_non_idempotent_queries(process: &Process, shards: &[u32]) -> Vec<TcpStream> {
    let send = |number| {
        let id = format!("q{number}");
        let request = QueryRequest::new(&id, Class("once"), Shards(shards));
        send_request(process, &request.close_connection().to_http())
    };
    (0..4).map(send).collect()
}

/// Asserts that queries of these shards are answered, and that the node has received no more than
/// the `received_before` parts.
pub fn assert_draining(process: &Process, node: &DataNode, shards: &[u32], received_before: usize) {
    for n in 0..6 {
        assert_eq!(
            query(process, &format!("q{n}"), Class("look"), Shards(shards)).status,
            200
        );
    }
    assert_eq!(
        node.received_part_ids().len(),
        received_before,
        "a draining node receives no parts"
    );
}
