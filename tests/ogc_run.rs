//! Some minutes of feature queries under the usual faults, outside CI:
//! `MINUTES=4 cargo test --release --test ogc_run -- --ignored --nocapture`. What it gave: docs/recorded-run.md.

mod standin;

use standin::client::Response;
use standin::feature_server::{healthy_reply, inventory_row, query_parameter, FeatureServer, Reply};
use standin::process::Process;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SHARDS: [&str; 3] = ["east", "north", "south"];
const CLASSES: [&str; 3] = ["exact", "part", "once"];
const FAULTS: [&str; 7] = ["sound", "errors", "hang", "cut", "slow", "drain", "burst"];

fn ids(shard: usize) -> std::ops::Range<usize> {
    shard * 1000..shard * 1000 + 40 + shard
}

/// A server of two shards whose fault is set from outside.
fn server(shards: [usize; 2], fault: Arc<AtomicUsize>) -> FeatureServer {
    let (mut seed, fail) = (7usize, |n: usize| {
        // Every other page or so is struck: a fault that strikes all is met on the first page only.
        n.is_multiple_of(2)
    });
    FeatureServer::start(move |target| {
        let shard =
            shards.into_iter().find(|s| target.contains(&format!("/{}/", SHARDS[*s]))).expect("its shard");
        let reply = healthy_reply(target, ids(shard), 10);
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        match (FAULTS[fault.load(Relaxed)], reply) {
            ("errors", _) if fail(seed >> 33) => Reply::Status(500),
            ("hang", _) => Reply::Hang,
            ("cut", Reply::Json(body)) if fail(seed >> 33) => Reply::Truncated(body),
            ("slow", reply) => {
                std::thread::sleep(Duration::from_millis(30));
                reply
            }
            (_, reply) => reply,
        }
    })
}

#[derive(Default)]
struct ClassMetrics {
    answers: BTreeMap<(String, String), usize>,
    slowest_ms: u128,
}

#[test]
#[ignore = "it takes minutes; see the head of this file"]
fn minutes_of_the_usual_faults() {
    let minutes: f64 = std::env::var("MINUTES").ok().and_then(|m| m.parse().ok()).unwrap_or(3.0);
    let faults: Vec<Arc<AtomicUsize>> = (0..6).map(|_| Arc::default()).collect();
    let servers: Vec<FeatureServer> =
        faults.iter().enumerate().map(|(n, f)| server([n % 3, (n + 1) % 3], f.clone())).collect();
    let rows = |drained: Option<usize>| -> String {
        let line = |(n, s): (usize, &FeatureServer)| {
            let held = format!("devices/{};devices/{}", SHARDS[n % 3], SHARDS[(n + 1) % 3]);
            inventory_row(
                &format!("s{n}"),
                s,
                &held,
                if drained == Some(n) { "draining" } else { "in_service" },
            )
        };
        servers.iter().enumerate().map(line).collect()
    };
    let settings = r#"
most_held = 60
[[class]]
name = "map"
aim_ms = 1000
deadline_ms = 2000
"#;
    let edge = Process::start_edge("run", settings, &rows(None));
    let (over, burst) = (AtomicBool::new(false), AtomicBool::new(false));
    let tally = Mutex::new(ClassMetrics::default());
    let drains = Mutex::new(Vec::new());
    let began = Instant::now();
    std::thread::scope(|scope| {
        for client in 0..16usize {
            let (edge, over, burst, tally) = (&edge, &over, &burst, &tally);
            scope.spawn(move || {
                let mut n = 0usize;
                while !over.load(Relaxed) {
                    if client >= 5 && !burst.load(Relaxed) {
                        std::thread::sleep(Duration::from_millis(50));
                        continue;
                    }
                    n += 1;
                    let class = CLASSES[(client + n) % 3];
                    let target = format!(
                        "/collections/devices/items?limit=5000&bbox=0,0,{},{}",
                        client,
                        n as f64 / 1e5
                    );
                    let start = Instant::now();
                    let answer =
                        edge.get_with_headers(&target, &format!("X-Qos: {class}\r\nX-Expires-In: 1.5\r\n"));
                    let took = start.elapsed().as_millis();
                    let kind = match answer.status {
                        200 => check(&answer),
                        status => status.to_string(),
                    };
                    let mut tally = tally.lock().expect("tally");
                    *tally.answers.entry((class.to_owned(), kind)).or_default() += 1;
                    tally.slowest_ms = tally.slowest_ms.max(took);
                    drop(tally);
                    std::thread::sleep(Duration::from_millis(20));
                }
            });
        }
        let mut round = 0usize;
        while began.elapsed().as_secs_f64() < minutes * 60.0 {
            let (struck, fault) = ((round * 5) % 6, round % FAULTS.len());
            faults[struck].store(fault, Relaxed);
            burst.store(FAULTS[fault] == "burst", Relaxed);
            if FAULTS[fault] == "drain" {
                edge.write_inventory(&rows(Some(struck)));
                edge.signal("HUP");
                edge.wait_for_log("loaded anew");
                std::thread::sleep(Duration::from_millis(300));
                let before = servers[struck].count_requests(|_| true);
                std::thread::sleep(Duration::from_millis(3_700));
                drains.lock().expect("drains").push(servers[struck].count_requests(|_| true) - before);
                edge.write_inventory(&rows(None));
                edge.signal("HUP");
                edge.wait_for_log("loaded anew");
            } else {
                std::thread::sleep(Duration::from_secs(4));
            }
            faults[struck].store(0, Relaxed);
            round += 1;
        }
        over.store(true, Relaxed);
    });
    // How often each query that must not repeat began at each shard, over all servers.
    let mut begun: BTreeMap<(String, String), usize> = BTreeMap::new();
    for target in servers.iter().flat_map(FeatureServer::requests) {
        let (path, query) = target.split_once('?').expect("a query");
        if let (None, Some(bbox)) =
            (query_parameter(&target, "offset"), query.split('&').find(|p| p.starts_with("bbox")))
        {
            *begun.entry((path.to_owned(), bbox.to_owned())).or_default() += 1;
        }
    }
    let once = |bbox: &str| {
        let numbers: Vec<f64> =
            bbox["bbox=".len()..].split("%2C").map(|n| n.parse().expect("a number")).collect();
        CLASSES[(numbers[2] as usize + (numbers[3] * 1e5).round() as usize) % 3] == "once"
    };
    let repeated = begun.iter().filter(|((_, bbox), n)| once(bbox) && **n > 1).count();
    edge.signal("USR1");
    println!("{}", edge.wait_for_log("counters"));
    let tally = tally.into_inner().expect("tally");
    println!("{minutes} minutes; slowest answer {} ms; answers by class and kind:", tally.slowest_ms);
    tally.answers.iter().for_each(|((class, kind), n)| println!("  {class:6} {kind:8} {n}"));
    println!("requests to servers that drained, from 300 ms on: {:?}", drains.lock().expect("drains"));
    println!(
        "parts of the class that must not repeat: begun {}, more than once {repeated}",
        begun.keys().filter(|k| once(&k.1)).count()
    );
    assert!(begun.keys().any(|k| once(&k.1)), "nothing was seen of the class that must not repeat");
    assert_eq!(repeated, 0);
    assert!(drains.lock().expect("drains").iter().all(|n| *n == 0));
    assert!(tally.slowest_ms < 1_700, "an answer came after its client's time");
    assert!(!tally.answers.keys().any(|k| k.1 == "wrong"));
}

/// An answer must hold all features of each shard that it does not call missing, each once.
fn check(answer: &Response) -> String {
    let json = answer.json();
    let missing: BTreeSet<&str> =
        json["missing"].as_array().into_iter().flatten().filter_map(|m| m.as_str()).collect();
    let shards = (0..3).filter(|s| !missing.contains(SHARDS[*s]));
    let expected: Vec<String> = shards.flat_map(ids).map(|n| format!("d{n}")).collect();
    let whole = missing.is_empty();
    if answer.ids() != expected || answer.headers["x-answer-whole"] != whole.to_string() {
        println!("wrong: {answer:?}");
        return "wrong".to_owned();
    }
    if whole { "whole" } else { "partial" }.to_owned()
}
