//! Stand-in feature servers: OGC API - Features according to the published standard, with scripted
//! faults.
//!
//! A server holds a shard of synthetic devices and serves pages of it by `limit` and `offset`. The
//! filters that it declares are evaluated by the program's own evaluator; checks of the results use
//! independent code.

mod capabilities;
mod capacity;
mod connection;
mod dataset;
mod document;
mod faults;
mod inventory;
mod items;

pub use capabilities::Capabilities;
pub use capacity::Capacity;
pub use dataset::devices;
pub use faults::{Fault, ReceivedRequest, ALL_FAULTS};
pub use inventory::{InventoryEntry, InventoryState};

use crate::sync::lock;
use capacity::WorkerSlots;
use dataset::Dataset;
use faults::FaultScript;
use serde_json::Value as Json;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Stack size of a connection's thread, of which there may be hundreds.
const CONNECTION_STACK_BYTES: usize = 256 * 1024;
/// Maximum number of requests in the log.
const MAX_LOGGED_REQUESTS: usize = 1_000_000;

/// Request in the log of a server.
#[derive(Debug, Clone)]
pub struct LoggedRequest {
    /// Time at which the request was logged, after it had been read.
    pub received_at: Instant,
    /// Path and query.
    pub target: String,
    /// Fault that the script chose for the response.
    pub fault: Fault,
}

/// Handle of a stand-in server; clones refer to the same server.
#[derive(Clone)]
pub struct FeatureServer {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<ServerState>,
}

/// State shared by the connections of a server.
struct ServerState {
    dataset: Dataset,
    capabilities: Capabilities,
    script: Mutex<FaultScript>,
    slots: WorkerSlots,
    requests: AtomicU64,
    body_bytes: AtomicU64,
    log_twice: AtomicBool,
    log: Mutex<Vec<LoggedRequest>>,
}

impl FeatureServer {
    /// Starts a server of these features on a free loopback port.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub fn start(features: Vec<Json>, capabilities: Capabilities) -> io::Result<FeatureServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState {
            dataset: Dataset::new(features),
            capabilities,
            script: Mutex::new(Box::new(|_| Fault::None)),
            slots: WorkerSlots::default(),
            requests: AtomicU64::new(0),
            body_bytes: AtomicU64::new(0),
            log_twice: AtomicBool::new(false),
            log: Mutex::default(),
        });
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = shared.clone();
                let thread = std::thread::Builder::new().stack_size(CONNECTION_STACK_BYTES);
                let _ = thread.spawn(move || {
                    let _ = state.serve_connection(stream);
                });
            }
        });
        Ok(FeatureServer { address, state })
    }

    /// Sets the script that chooses the fault of each request.
    pub fn set_fault_script(
        &self,
        script: impl Fn(&ReceivedRequest<'_>) -> Fault + Send + Sync + 'static,
    ) {
        *lock(&self.state.script) = Box::new(script);
    }

    /// Sets the capacity of the server; `None` removes the limit.
    pub fn set_capacity(&self, capacity: Option<Capacity>) {
        self.state.slots.set_capacity(capacity);
    }

    /// Returns the number of requests received so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.state.requests.load(Relaxed)
    }

    /// Returns the total size of the response bodies so far, in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> u64 {
        self.state.body_bytes.load(Relaxed)
    }

    /// Returns the logged requests in order; at most a million are logged.
    #[must_use]
    pub fn log(&self) -> Vec<LoggedRequest> {
        lock(&self.state.log).clone()
    }

    /// Sets whether each request is logged twice, a fault that observers of the log must detect.
    pub fn set_log_twice(&self, enabled: bool) {
        self.state.log_twice.store(enabled, Relaxed);
    }

    /// Formats the server's row of an inventory.
    #[must_use]
    pub fn inventory_row(&self, entry: InventoryEntry<'_>) -> String {
        entry.to_row(self.address)
    }
}

impl ServerState {
    /// Counts and logs a request and chooses its fault.
    fn register_request(&self, target: &str) -> RegisteredRequest {
        let number = self.requests.fetch_add(1, Relaxed);
        let fault = lock(&self.script)(&ReceivedRequest { number, target });
        let mut log = lock(&self.log);
        let copies = 1 + usize::from(self.log_twice.load(Relaxed));
        for _ in 0..copies {
            if log.len() < MAX_LOGGED_REQUESTS {
                log.push(LoggedRequest {
                    received_at: Instant::now(),
                    target: target.to_owned(),
                    fault,
                });
            }
        }
        RegisteredRequest { number, fault }
    }
}

/// Number and fault of a request that is about to be answered.
#[derive(Clone, Copy)]
struct RegisteredRequest {
    number: u64,
    fault: Fault,
}
