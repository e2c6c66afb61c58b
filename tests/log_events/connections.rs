//! Log events of the connections to clients and data nodes.

use crate::standin::client::{Class, QueryRequest, Shards};
use crate::standin::data_node::{addresses_of, DataNode, NodeBehaviour};
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{all_in_service, complete_list, serve_constant_list};
use crate::standin::http::accept_on_thread;
use crate::standin::threads::OwnedThreadGroup;
use crate::support::{
    create_directory, platform_command, refusing_address, with_descriptors, LoggingProcess,
};
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

#[test]
fn unusable_answers_of_data_nodes_are_logged_with_the_nodes_address() {
    // The answer to any attempt is a frame of five bytes that is not a valid answer.
    let mut open = Vec::new();
    let threads = OwnedThreadGroup::default();
    let corrupt = accept_on_thread(&threads.0, move |mut stream| {
        let _ = stream.write_all(b"\0\0\0\x05hello");
        open.push(stream);
    });
    let partial = DataNode::start(|_| NodeBehaviour::TruncatedAnswer);
    for (test, node, message) in [
        (
            "corrupt",
            corrupt,
            "data node connection closed after a protocol error",
        ),
        (
            "partial",
            partial.address,
            "data node connection closed after an incomplete frame",
        ),
    ] {
        let nodes = [node];
        let discovery = serve_constant_list(complete_list(1, &all_in_service(&nodes)));
        let configuration = Deployment::BASIC.configuration(discovery, &nodes);
        let process = LoggingProcess::start_platform_front(test, &configuration);
        let mut listening = process.wait_for("listening for client connections");
        let address: SocketAddr = listening
            .take_field("address")
            .parse()
            .expect("the field is an address");
        let mut client = TcpStream::connect(address).expect("the process listens");
        let request = QueryRequest::new("q0", Class("lookup"), Shards(&[0])).to_http();
        client
            .write_all(request.as_bytes())
            .expect("the process reads");
        let mut closed = process.wait_for(message);
        assert_eq!(closed.take_field("address"), node.to_string());
        if test == "corrupt" {
            assert!(!closed.take_field("error").is_empty());
        }
        closed.assert("WARN", json!({}));
    }
}

#[test]
fn a_client_connection_that_cannot_be_accepted_is_logged_with_its_error() {
    let nodes = [DataNode::serving()];
    let configuration = Deployment::BASIC.configuration(refusing_address(), &addresses_of(&nodes));
    let directory = create_directory("descriptors");
    let mut command = with_descriptors(32, &platform_command(&directory, &configuration));
    command.env_remove("TMPDIR");
    let process = LoggingProcess::spawn(command, directory);
    let mut listening = process.wait_for("listening for client connections");
    let address: SocketAddr = listening
        .take_field("address")
        .parse()
        .expect("the field is an address");
    let _clients: Vec<_> = (0..64)
        .map(|_| TcpStream::connect(address).expect("the connection is in the backlog"))
        .collect();
    let mut failed = process.wait_for("accepting a client connection failed");
    failed.take_field_containing("error", "Too many open files");
    failed.assert("WARN", json!({}));
}
