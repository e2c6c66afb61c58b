//! The two fronts at small limits, with servers behind that answer, hang or accept nothing.

use crate::standin::client::{Class, QueryRequest, Shards};
use crate::standin::data_node::DataNode;
use crate::standin::deployment::Deployment;
use crate::standin::discovery::{all_in_service, complete_list, Discovery};
use crate::standin::feature_server::{inventory_row, FeatureServer, ServerResponse};
use crate::standin::http::accept_on_thread;
use crate::standin::process::Process;
use crate::standin::threads::OwnedThreadGroup;
use serde_json::json;
use std::time::Duration;

/// The memory limit of the process under test, in MiB.
pub const MEMORY_LIMIT_MIB: u64 = 32;
/// The limit of open file descriptors of the process under test.
pub const DESCRIPTOR_LIMIT: usize = 256;
/// The number of shards of each data node.
pub const SHARDS_PER_NODE: usize = 16;
/// The number of data nodes, over which the shards are distributed in turn.
const NODES: usize = 2;
/// The memory that the process may need before it has a client, in MiB; its limits divide up the rest.
const BASE_MEMORY_MIB: u64 = 16;
/// The number of KiB in a MiB.
const KIB_PER_MIB: u64 = 1024;

/// A front of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    Platform,
    Features,
}

/// Returns the number of the shard with this index among those whose node answers nothing.
pub fn unanswered_shard(index: usize) -> u32 {
    (index * NODES) as u32 + 1
}

/// Both fronts.
pub const FRONTS: [FrontKind; 2] = [FrontKind::Platform, FrontKind::Features];

/// The servers behind a front.
enum Servers {
    Platform(
        DataNode,
        #[expect(dead_code, reason = "the threads run until the group is dropped")]
        OwnedThreadGroup,
        #[expect(dead_code, reason = "discovery answers until it is dropped")] Discovery,
    ),
    Features([FeatureServer; 2]),
}

/// A process with one front at small limits, and the servers behind it.
pub struct LimitedFront {
    pub kind: FrontKind,
    pub process: Process,
    /// The peak of the resident memory before the first client, in KiB.
    initial_memory_kib: u64,
    servers: Servers,
}

impl LimitedFront {
    /// Starts a front whose servers answer queries for the first shard or collection and leave those
    /// for the second one without an answer.
    pub fn start(kind: FrontKind, name: &str) -> LimitedFront {
        let mut front = match kind {
            FrontKind::Platform => LimitedFront::start_platform(name),
            FrontKind::Features => LimitedFront::start_features(name),
        };
        front.initial_memory_kib = front.peak_memory_kib();
        front
    }

    fn start_platform(name: &str) -> LimitedFront {
        let node = DataNode::serving();
        let threads = OwnedThreadGroup::default();
        let unresponsive = accept_on_thread(&threads.0, |mut stream| {
            std::thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
        });
        let addresses = [node.address, unresponsive];
        let discovery = Discovery::start(complete_list(1, &all_in_service(&addresses)));
        let deployment = Deployment {
            descriptor_limit: DESCRIPTOR_LIMIT,
            shards_per_node: SHARDS_PER_NODE,
            ..Deployment::BASIC
        };
        let mut configuration = deployment.configuration(discovery.address, &addresses);
        configuration["limits"]["memory_mb"] = json!(MEMORY_LIMIT_MIB);
        // Each shard is at one node.
        configuration["settings"]["family-info"]["in-a-row"] = json!(1);
        let process = Process::start_platform_front(name, &configuration, DESCRIPTOR_LIMIT);
        process.wait_until_ready();
        LimitedFront {
            kind: FrontKind::Platform,
            process,
            initial_memory_kib: 0,
            servers: Servers::Platform(node, threads, discovery),
        }
    }

    fn start_features(name: &str) -> LimitedFront {
        let servers = [
            FeatureServer::healthy(0..20, 10),
            FeatureServer::start(|_| ServerResponse::Hang),
        ];
        let rows =
            inventory_row("a", &servers[0], "devices") + &inventory_row("b", &servers[1], "hung");
        let settings = format!(
            "memory_mb = {MEMORY_LIMIT_MIB}\nsockets = {DESCRIPTOR_LIMIT}\nmgmt = \"127.0.0.1:0\""
        );
        let process = Process::start_feature_front(name, &settings, &rows);
        process.wait_until_ready();
        LimitedFront {
            kind: FrontKind::Features,
            process,
            initial_memory_kib: 0,
            servers: Servers::Features(servers),
        }
    }

    /// Returns a request whose query a server answers, or one that stays in flight.
    pub fn query(&self, id: &str, answered: bool) -> String {
        match self.kind {
            FrontKind::Platform => {
                let shard = if answered { 0 } else { unanswered_shard(0) };
                QueryRequest::new(id, Class("lookup"), Shards(&[shard])).to_http()
            }
            FrontKind::Features => {
                let collection = if answered { "devices" } else { "hung" };
                format!("GET /collections/{collection}/items HTTP/1.1\r\nHost: x\r\n\r\n")
            }
        }
    }

    /// Returns a request whose query a server answers, with this timeout.
    pub fn query_with_timeout(&self, id: &str, timeout: Duration) -> String {
        let seconds = timeout.as_secs_f64();
        match self.kind {
            FrontKind::Platform => QueryRequest::new(id, Class("lookup"), Shards(&[0]))
                .timeout_seconds(seconds)
                .to_http(),
            FrontKind::Features => {
                let header = format!("\r\nX-Expires-In: {seconds}\r\n");
                self.query(id, true).replacen("\r\n", &header, 1)
            }
        }
    }

    /// Returns the number of requests that the server which answers has received.
    pub fn answered_requests(&self) -> usize {
        match &self.servers {
            Servers::Platform(node, ..) => node.received_part_ids().len(),
            Servers::Features(servers) => servers[0].count_requests(|_| true),
        }
    }

    /// Returns the head of a request with a body of this length.
    pub fn head_with_body(&self, length: usize) -> String {
        let target = match self.kind {
            FrontKind::Platform => {
                "POST /api HTTP/1.1\r\nX-Trace-Id: x\r\nX-Qos: lookup\r\nX-Expires-In: 9"
            }
            FrontKind::Features => "POST /search HTTP/1.1\r\nContent-Type: application/json",
        };
        format!("{target}\r\nHost: x\r\nContent-Length: {length}\r\n\r\n")
    }

    /// Returns the largest body that the front accepts, in bytes.
    pub fn max_body(&self) -> usize {
        match self.kind {
            FrontKind::Platform => 64 * 1024,
            FrontKind::Features => 1024 * 1024,
        }
    }

    /// Returns the peak of the resident memory of the process, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|text| text.trim().split(' ').next()?.parse().ok());
        kib.expect("the status has the peak memory")
    }

    /// Asserts that the process was below its memory limit at all times. A debug build, whose code and
    /// stacks are larger, must not exceed the memory that is left beyond the base memory.
    pub fn assert_memory_limit(&self, what: &str) {
        let peak = self.peak_memory_kib();
        let growth = peak - self.initial_memory_kib;
        println!(
            "{:?}, {what}: peak memory {peak} KiB, growth {growth} KiB",
            self.kind
        );
        let limit = MEMORY_LIMIT_MIB * KIB_PER_MIB;
        let available = limit - BASE_MEMORY_MIB * KIB_PER_MIB;
        assert!(
            growth <= available,
            "{:?}, {what}: {growth} KiB more",
            self.kind
        );
        let is_release = !cfg!(debug_assertions);
        assert!(
            !is_release || peak <= limit,
            "{:?}, {what}: {peak} KiB",
            self.kind
        );
    }
}
