//! Some minutes of feature queries under the usual faults, outside CI:
//! `MINUTES=4 cargo test --release --test ogc_run -- --ignored --nocapture`. Results: docs/recorded-run.md.

mod standin;

use standin::client::Response;
use standin::feature_server::{healthy_reply, inventory_row, query_parameter, FeatureServer, Reply};
use standin::process::Process;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SHARDS: [&str; 3] = ["east", "north", "south"];
const CLASSES: [&str; 3] = ["exact", "part", "once"];
/// The class whose parts must not run twice.
const NON_IDEMPOTENT: &str = "once";
const FAULTS: [&str; 7] = ["healthy", "errors", "hang", "truncate", "slow", "drain", "burst"];
const SERVERS: usize = 6;
const CLIENTS: usize = 16;
/// Clients that send requests all the time; the others do during bursts only.
const STEADY_CLIENTS: usize = 5;
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// Time after a reload until a draining server must get no further requests.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Clients wait 1.5 s; a response that arrives after this is too late.
const MAX_RESPONSE_MS: u128 = 1_700;
const SETTINGS: &str = r#"
most_held = 60
[[class]]
name = "map"
aim_ms = 1000
deadline_ms = 2000
"#;

fn ids(shard: usize) -> Range<usize> {
    shard * 1000..shard * 1000 + 40 + shard
}

/// The shards of a server: each shard is at four servers.
fn shards_of(server: usize) -> [usize; 2] {
    [server % 3, (server + 1) % 3]
}

/// A server of two shards whose fault is set from outside.
fn server(shards: [usize; 2], fault: Arc<AtomicUsize>) -> FeatureServer {
    let mut seed = 7usize;
    FeatureServer::start(move |target| {
        let shard =
            shards.into_iter().find(|s| target.contains(&format!("/{}/", SHARDS[*s]))).expect("its shard");
        let reply = healthy_reply(target, ids(shard), 10);
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        // About every other page fails: if all did, the fault would be met on first pages only.
        let fails = (seed >> 33).is_multiple_of(2);
        match (FAULTS[fault.load(Relaxed)], reply) {
            ("errors", _) if fails => Reply::Status(500),
            ("hang", _) => Reply::Hang,
            ("truncate", Reply::Json(body)) if fails => Reply::Truncated(body),
            ("slow", reply) => {
                std::thread::sleep(Duration::from_millis(30));
                reply
            }
            (_, reply) => reply,
        }
    })
}

/// Responses by class and kind, and the slowest of them.
#[derive(Default)]
struct Tally {
    responses: BTreeMap<(String, String), usize>,
    slowest_ms: u128,
}

impl Tally {
    fn record(&mut self, class: &str, kind: String, elapsed_ms: u128) {
        *self.responses.entry((class.to_owned(), kind)).or_default() += 1;
        self.slowest_ms = self.slowest_ms.max(elapsed_ms);
    }
}

/// The program under test, its feature servers, and what was seen.
struct Run {
    edge: Process,
    servers: Vec<FeatureServer>,
    /// The fault of each server, as an index into [`FAULTS`].
    faults: Vec<Arc<AtomicUsize>>,
    over: AtomicBool,
    burst: AtomicBool,
    tally: Mutex<Tally>,
    /// For each drain, the requests that the server got after the grace period.
    drained_requests: Mutex<Vec<usize>>,
}

impl Run {
    fn start() -> Self {
        let faults: Vec<Arc<AtomicUsize>> = (0..SERVERS).map(|_| Arc::default()).collect();
        let servers: Vec<FeatureServer> =
            faults.iter().enumerate().map(|(n, fault)| server(shards_of(n), fault.clone())).collect();
        Run {
            edge: Process::start_edge("run", SETTINGS, &inventory(&servers, None)),
            servers,
            faults,
            over: AtomicBool::new(false),
            burst: AtomicBool::new(false),
            tally: Mutex::default(),
            drained_requests: Mutex::default(),
        }
    }

    /// Sends queries until the run is over, each with a `bbox` of its own.
    fn run_client(&self, client: usize) {
        let mut queries = 0usize;
        while !self.over.load(Relaxed) {
            if client >= STEADY_CLIENTS && !self.burst.load(Relaxed) {
                std::thread::sleep(Duration::from_millis(50));
                continue;
            }
            queries += 1;
            self.query(client, queries);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn query(&self, client: usize, query: usize) {
        let class = class_of(client, query);
        let target =
            format!("/collections/devices/items?limit=5000&bbox=0,0,{client},{}", query as f64 / 1e5);
        let start = Instant::now();
        let headers = format!("X-Qos: {class}\r\nX-Expires-In: 1.5\r\n");
        let response = self.edge.get_with_headers(&target, &headers);
        let elapsed_ms = start.elapsed().as_millis();
        let kind = match response.status {
            200 => check(&response),
            status => status.to_string(),
        };
        self.tally.lock().expect("tally").record(class, kind, elapsed_ms);
    }

    /// Gives the servers their faults in turn, one at a time, until the time is over.
    fn inject_faults(&self, duration: Duration) {
        let start = Instant::now();
        let mut round = 0usize;
        while start.elapsed() < duration {
            let (server, fault) = ((round * 5) % SERVERS, round % FAULTS.len());
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

    fn drain(&self, server: usize) {
        self.reload_inventory(Some(server));
        std::thread::sleep(DRAIN_GRACE);
        let before = self.servers[server].count_requests(|_| true);
        std::thread::sleep(FAULT_DURATION - DRAIN_GRACE);
        let after = self.servers[server].count_requests(|_| true);
        self.drained_requests.lock().expect("drains").push(after - before);
        self.reload_inventory(None);
    }

    fn reload_inventory(&self, draining: Option<usize>) {
        self.edge.write_inventory(&inventory(&self.servers, draining));
        self.edge.signal("HUP");
        self.edge.wait_for_log("inventory reloaded");
    }

    /// How often each query of the non-idempotent class started at each shard, over all servers.
    fn non_idempotent_starts(&self) -> BTreeMap<(String, String), usize> {
        let mut starts = BTreeMap::new();
        for target in self.servers.iter().flat_map(FeatureServer::requests) {
            let (path, query) = target.split_once('?').expect("a query");
            let bbox = query.split('&').find(|parameter| parameter.starts_with("bbox"));
            if let (None, Some(bbox)) = (query_parameter(&target, "offset"), bbox) {
                if class_of_bbox(bbox) == NON_IDEMPOTENT {
                    *starts.entry((path.to_owned(), bbox.to_owned())).or_default() += 1;
                }
            }
        }
        starts
    }
}

fn inventory(servers: &[FeatureServer], draining: Option<usize>) -> String {
    let row = |(n, server): (usize, &FeatureServer)| {
        let [first, second] = shards_of(n).map(|shard| SHARDS[shard]);
        let shards = format!("devices/{first};devices/{second}");
        let state = if draining == Some(n) { "draining" } else { "in_service" };
        inventory_row(&format!("s{n}"), server, &shards, state)
    };
    servers.iter().enumerate().map(row).collect()
}

fn class_of(client: usize, query: usize) -> &'static str {
    CLASSES[(client + query) % 3]
}

/// The class of a query by its `bbox`, which holds the numbers of client and query.
fn class_of_bbox(bbox: &str) -> &'static str {
    let numbers: Vec<f64> =
        bbox["bbox=".len()..].split("%2C").map(|n| n.parse().expect("a number")).collect();
    class_of(numbers[2] as usize, (numbers[3] * 1e5).round() as usize)
}

/// The kind of a response that holds all features of each shard that it does not call missing, each once.
fn check(response: &Response) -> String {
    let json = response.json();
    let missing: BTreeSet<&str> =
        json["missing"].as_array().into_iter().flatten().filter_map(|m| m.as_str()).collect();
    let shards = (0..3).filter(|s| !missing.contains(SHARDS[*s]));
    let expected: Vec<String> = shards.flat_map(ids).map(|n| format!("d{n}")).collect();
    let complete = missing.is_empty();
    if response.ids() != expected || response.headers["x-answer-whole"] != complete.to_string() {
        println!("wrong: {response:?}");
        return "wrong".to_owned();
    }
    if complete { "complete" } else { "partial" }.to_owned()
}

#[test]
#[ignore = "it takes minutes; see the head of this file"]
fn responses_are_right_and_in_time_under_minutes_of_faults() {
    let minutes: f64 = std::env::var("MINUTES").ok().and_then(|m| m.parse().ok()).unwrap_or(3.0);
    let run = Run::start();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let run = &run;
            scope.spawn(move || run.run_client(client));
        }
        run.inject_faults(Duration::from_secs_f64(minutes * 60.0));
    });
    run.edge.signal("USR1");
    println!("{}", run.edge.wait_for_log("counters"));
    let starts = run.non_idempotent_starts();
    let repeated = starts.values().filter(|count| **count > 1).count();
    let tally = run.tally.lock().expect("tally");
    let drained_requests = run.drained_requests.lock().expect("drains");
    println!("{minutes} minutes; slowest response {} ms; responses by class and kind:", tally.slowest_ms);
    tally.responses.iter().for_each(|((class, kind), n)| println!("  {class:6} {kind:8} {n}"));
    println!("requests to servers that drained, from 300 ms on: {drained_requests:?}");
    println!("non-idempotent parts: started {}, more than once {repeated}", starts.len());
    assert!(!starts.is_empty(), "no query of the non-idempotent class was seen");
    assert_eq!(repeated, 0);
    assert!(drained_requests.iter().all(|n| *n == 0));
    assert!(tally.slowest_ms < MAX_RESPONSE_MS, "a response came after its client's time");
    assert!(!tally.responses.keys().any(|(_, kind)| kind == "wrong"));
}
