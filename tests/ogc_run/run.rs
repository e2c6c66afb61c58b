//! The program under test, its clients, and the faults of its servers in turn.

use crate::servers::{ids, inventory, server, shards_of, FAULTS, SERVERS, SHARDS};
use crate::standin::client::Response;
use crate::standin::feature_server::FeatureServer;
use crate::standin::process::Process;
use crate::walk::{QueryId, Walk, NON_IDEMPOTENT};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of clients.
pub const CLIENTS: usize = 16;
/// Clients that send requests all the time; the others do during bursts only.
pub const STEADY_CLIENTS: usize = 5;
/// The time for which a server has a fault.
pub const FAULT_DURATION: Duration = Duration::from_secs(4);
/// Time after a reload until a draining server must get no further requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// The time after which a response is too late; clients wait 1.5 s.
pub const MAX_RESPONSE_MS: u128 = 1_700;
/// Pause of a client after each response.
pub const CLIENT_PAUSE: Duration = Duration::from_millis(20);
/// The settings of the program beside the classes of all tests.
pub const SETTINGS: &str = r#"
most_held = 60
[[class]]
name = "map"
aim_ms = 1000
deadline_ms = 2000
"#;

/// Queries by class and kind, the number of their responses, and the slowest of these.
#[derive(Default)]
pub struct Tally {
    pub walks: BTreeMap<(&'static str, String), usize>,
    pub responses: usize,
    pub slowest_ms: u128,
}

impl Tally {
    /// Counts a response that took so long.
    pub fn record_response(&mut self, elapsed_ms: u128) {
        self.responses += 1;
        self.slowest_ms = self.slowest_ms.max(elapsed_ms);
    }

    /// Counts the responses to a query by class and kind.
    pub fn record_walk(&mut self, walk: &Walk) {
        *self
            .walks
            .entry((walk.query.class(), walk.kind()))
            .or_default() += 1;
    }
}

/// The number of times that a query was started at each shard, by the shard's path.
pub type Starts = BTreeMap<String, usize>;

/// The program under test with its feature servers, and the records of the run.
pub struct Run {
    pub edge: Process,
    pub servers: Vec<FeatureServer>,
    /// The fault of each server, as an index into [`FAULTS`].
    pub faults: Vec<Arc<AtomicUsize>>,
    pub over: AtomicBool,
    pub burst: AtomicBool,
    pub tally: Mutex<Tally>,
    /// For each query of the non-idempotent class with more than one page, its starts before each
    /// further page.
    pub starts_before_pages: Mutex<BTreeMap<QueryId, Vec<Starts>>>,
    /// For each drain, the requests that the server got after the grace period.
    pub drained_requests: Mutex<Vec<usize>>,
}

impl Run {
    /// Starts the program and its feature servers, all healthy.
    pub fn start() -> Self {
        let faults: Vec<Arc<AtomicUsize>> = (0..SERVERS).map(|_| Arc::default()).collect();
        let servers: Vec<FeatureServer> = faults
            .iter()
            .enumerate()
            .map(|(n, fault)| server(shards_of(n), fault.clone()))
            .collect();
        Run {
            edge: Process::start_feature_front("run", SETTINGS, &inventory(&servers, None)),
            servers,
            faults,
            over: AtomicBool::new(false),
            burst: AtomicBool::new(false),
            tally: Mutex::default(),
            starts_before_pages: Mutex::default(),
            drained_requests: Mutex::default(),
        }
    }

    /// Sends queries until the run is over, each with a `bbox` of its own.
    pub fn run_client(&self, client: usize) {
        let mut queries = 0usize;
        while !self.over.load(Relaxed) {
            if client >= STEADY_CLIENTS && !self.burst.load(Relaxed) {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
            queries += 1;
            let walk = self.follow_pages(QueryId {
                client,
                query: queries,
            });
            self.tally.lock().expect("tally").record_walk(&walk);
        }
    }

    /// Sends a query and follows the `next` links to the last page, to a failure, or to more pages
    /// than there are features.
    pub fn follow_pages(&self, query: QueryId) -> Walk {
        let mut walk = Walk {
            query,
            pages: Vec::new(),
            failure: None,
        };
        let mut next = Some(query.first_target());
        let features: usize = (0..SHARDS.len()).map(|shard| ids(shard).len()).sum();
        while let Some(target) = next.filter(|_| walk.pages.len() <= features) {
            if !walk.pages.is_empty() && query.class() == NON_IDEMPOTENT {
                self.record_starts_before_page(query);
            }
            let response = self.request(query, &target);
            std::thread::sleep(CLIENT_PAUSE);
            if response.status != 200 {
                walk.failure = Some(response.status);
                break;
            }
            next = response.link("next");
            walk.pages.push(response);
        }
        walk
    }

    /// Sends one request of a query and records how long its response took.
    pub fn request(&self, query: QueryId, target: &str) -> Response {
        let headers = format!("X-Qos: {}\r\nX-Expires-In: 1.5\r\n", query.class());
        let start = Instant::now();
        let response = self.edge.get_with_headers(target, &headers);
        let elapsed_ms = start.elapsed().as_millis();
        if elapsed_ms >= MAX_RESPONSE_MS {
            println!(
                "late: {query:?} {target}: {} after {elapsed_ms} ms",
                response.status
            );
        }
        self.tally
            .lock()
            .expect("tally")
            .record_response(elapsed_ms);
        response
    }

    /// Records the starts of a query before it requests a further page.
    pub fn record_starts_before_page(&self, query: QueryId) {
        let starts = self
            .starts(|started| started == query)
            .remove(&query)
            .unwrap_or_default();
        let mut recorded = self.starts_before_pages.lock().expect("starts");
        recorded.entry(query).or_default().push(starts);
    }

    /// Gives the servers their faults in turn, one at a time, until the time is over.
    pub fn inject_faults(&self, duration: Duration) {
        let start = Instant::now();
        let mut round = 0usize;
        while start.elapsed() < duration {
            let server = (round * 5) % SERVERS;
            let fault = round % FAULTS.len();
            self.faults[server].store(fault, Relaxed);
            self.burst.store(FAULTS[fault] == "burst", Relaxed);
            if FAULTS[fault] == "drain" {
                self.drain(server);
            } else {
                std::thread::sleep(FAULT_DURATION);
            }
            self.faults[server].store(0, Relaxed);
            round += 1;
        }
        self.over.store(true, Relaxed);
    }

    /// Drains a server for [`FAULT_DURATION`] and records the requests that it gets.
    pub fn drain(&self, server: usize) {
        self.reload_inventory(Some(server));
        std::thread::sleep(DRAIN_GRACE);
        let before = self.servers[server].count_requests(|_| true);
        std::thread::sleep(FAULT_DURATION - DRAIN_GRACE);
        let after = self.servers[server].count_requests(|_| true);
        self.drained_requests
            .lock()
            .expect("drains")
            .push(after - before);
        self.reload_inventory(None);
    }

    /// Reloads the inventory, in which this server drains.
    pub fn reload_inventory(&self, draining: Option<usize>) {
        self.edge
            .write_inventory(&inventory(&self.servers, draining));
        self.edge.signal("HUP");
        self.edge.wait_for_log("inventory reloaded");
    }

    /// Returns the starts so far of the queries that `matches` selects, over all servers.
    pub fn starts(&self, matches: impl Fn(QueryId) -> bool) -> BTreeMap<QueryId, Starts> {
        let mut starts: BTreeMap<QueryId, Starts> = BTreeMap::new();
        for target in self.servers.iter().flat_map(FeatureServer::requests) {
            let Some(query) = QueryId::started_by(&target).filter(|query| matches(*query)) else {
                continue;
            };
            let path = target.split('?').next().expect("a path").to_owned();
            *starts.entry(query).or_default().entry(path).or_default() += 1;
        }
        starts
    }

    /// Returns the number of starts at a shard for each page request of the non-idempotent class: a
    /// client's request may start each shard once, and so may its request for a further page.
    pub fn non_idempotent_starts_per_page(&self) -> Vec<usize> {
        let mut recorded = self.starts_before_pages.lock().expect("starts").clone();
        let mut per_page = Vec::new();
        for (query, total) in self.starts(|query| query.class() == NON_IDEMPOTENT) {
            let mut before = Starts::new();
            for after in recorded
                .remove(&query)
                .unwrap_or_default()
                .into_iter()
                .chain([total])
            {
                per_page.extend(
                    after
                        .iter()
                        .map(|(path, n)| n - before.get(path).unwrap_or(&0)),
                );
                before = after;
            }
        }
        per_page.retain(|starts| *starts > 0);
        per_page
    }

    /// Prints the responses, the queries by class and kind, and the requests that must not be.
    pub fn print_findings(&self, minutes: f64) {
        let tally = self.tally.lock().expect("tally");
        let responses = tally.responses;
        let slowest_ms = tally.slowest_ms;
        println!("{minutes} minutes; {responses} responses, slowest {slowest_ms} ms");
        println!("queries by class and kind:");
        for ((class, kind), count) in &tally.walks {
            println!("  {class:6} {kind:19} {count}");
        }
        let drained_requests = self.drained_requests.lock().expect("drains");
        println!("requests to servers that drained, from 300 ms on: {drained_requests:?}");
        let starts = self.non_idempotent_starts_per_page();
        let started = starts.len();
        let repeated = starts.iter().filter(|count| **count > 1).count();
        println!("non-idempotent parts: started {started}, more than once {repeated}");
        let continued = self.starts_before_pages.lock().expect("starts").len();
        println!("non-idempotent queries that went on to further pages: {continued}");
    }
}
