//! Some minutes of feature queries under the usual faults, outside CI:
//! `MINUTES=4 cargo test --release --test ogc_run -- --ignored --nocapture`. Results:
//! docs/recorded-run.md.

mod standin;

use standin::client::Response;
use standin::feature_server::{
    healthy_reply, inventory_row_in_state, query_parameter, FeatureServer, Reply,
};
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
const FAULTS: [&str; 7] = [
    "healthy", "errors", "hang", "truncate", "slow", "drain", "burst",
];
const SERVERS: usize = 6;
const CLIENTS: usize = 16;
/// Clients that send requests all the time; the others do during bursts only.
const STEADY_CLIENTS: usize = 5;
const FAULT_DURATION: Duration = Duration::from_secs(4);
/// Time after a reload until a draining server must get no further requests.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Clients wait 1.5 s; a response that arrives after this is too late.
const MAX_RESPONSE_MS: u128 = 1_700;
/// Pause of a client after each response.
const CLIENT_PAUSE: Duration = Duration::from_millis(20);
/// The last coordinate of a query's `bbox` is the query's number over this.
const BBOX_SCALE: f64 = 1e5;
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
        let shard = shards
            .into_iter()
            .find(|s| target.contains(&format!("/{}/", SHARDS[*s])))
            .expect("its shard");
        let reply = healthy_reply(target, ids(shard), 10);
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
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

/// Queries by class and kind, the number of their responses, and the slowest of these.
#[derive(Default)]
struct Tally {
    walks: BTreeMap<(&'static str, String), usize>,
    responses: usize,
    slowest_ms: u128,
}

impl Tally {
    fn record_response(&mut self, elapsed_ms: u128) {
        self.responses += 1;
        self.slowest_ms = self.slowest_ms.max(elapsed_ms);
    }

    fn record_walk(&mut self, walk: &Walk) {
        *self
            .walks
            .entry((walk.query.class(), walk.kind()))
            .or_default() += 1;
    }
}

/// A query, as its `bbox` tells it: the servers see no other mark of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueryId {
    client: usize,
    query: usize,
}

impl QueryId {
    fn class(self) -> &'static str {
        CLASSES[(self.client + self.query) % CLASSES.len()]
    }

    fn first_target(self) -> String {
        let QueryId { client, query } = self;
        format!(
            "/collections/devices/items?limit=5000&bbox=0,0,{client},{}",
            query as f64 / BBOX_SCALE
        )
    }

    /// The query that a request starts at a shard; `None` for the further pages of a shard.
    fn started_by(target: &str) -> Option<QueryId> {
        if query_parameter(target, "offset").is_some() {
            return None;
        }
        let parameters = target.split_once('?').expect("a query").1;
        let bbox = parameters
            .split('&')
            .find_map(|parameter| parameter.strip_prefix("bbox="))?;
        let numbers: Vec<f64> = bbox
            .split("%2C")
            .map(|n| n.parse().expect("a number"))
            .collect();
        Some(QueryId {
            client: numbers[2] as usize,
            query: (numbers[3] * BBOX_SCALE).round() as usize,
        })
    }
}

/// The number of times that a query was started at each shard, by the shard's path.
type Starts = BTreeMap<String, usize>;

/// The responses to a query, in order: each but the first answers the `next` link of the one before
/// it.
struct Walk {
    query: QueryId,
    /// The responses with status 200.
    pages: Vec<Response>,
    /// The status of the response that ended the walk before the last page.
    failure: Option<u16>,
}

impl Walk {
    /// The kind of a walk: whether all of its pages are right, and how it ended.
    fn kind(&self) -> String {
        let complete = self
            .pages
            .iter()
            .all(|page| missing_shards(page).is_empty());
        match self.failure {
            _ if !self.is_right() => {
                println!(
                    "wrong: {:?} {:?} {:?}",
                    self.query, self.failure, self.pages
                );
                "wrong".to_owned()
            }
            Some(status) if self.pages.is_empty() => status.to_string(),
            Some(status) => format!("{status} on a later page"),
            None if complete => "complete".to_owned(),
            None => "partial".to_owned(),
        }
    }

    /// Whether the pages hold, in order and each once, all features of each shard that no page
    /// calls missing. Of a missing shard they hold the features before those that are missing; the
    /// page that calls it missing holds none. After a failure the same is true of the features
    /// before those of the page that failed.
    fn is_right(&self) -> bool {
        if !self.pages.iter().all(page_is_consistent) {
            return false;
        }
        let returned: Vec<String> = self.pages.iter().flat_map(Response::ids).collect();
        let missing: BTreeSet<usize> = self.pages.iter().flat_map(missing_shards).collect();
        let expected: Vec<String> = (0..SHARDS.len())
            .flat_map(|shard| {
                let all = ids(shard).map(|id| format!("d{id}"));
                let count = all.clone().filter(|id| returned.contains(id)).count();
                all.take(if missing.contains(&shard) {
                    count
                } else {
                    usize::MAX
                })
            })
            .collect();
        match self.failure {
            None => returned == expected,
            Some(_) => expected.starts_with(&returned),
        }
    }
}

/// The indexes of the shards that a page calls missing.
fn missing_shards(page: &Response) -> BTreeSet<usize> {
    let json = page.json();
    let names = json["missing"].as_array().into_iter().flatten();
    let index = |name: &serde_json::Value| SHARDS.iter().position(|shard| name == shard);
    names
        .map(|name| index(name).expect("a shard's name"))
        .collect()
}

/// Whether `X-Answer-Whole` agrees with `missing`, the page holds no feature of a shard that it
/// calls missing, and a page that is not the last holds a feature.
fn page_is_consistent(page: &Response) -> bool {
    let missing = missing_shards(page);
    let returned = page.ids();
    let is_missing = |id: &String| {
        missing
            .iter()
            .any(|s| ids(*s).any(|number| *id == format!("d{number}")))
    };
    page.headers["x-answer-whole"] == missing.is_empty().to_string()
        && !returned.iter().any(is_missing)
        && (page.link("next").is_none() || !returned.is_empty())
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
    /// For each query of the non-idempotent class with more than one page, its starts before each
    /// further page.
    starts_before_pages: Mutex<BTreeMap<QueryId, Vec<Starts>>>,
    /// For each drain, the requests that the server got after the grace period.
    drained_requests: Mutex<Vec<usize>>,
}

impl Run {
    fn start() -> Self {
        let faults: Vec<Arc<AtomicUsize>> = (0..SERVERS).map(|_| Arc::default()).collect();
        let servers: Vec<FeatureServer> = faults
            .iter()
            .enumerate()
            .map(|(n, fault)| server(shards_of(n), fault.clone()))
            .collect();
        Run {
            edge: Process::start_edge("run", SETTINGS, &inventory(&servers, None)),
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
    fn run_client(&self, client: usize) {
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
    fn follow_pages(&self, query: QueryId) -> Walk {
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
    fn request(&self, query: QueryId, target: &str) -> Response {
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

    fn record_starts_before_page(&self, query: QueryId) {
        let starts = self
            .starts(|started| started == query)
            .remove(&query)
            .unwrap_or_default();
        let mut recorded = self.starts_before_pages.lock().expect("starts");
        recorded.entry(query).or_default().push(starts);
    }

    /// Gives the servers their faults in turn, one at a time, until the time is over.
    fn inject_faults(&self, duration: Duration) {
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

    fn drain(&self, server: usize) {
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

    fn reload_inventory(&self, draining: Option<usize>) {
        self.edge
            .write_inventory(&inventory(&self.servers, draining));
        self.edge.signal("HUP");
        self.edge.wait_for_log("inventory reloaded");
    }

    /// The starts so far of the queries that `matches` selects, over all servers.
    fn starts(&self, matches: impl Fn(QueryId) -> bool) -> BTreeMap<QueryId, Starts> {
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

    /// The number of starts at a shard for each page request of the non-idempotent class: a
    /// client's request may start each shard once, and so may its request for a further page.
    fn non_idempotent_starts_per_page(&self) -> Vec<usize> {
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
}

fn inventory(servers: &[FeatureServer], draining: Option<usize>) -> String {
    let row = |(n, server): (usize, &FeatureServer)| {
        let [first, second] = shards_of(n).map(|shard| SHARDS[shard]);
        let shards = format!("devices/{first};devices/{second}");
        let state = if draining == Some(n) {
            "draining"
        } else {
            "in_service"
        };
        inventory_row_in_state(&format!("s{n}"), server, &shards, state)
    };
    servers.iter().enumerate().map(row).collect()
}

#[test]
#[ignore = "it takes minutes; see the head of this file"]
fn responses_are_right_and_in_time_under_minutes_of_faults() {
    let minutes: f64 = std::env::var("MINUTES")
        .ok()
        .and_then(|m| m.parse().ok())
        .unwrap_or(3.0);
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
    let starts = run.non_idempotent_starts_per_page();
    let repeated = starts.iter().filter(|count| **count > 1).count();
    let continued = run.starts_before_pages.lock().expect("starts").len();
    let tally = run.tally.lock().expect("tally");
    let drained_requests = run.drained_requests.lock().expect("drains");
    println!(
        "{minutes} minutes; {} responses, slowest {} ms",
        tally.responses, tally.slowest_ms
    );
    println!("queries by class and kind:");
    tally
        .walks
        .iter()
        .for_each(|((class, kind), n)| println!("  {class:6} {kind:19} {n}"));
    println!("requests to servers that drained, from 300 ms on: {drained_requests:?}");
    println!(
        "non-idempotent parts: started {}, more than once {repeated}",
        starts.len()
    );
    println!("non-idempotent queries that went on to further pages: {continued}");
    assert!(
        !starts.is_empty(),
        "no query of the non-idempotent class was seen"
    );
    assert_eq!(repeated, 0);
    assert!(drained_requests.iter().all(|n| *n == 0));
    assert!(
        tally.slowest_ms < MAX_RESPONSE_MS,
        "a response came after its client's time"
    );
    assert!(!tally.walks.keys().any(|(_, kind)| kind == "wrong"));
}
