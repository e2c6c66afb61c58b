//! The process under test, its clients, and the faults that its servers have in turn.

use crate::servers::{
    feature_numbers, inventory, shards_of, start_server, FAULTS, SERVERS, SHARDS,
};
use crate::standin::client::Response;
use crate::standin::feature_server::FeatureServer;
use crate::standin::process::Process;
use crate::traversal::{QueryId, Traversal, NON_IDEMPOTENT};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The number of clients.
pub const CLIENTS: usize = 16;
/// The number of clients that send requests all the time; the others send only during bursts.
pub const STEADY_CLIENTS: usize = 5;
/// The time for which a server has a fault.
pub const FAULT_DURATION: Duration = Duration::from_secs(4);
/// The time after a reload from which on a draining server must get no requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// The time after which a response is too late; clients wait 1.5 s.
pub const MAX_RESPONSE_MS: u128 = 1_700;
/// The pause of a client after each response.
pub const CLIENT_PAUSE: Duration = Duration::from_millis(20);
/// The settings of the process, which are added to the classes of all tests.
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
    pub traversals: BTreeMap<(&'static str, String), usize>,
    pub responses: usize,
    pub slowest_ms: u128,
}

impl Tally {
    /// Counts a response and records its duration.
    pub fn record_response(&mut self, elapsed_ms: u128) {
        self.responses += 1;
        self.slowest_ms = self.slowest_ms.max(elapsed_ms);
    }

    /// Counts a query by its class and the kind of its traversal.
    pub fn record_traversal(&mut self, traversal: &Traversal) {
        *self
            .traversals
            .entry((traversal.query.class(), traversal.kind()))
            .or_default() += 1;
    }
}

/// The number of times that a query was started at each shard, by the shard's path.
pub type Starts = BTreeMap<String, usize>;

/// The process under test, its feature servers, and the records of the run.
pub struct Run {
    pub process: Process,
    pub servers: Vec<FeatureServer>,
    /// The fault of each server, as an index into [`FAULTS`].
    pub faults: Vec<Arc<AtomicUsize>>,
    pub is_over: AtomicBool,
    pub is_burst: AtomicBool,
    pub tally: Mutex<Tally>,
    /// For each query of the non-idempotent class with more than one page, its starts before each
    /// page but the first.
    pub starts_before_pages: Mutex<BTreeMap<QueryId, Vec<Starts>>>,
    /// For each drain, the number of requests that the server got after the grace period.
    pub drained_requests: Mutex<Vec<usize>>,
}

impl Run {
    /// Starts the process and its feature servers, all healthy.
    pub fn start() -> Self {
        let faults: Vec<Arc<AtomicUsize>> = (0..SERVERS).map(|_| Arc::default()).collect();
        let servers: Vec<FeatureServer> = faults
            .iter()
            .enumerate()
            .map(|(n, fault)| start_server(shards_of(n), fault.clone()))
            .collect();
        Run {
            process: Process::start_feature_front("run", SETTINGS, &inventory(&servers, None)),
            servers,
            faults,
            is_over: AtomicBool::new(false),
            is_burst: AtomicBool::new(false),
            tally: Mutex::default(),
            starts_before_pages: Mutex::default(),
            drained_requests: Mutex::default(),
        }
    }

    /// Sends queries until the run is over, each with a `bbox` of its own.
    pub fn run_client(&self, client: usize) {
        let mut queries = 0usize;
        while !self.is_over.load(Relaxed) {
            if client >= STEADY_CLIENTS && !self.is_burst.load(Relaxed) {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
            queries += 1;
            let traversal = self.follow_pages(QueryId {
                client,
                query: queries,
            });
            self.tally
                .lock()
                .expect("the mutex is not poisoned")
                .record_traversal(&traversal);
        }
    }

    /// Sends a query and follows the `next` links until the last page, a failure, or more pages than
    /// there are features.
    pub fn follow_pages(&self, query: QueryId) -> Traversal {
        let mut traversal = Traversal {
            query,
            pages: Vec::new(),
            failure: None,
        };
        let mut next = Some(query.first_target());
        let features: usize = (0..SHARDS.len())
            .map(|shard| feature_numbers(shard).len())
            .sum();
        while let Some(target) = next.filter(|_| traversal.pages.len() <= features) {
            if !traversal.pages.is_empty() && query.class() == NON_IDEMPOTENT {
                self.record_starts_before_page(query);
            }
            let response = self.request(query, &target);
            std::thread::sleep(CLIENT_PAUSE);
            if response.status != 200 {
                traversal.failure = Some(response.status);
                break;
            }
            next = response.link("next");
            traversal.pages.push(response);
        }
        traversal
    }

    /// Sends one request of a query and records how long its response took.
    pub fn request(&self, query: QueryId, target: &str) -> Response {
        let headers = format!("X-Qos: {}\r\nX-Expires-In: 1.5\r\n", query.class());
        let start = Instant::now();
        let response = self.process.get_with_headers(target, &headers);
        let elapsed_ms = start.elapsed().as_millis();
        if elapsed_ms >= MAX_RESPONSE_MS {
            println!(
                "late: {query:?} {target}: {} after {elapsed_ms} ms",
                response.status
            );
        }
        self.tally
            .lock()
            .expect("the mutex is not poisoned")
            .record_response(elapsed_ms);
        response
    }

    /// Records the starts of a query before its next page is requested.
    pub fn record_starts_before_page(&self, query: QueryId) {
        let starts = self
            .starts(|started| started == query)
            .remove(&query)
            .unwrap_or_default();
        let mut recorded = self
            .starts_before_pages
            .lock()
            .expect("the mutex is not poisoned");
        recorded.entry(query).or_default().push(starts);
    }

    /// Sets one fault after the other, at one server at a time, until `duration` has passed.
    pub fn inject_faults(&self, duration: Duration) {
        let start = Instant::now();
        let mut round = 0usize;
        while start.elapsed() < duration {
            let server = (round * 5) % SERVERS;
            let fault = round % FAULTS.len();
            self.faults[server].store(fault, Relaxed);
            self.is_burst.store(FAULTS[fault] == "burst", Relaxed);
            if FAULTS[fault] == "drain" {
                self.drain(server);
            } else {
                std::thread::sleep(FAULT_DURATION);
            }
            self.faults[server].store(0, Relaxed);
            round += 1;
        }
        self.is_over.store(true, Relaxed);
    }

    /// Drains a server for [`FAULT_DURATION`] and records the number of requests that it gets.
    pub fn drain(&self, server: usize) {
        self.reload_inventory(Some(server));
        std::thread::sleep(DRAIN_GRACE);
        let before = self.servers[server].count_requests(|_| true);
        std::thread::sleep(FAULT_DURATION - DRAIN_GRACE);
        let after = self.servers[server].count_requests(|_| true);
        self.drained_requests
            .lock()
            .expect("the mutex is not poisoned")
            .push(after - before);
        self.reload_inventory(None);
    }

    /// Reloads the inventory with this server draining, or with none.
    pub fn reload_inventory(&self, draining: Option<usize>) {
        self.process
            .write_inventory(&inventory(&self.servers, draining));
        self.process.signal("HUP");
        self.process.wait_for_log("inventory reloaded");
    }

    /// Returns the starts so far of the queries that `matches` selects, over all servers.
    pub fn starts(&self, matches: impl Fn(QueryId) -> bool) -> BTreeMap<QueryId, Starts> {
        let mut starts: BTreeMap<QueryId, Starts> = BTreeMap::new();
        for target in self.servers.iter().flat_map(FeatureServer::requests) {
            let Some(query) = QueryId::started_by(&target).filter(|query| matches(*query)) else {
                continue;
            };
            let path = target
                .split('?')
                .next()
                .expect("the target has a path")
                .to_owned();
            *starts.entry(query).or_default().entry(path).or_default() += 1;
        }
        starts
    }

    /// Returns, for each page request of the non-idempotent class and each shard that it started, the
    /// number of these starts. A query's first request may start each shard once, and so may its
    /// request for each later page.
    pub fn non_idempotent_starts_per_page(&self) -> Vec<usize> {
        let mut recorded = self
            .starts_before_pages
            .lock()
            .expect("the mutex is not poisoned")
            .clone();
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

    /// Prints the responses, the queries by class and kind, and the requests that break a rule.
    pub fn print_results(&self, minutes: f64) {
        let tally = self.tally.lock().expect("the mutex is not poisoned");
        let responses = tally.responses;
        let slowest_ms = tally.slowest_ms;
        println!("{minutes} minutes; {responses} responses, slowest {slowest_ms} ms");
        println!("queries by class and kind:");
        for ((class, kind), count) in &tally.traversals {
            println!("  {class:6} {kind:19} {count}");
        }
        let drained_requests = self
            .drained_requests
            .lock()
            .expect("the mutex is not poisoned");
        println!("requests to servers that drained, from 300 ms on: {drained_requests:?}");
        let starts = self.non_idempotent_starts_per_page();
        let started = starts.len();
        let repeated = starts.iter().filter(|count| **count > 1).count();
        println!("non-idempotent parts: started {started}, more than once {repeated}");
        let continued = self
            .starts_before_pages
            .lock()
            .expect("the mutex is not poisoned")
            .len();
        println!("non-idempotent queries with more than one page: {continued}");
    }
}
