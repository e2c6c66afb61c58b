//! Minutes of feature queries under a mix of faults, with every rule counted by an observer that sees only the wire.
//!
//! Each query carries a mark of its own (the last digits of a box that holds everything), which the edge passes on to the
//! servers: so their logs tell which query a request was for.

use crate::client::Client;
use crate::fault_injection::{self, FaultInjector};
use crate::feature_server::{devices, Capabilities, Fault, FeatureServer, FAULTS};
use crate::process::{EdgeProcess, CLASSES};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Features of each shard: more than a page.
const EACH: usize = 900;
/// What a client waits, in seconds.
const WAITS: f64 = 2.0;
/// Beyond a client's time by so much an answer counts as late: the way there and back on a busy machine.
const MARGIN: Duration = Duration::from_millis(250);
/// Nothing new goes to a server later than this after it was told to drain.
const DRAIN: Duration = Duration::from_millis(250);
/// A fault lasts so long.
const TURN: Duration = Duration::from_millis(1_500);
const CLIENTS: usize = 6;
const SHARDS: [&str; 3] = ["east", "north", "south"];

/// What was counted.
#[derive(Debug, Default)]
pub struct Report {
    /// Answers by class and kind.
    pub answers: BTreeMap<(&'static str, &'static str), u64>,
    /// Rules that were broken, in words.
    pub broken: Vec<String>,
    /// Requests at servers, parts of the class that must not run twice among them, drains.
    pub requests: u64,
    /// See `requests`.
    pub unsafe_parts: u64,
    /// See `requests`.
    pub drains: u64,
    /// The slowest answer.
    pub slowest: Duration,
    /// The program's counters at the end.
    pub counters: String,
}

struct Query {
    class: &'static str,
    mark: u64,
    /// Follows next links to the end.
    walk: bool,
    limit: usize,
}

fn numbers(shard: usize) -> std::ops::Range<usize> {
    shard * 10_000..shard * 10_000 + EACH
}

fn shard_of(id: &str) -> Option<usize> {
    let number: usize = id.strip_prefix('d')?.parse().ok()?;
    (0..SHARDS.len()).find(|s| numbers(*s).contains(&number))
}

type Asked = Mutex<HashMap<u64, (&'static str, Vec<Instant>)>>;

/// The mark in a target, if there is one.
fn mark_of(target: &str) -> Option<u64> {
    let at = target.find("bbox=")?;
    let value: String = target[at + 5..].chars().take_while(|c| *c != '&').collect();
    let north = value.rsplit("%2C").next()?.rsplit(',').next()?;
    north.strip_prefix("89.")?.parse().ok()
}

/// What may be planted to see that the observer finds it.
pub const PLANTED: [&str; 2] = ["twice", "limit"];

/// Runs for so long with this seed. `plant`: `twice`, each request is seen twice at the servers; `limit`, answers hold one
/// feature too many.
pub fn run(program: &Path, lasts: Duration, seed: u64, plant: Option<&str>) -> Result<Report> {
    let faults: [Arc<AtomicUsize>; 6] = Default::default();
    let skills = [Capabilities::All, Capabilities::Basic, Capabilities::Core];
    // Six machines of two servers each: what befalls a machine befalls both. Each shard is held on four of them.
    let held = |n: usize| (n / 4 + n % 2) % 3;
    let mut shards: Vec<FeatureServer> = Vec::new();
    for (n, machine) in faults.iter().enumerate() {
        for place in 0..2 {
            let server =
                FeatureServer::start(devices(numbers(held(2 * n + place))), skills[(n + place) % 3])?;
            let fault = machine.clone();
            server.script(move |number, _| match fault.load(Relaxed) {
                0 => Fault::Sound,
                f if number % 2 == 0 || matches!(FAULTS[f - 1], Fault::Hang | Fault::Slow) => FAULTS[f - 1],
                _ => Fault::Sound,
            });
            shards.push(server);
        }
    }
    let row = |n: usize, state: &str| {
        shards[n].row(&format!("s{n}"), &format!("devices/{}", SHARDS[held(n)]), state)
    };
    let rows = |draining: Option<usize>| -> String {
        (0..shards.len())
            .map(|n| row(n, if draining == Some(n) { "draining" } else { "in_service" }))
            .collect()
    };
    let edge = EdgeProcess::start(program, "retry_after_ms = 300\nlearned_age_s = 5", &rows(None), CLASSES)?;
    shards.iter().for_each(|s| s.echo(plant == Some("twice")));
    let twist = FaultInjector::start(edge.address)?;
    twist.plant(
        fault_injection::FAULTS
            .iter()
            .find(|f| plant == Some("limit") && f.found_by.ends_with("fc-limit-response")),
    );
    let address = if plant == Some("limit") { twist.address } else { edge.address };
    let report = Mutex::new(Report::default());
    let (over, marks) = (AtomicBool::new(false), AtomicU64::new(seed * 1_000_000 + 1));
    // Of each query its class, and when each of its answers was asked for: parts of one answer must not run twice, and the
    // next answer is another query.
    let classes: Asked = Mutex::default();
    let drains: Mutex<Vec<(usize, Instant, Instant)>> = Mutex::default();
    std::thread::scope(|scope| -> Result<()> {
        for number in 0..CLIENTS {
            let (over, marks, report, classes) = (&over, &marks, &report, &classes);
            scope.spawn(move || {
                let mut rng = fastrand::Rng::with_seed(seed ^ (number as u64) << 32);
                let mut client = Client::new(address);
                client.timeout = Duration::from_secs_f64(WAITS) + MARGIN * 4;
                while !over.load(Relaxed) {
                    let class = ["map", "part", "once"][rng.usize(..3)];
                    let query = Query {
                        class,
                        mark: marks.fetch_add(1, Relaxed),
                        walk: rng.u8(..4) == 0,
                        limit: [10, 100, 500, 5_000][rng.usize(..4)],
                    };
                    classes.lock().unwrap_or_else(|e| e.into_inner()).insert(query.mark, (class, Vec::new()));
                    ask(&mut client, &query, report, classes);
                }
            });
        }
        let mut rng = fastrand::Rng::with_seed(seed);
        let began = Instant::now();
        while began.elapsed() < lasts {
            let (server, kind) = (rng.usize(..6), rng.usize(..FAULTS.len() + 2));
            if kind < FAULTS.len() {
                faults[server].store(kind + 1, Relaxed);
                std::thread::sleep(TURN);
                faults[server].store(0, Relaxed);
            } else {
                let drained = rng.usize(..shards.len());
                edge.inventory(&rows(Some(drained)))?;
                let told = Instant::now();
                std::thread::sleep(TURN);
                let back = Instant::now();
                edge.inventory(&rows(None))?;
                drains.lock().unwrap_or_else(|e| e.into_inner()).push((drained, told, back));
            }
            std::thread::sleep(TURN / 3);
        }
        over.store(true, Relaxed);
        Ok(())
    })?;
    let mut report = report.into_inner().unwrap_or_else(|e| e.into_inner());
    let classes = classes.into_inner().unwrap_or_else(|e| e.into_inner());
    let mut seen: BTreeMap<(u64, usize, String), u32> = BTreeMap::new();
    for (n, server) in shards.iter().enumerate() {
        let log = server.log();
        report.requests += log.len() as u64;
        for (at, target, fault) in &log {
            for (_, told, back) in
                drains.lock().unwrap_or_else(|e| e.into_inner()).iter().filter(|d| d.0 == n)
            {
                if *at > *told + DRAIN && at < back {
                    report.broken.push(format!(
                        "a request {} ms into a drain: {target}",
                        at.duration_since(*told).as_millis()
                    ));
                }
            }
            let Some(mark) = mark_of(target) else { continue };
            // What a server turned away unseen did not run and may go again.
            if let Some(("once", answers)) = classes.get(&mark).filter(|_| *fault != Fault::Full) {
                report.unsafe_parts += 1;
                let answer = answers.iter().filter(|began| *began <= at).count();
                *seen.entry((mark, answer, target.clone())).or_default() += 1;
            }
        }
    }
    report.drains = drains.into_inner().unwrap_or_else(|e| e.into_inner()).len() as u64;
    for ((mark, _, target), times) in seen {
        if times > 1 {
            report.broken.push(format!("part of query {mark} came {times} times: {target}"));
        }
    }
    report.counters = edge.counters()?;
    if !report.counters.contains(" broken_invariants=0") {
        report.broken.push("an invariant was broken".to_owned());
    }
    Ok(report)
}

/// Asks a query, follows its links if it is a walk, and checks what comes.
fn ask(client: &mut Client, query: &Query, report: &Mutex<Report>, asked: &Asked) {
    let mut at =
        Some(format!("/collections/devices/items?limit={}&bbox=-180,-90,180,89.{}", query.limit, query.mark));
    let (mut ids, mut missing, mut broken) = (Vec::new(), BTreeSet::new(), Vec::new());
    let mut ended = false;
    let mut answers = 0;
    while let Some(target) = at.take() {
        let began = Instant::now();
        if let Some(of) = asked.lock().unwrap_or_else(|e| e.into_inner()).get_mut(&query.mark) {
            of.1.push(began);
        }
        let waits = format!("{WAITS}");
        let answer = client.get_with(&target, &[("X-Qos", query.class), ("X-Expires-In", &waits)]);
        let took = began.elapsed();
        let kind = match &answer {
            Err(_) => "lost",
            Ok(a) => match a.status {
                200 if a.header("x-answer-whole") == "true" => "whole",
                200 => "in part",
                410 => "begin anew",
                503 => "refused",
                504 => "out of time",
                502 => "failed",
                _ => "other",
            },
        };
        {
            let mut report = report.lock().unwrap_or_else(|e| e.into_inner());
            *report.answers.entry((query.class, kind)).or_default() += 1;
            report.slowest = report.slowest.max(took);
        }
        if took > Duration::from_secs_f64(WAITS) + MARGIN {
            broken.push(format!("an answer after {} ms", took.as_millis()));
        }
        let Ok(answer) = answer else {
            broken.push("no final answer".to_owned());
            break;
        };
        match kind {
            "whole" | "in part" => {
                let json = answer.json();
                let lacks: BTreeSet<String> = json["missing"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|m| m.as_str().map(str::to_owned))
                    .collect();
                if (kind == "whole") != lacks.is_empty() {
                    broken.push(format!("an answer {kind} that lacks {lacks:?}"));
                }
                if query.class != "part" && kind == "in part" {
                    broken.push("an answer in part where the class wants all".to_owned());
                }
                missing.extend(lacks);
                if (SHARDS.len() - missing.len()) as f64 / SHARDS.len() as f64 + 1e-9 < 0.4 {
                    broken.push(format!("an answer from less than the floor: {missing:?} are missing"));
                }
                let page = answer.ids();
                if page.len() > query.limit || json["numberReturned"] != page.len() {
                    broken.push(format!(
                        "{} features, limit {}, told {}",
                        page.len(),
                        query.limit,
                        json["numberReturned"]
                    ));
                }
                ids.extend(page);
                at = answer.link("next").filter(|_| query.walk);
                ended = answer.link("next").is_none();
            }
            "refused" if !answer.headers.contains_key("retry-after") => {
                broken.push("a refusal without Retry-After".to_owned())
            }
            // A class that must not run twice ends here; others come back.
            "refused" | "failed" | "out of time"
                if query.walk && query.class != "once" && answers > 0 && answers < 60 =>
            {
                std::thread::sleep(Duration::from_millis(100));
                at = Some(target);
            }
            "other" => broken.push(format!("status {}: {}", answer.status, answer.text())),
            _ => {}
        }
        answers += 1;
    }
    let count = ids.len();
    let unique: BTreeSet<&String> = ids.iter().collect();
    // A server that gives a feature twice over pages, as one of the faults does, is found out within an answer only.
    if unique.len() != count {
        broken.push(format!("{} features came twice", count - unique.len()));
    }
    if ids.iter().any(|id| shard_of(id).is_none()) {
        broken.push("a feature that no server has".to_owned());
    }
    if ended && count > 0 {
        for (n, name) in SHARDS.iter().enumerate() {
            let came = ids.iter().filter(|id| shard_of(id) == Some(n)).count();
            if !missing.contains(*name) && came != EACH {
                broken.push(format!("{came} of {EACH} features of {name}, which is not said to be missing"));
            }
        }
    }
    let mut report = report.lock().unwrap_or_else(|e| e.into_inner());
    report
        .broken
        .extend(broken.into_iter().map(|b| format!("query {} of class {}: {b}", query.mark, query.class)));
}
