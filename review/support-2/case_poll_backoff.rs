//! Discovery is asked, not pushed. It is down for some seconds, and data nodes begin to drain when
//! it is back. The coordinators ask again so late that they send to the draining nodes.

use super::data_node::DataNode;
use super::discovery::{list_json, Discovery, Entry};
use super::http;
use super::program::{free_address, Program};
use super::record::Record;
use super::{Setting, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const COORDINATORS: usize = 3;
/// Sets of readers; each has two members, which hold the same four shards.
const CELLS: u32 = 6;
const SHARDS: u32 = 4 * CELLS;
/// Work of a part.
const WORK: Duration = Duration::from_millis(75);
/// Queries a second of the whole deployment.
const RATE: f64 = 12.0;
/// How long discovery is down at least.
const SHORTEST_OUTAGE: Duration = Duration::from_secs(16);
/// How long discovery is down at most.
const LONGEST_OUTAGE: Duration = Duration::from_secs(22);
/// A change counts as told 6 s after discovery had it and could be reached; the grace of a drain is
/// 1 s on this site; each limit is 0.05 s longer on sockets.
const TOLD_AND_GRACE_S: f64 = 6.0 + 1.0 + 0.05;
/// Times that discovery goes down in a run.
const OUTAGES: u32 = 3;

/// Returns the settings of the site for this fleet, in the form of the wire page.
fn settings() -> String {
    format!(
        r#"{{"balancers":{COORDINATORS},"callers":{{"marks-retry":false}},
 "classes":[
  {{"aim":2000000000,"deadline":5000000000,"dedup-scope":"all","dedup-window":5000000000,"effect":"read_like","late-worth":0.1,"name":"station-search","points":2.0,"stream":false}},
  {{"aim":1500000000,"deadline":4000000000,"dedup-scope":"all","dedup-window":5000000000,"effect":"read_like","late-worth":0.3,"name":"pack-lookup","points":1.0,"stream":false}}],
 "discovery":"ask","failure-domains":["half-way-tree","spanish-town"],"family":"fanout",
 "family-info":{{"bundle-max":16,"call-cost":56000000,"cells":{CELLS},"class-need":[1.0,1.0],"follow-up":[2,0],"in-a-row":1,"least-share":[0.8,1.0],"partial-earns":[0.8,0.9],"slices":{SHARDS},"warm-keys":false}},
 "invariants":{{"answer-slack":20000000,"drain-grace":1000000000,"must-ask-in":10000000000,"overload-factor":2.5,"overload-for":2000000000,"start-capacity":0.19,"warm-up":18000000000}},
 "kinds":["small-2core"],
 "limits":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"dial-timeout":250000000,"idle-close":15000000000,"max-attempts":4,"max-retry-after":2000000000,"may-tell":false,"most-held":200,"probing":true,"retry-after":true,"second-copies":false,"streams-per-conn":100}},
 "me":0,"my-zone":0,"over-share-worth":0.2,
 "penalties":{{"connection":0.0,"cross-zone":0.011,"discovery":0.0,"handshake":0.02,"late-fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.013,"waste":0.095}},
 "report":{{"names":["busy","rate"],"via":"inline"}},
 "result-mix":{{"whole":0.3,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.4}},
 "stages":["pack-readers"],
 "tenants":[{{"name":"route-taxi-coop","quota-rps":20.0,"share":0.49}},{{"name":"parish-couriers","quota-rps":12.0,"share":0.29}},{{"name":"campus-scooters","quota-rps":9.0,"share":0.22}}],
 "tick":5000000,"tier":0,"weight-kind":"rough","worth-by":"request"}}"#
    )
}

/// Starts a coordinator with its own address of discovery.
fn start_coordinator(
    setting: &Setting,
    number: usize,
    discovery: &Discovery,
    entries: &[Entry],
) -> Result<Program, String> {
    let name = format!("n{number}");
    let address = free_address();
    let asked = discovery.listen(&name)?;
    let config = setting.directory.join(format!("{name}.json"));
    let known = list_json(1, true, entries);
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{asked}\",\"seed\":\"8c1f30d27a5be9{number:02}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{known},\"settings\":{}}}",
        settings()
    );
    std::fs::write(&config, text).map_err(|e| e.to_string())?;
    let mut program = Program::start_platform(
        &setting.record,
        &name,
        &setting.directory,
        &config,
        address,
        asked,
    )?;
    program.wait_until_ready()?;
    Ok(program)
}

/// Sends queries to the coordinators in turn until `stop`.
fn send_queries(
    record: &Record,
    addresses: &[SocketAddr],
    stop: &Arc<AtomicBool>,
    served: &Arc<AtomicUsize>,
) {
    let mut number = 0u32;
    while !stop.load(Relaxed) {
        let address = addresses[number as usize % addresses.len()];
        let parts = 3 + number % 3;
        let first = number * 5 % SHARDS;
        let tablets: Vec<String> = (0..parts)
            .map(|part| {
                let tablet = (first + part) % SHARDS;
                format!(
                    "{{\"tablet\":{tablet},\"fraction\":{:.9}}}",
                    1.0 / f64::from(parts)
                )
            })
            .collect();
        let body = format!(
            "{{\"tablets\":[{}],\"statement\":\"c41e77d0\"}}",
            tablets.join(",")
        );
        let trace = format!("9b1f03aa{number:08x}");
        let headers = format!(
            "X-Trace-Id: {trace}\r\nX-Qos: pack-lookup\r\nX-Customer: parish-couriers\r\nX-Expires-In: 3.500\r\n"
        );
        let (record, served) = (record.clone(), served.clone());
        std::thread::spawn(move || {
            record.note(format!(
                "client: sends {trace} with {parts} parts to {address}"
            ));
            let target = format!("/api?k={:016x}", u64::from(number) * 0x9e37);
            let reply = http::post(address, &target, &headers, &body, Duration::from_secs(5));
            let text = reply
                .as_ref()
                .map_or_else(Clone::clone, |r| format!("{}", r.status));
            served.fetch_add(usize::from(text == "200"), Relaxed);
            record.note(format!("client: {trace} got {text}"));
        });
        number += 1;
        sleep(Duration::from_secs_f64(1.0 / RATE));
    }
}

/// Takes discovery down until a call of a coordinator has failed late in the outage.
fn take_down(discovery: &Discovery) {
    discovery.go_down();
    let begin = Instant::now();
    while begin.elapsed() < SHORTEST_OUTAGE {
        sleep(Duration::from_millis(20));
    }
    let seen = discovery.calls();
    while discovery.calls() == seen && begin.elapsed() < LONGEST_OUTAGE {
        sleep(Duration::from_millis(20));
    }
    sleep(Duration::from_millis(200));
    discovery.come_back();
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let mut nodes = Vec::new();
    let mut entries = Vec::new();
    for cell in 0..CELLS {
        for zone in ["a", "b"] {
            let node = DataNode::start(record, &format!("s-{cell}{zone}"), WORK)?;
            entries.push(Entry {
                uid: node.uid.clone(),
                endpoint: node.address,
                zone,
                cell,
                state: "in_service",
            });
            nodes.push(node);
        }
    }
    let discovery = Discovery::new(record, entries.clone());
    let mut programs = Vec::new();
    for number in 0..COORDINATORS {
        programs.push(start_coordinator(setting, number, &discovery, &entries)?);
    }
    let addresses: Vec<SocketAddr> = programs.iter().map(|program| program.address).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let clients = {
        let (record, stop, served) = (record.clone(), stop.clone(), served.clone());
        std::thread::spawn(move || send_queries(&record, &addresses, &stop, &served))
    };
    let mut drains: Vec<(String, f64)> = Vec::new();
    for outage in 0..OUTAGES {
        sleep(Duration::from_secs(2));
        if setting.trouble {
            take_down(&discovery);
        }
        sleep(Duration::from_millis(100));
        for cell in [2 * outage, 2 * outage + 1] {
            let uid = format!("s-{cell}a");
            drains.push((uid.clone(), discovery.change(&uid, "terminating")));
        }
        sleep(Duration::from_secs(11));
        if !late_sends(&nodes, &drains).is_empty() {
            break;
        }
    }
    stop.store(true, Relaxed);
    let _ = clients.join();
    sleep(Duration::from_secs(1));
    for program in &programs {
        program.note_log(&setting.directory);
    }
    let served = served.load(Relaxed);
    record.note(format!("{served} queries answered with 200"));
    if served == 0 {
        return Err("no query was served".to_owned());
    }
    let late = late_sends(&nodes, &drains);
    if late.is_empty() {
        return Ok(Verdict::Held);
    }
    let latest = late
        .iter()
        .fold(0.0, |latest: f64, after| latest.max(*after));
    Ok(Verdict::Broken(format!(
        "{} parts were sent to a draining data node later than {TOLD_AND_GRACE_S} s after discovery \
         had the drain and could be reached, the last one {latest:.2} s after it",
        late.len()
    )))
}

/// Returns how long after its node's drain each late part arrived.
fn late_sends(nodes: &[DataNode], drains: &[(String, f64)]) -> Vec<f64> {
    let mut late = Vec::new();
    for (uid, drained_at) in drains {
        for node in nodes.iter().filter(|node| node.uid == *uid) {
            let after = node.arrived().into_iter().map(|at| at - drained_at);
            late.extend(after.filter(|after| *after > TOLD_AND_GRACE_S));
        }
    }
    late
}
