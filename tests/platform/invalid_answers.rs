//! Answers of data nodes whose frames have a wrong length, or bytes behind them that belong to no
//! frame.

use crate::standin::client::{Class, Shards};
use crate::standin::data_node::{DataNode, NodeBehaviour};
use crate::standin::deployment::Deployment;
use crate::support::query;
use serde_json::json;

/// The response to a query of one part after a fault in the first answer of every node.
struct FaultCase {
    fault: NodeBehaviour,
    class: &'static str,
    status: u16,
    /// The number of times that nodes receive the part.
    attempts: usize,
}

impl FaultCase {
    fn check(&self) {
        let name = format!("answer{}{}", self.fault as u8, self.class);
        let fault = self.fault;
        // The third attempt is the first one without a fault.
        let nodes = [(); 2].map(|()| {
            DataNode::start(move |part| match part {
                1 => fault,
                _ => NodeBehaviour::Serve,
            })
        });
        let (process, _changes) = Deployment::BASIC.start(&name, &nodes);
        process.wait_until_ready();
        let response = query(&process, "q1", Class(self.class), Shards(&[0]));
        assert_eq!(response.status, self.status, "{name}");
        if self.status == 200 {
            let pieces = json!([{"tablet": 0, "cell": "cell0"}]);
            assert_eq!(response.json(), json!({"full": true, "pieces": pieces}));
        }
        let received = |node: &DataNode| node.received_part_ids().len();
        let attempts: usize = nodes.iter().map(received).sum();
        assert_eq!(attempts, self.attempts, "{name}");
    }
}

#[test]
fn a_value_that_is_cut_by_a_short_length_is_not_served_and_its_part_may_have_run() {
    // Guards against truncated values in answers to clients: the frame itself is valid, and only
    // the bytes behind it show that its length is too small.
    let case = |class, status, attempts| FaultCase {
        fault: NodeBehaviour::ServeWithShortLength,
        class,
        status,
        attempts,
    };
    case("lookup", 200, 3).check();
    case("send", 502, 1).check();
}

#[test]
fn a_good_answer_with_noise_behind_it_is_served() {
    // Guards against the loss of good answers: noise cannot be the rest of a value.
    for class in ["lookup", "send"] {
        FaultCase {
            fault: NodeBehaviour::ServeWithNoise,
            class,
            status: 200,
            attempts: 1,
        }
        .check();
    }
}
