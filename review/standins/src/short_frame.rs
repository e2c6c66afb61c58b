//! Case: a data node sends an answer whose length does not fit. The client must not get what is
//! not the value that the data node made.

use crate::data_node::DataNode;
use crate::program::{free_port, temporary_folder, Program};
use crate::record::{lock, Random};
use crate::{discovery, http_client, Scene, Verdict};
use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CELLS: usize = 12;
const SHARDS: u64 = 24;
const COORDINATORS: usize = 2;
const SPOILT_ONE_IN: u64 = 50;
const LOAD_TIME: Duration = Duration::from_secs(20);
/// The time between two queries at one coordinator: 14 queries a second at two.
const QUERY_INTERVAL: Duration = Duration::from_millis(140);
const CLIENT_TIME_S: f64 = 4.0;

/// The answers that clients have received.
#[derive(Default)]
struct Tally {
    served: usize,
    others: usize,
    values: usize,
    wrong: usize,
}

/// Plays the case.
pub fn play(scene: &Scene) -> Result<Verdict, String> {
    let spoilt_one_in = if scene.trouble { SPOILT_ONE_IN } else { 0 };
    let nodes = (0..CELLS).map(|cell| {
        let seed = scene.seed * 1_000 + cell as u64;
        DataNode::start(cell, spoilt_one_in, seed, &scene.record)
    });
    let nodes: Arc<Vec<DataNode>> = Arc::new(nodes.collect::<Result<_, _>>().map_err(text)?);
    let entries: Vec<String> = nodes.iter().map(DataNode::entry).collect();
    let discovery = discovery::start(discovery::list(41, &entries)).map_err(text)?;
    let mut ports = Vec::new();
    for number in 0..COORDINATORS {
        ports.push(start_coordinator(scene, number, discovery, &entries)?);
    }
    let tally = Arc::new(Mutex::new(Tally::default()));
    let mut queries = Vec::new();
    let mut random = Random::new(scene.seed);
    let begun_at = scene.record.now();
    while scene.record.now() - begun_at < LOAD_TIME {
        for port in &ports {
            let query = Query::draw(&mut random);
            let (port, nodes, tally) = (*port, nodes.clone(), tally.clone());
            let record = scene.record.clone();
            queries.push(std::thread::spawn(move || {
                let found = query.send(port, &nodes, &record);
                let mut tally = lock(&tally);
                tally.served += found.served;
                tally.others += found.others;
                tally.values += found.values;
                tally.wrong += found.wrong;
            }));
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    for query in queries {
        query.join().map_err(|_| "a client panicked")?;
    }
    let spoilt: usize = nodes.iter().map(DataNode::spoilt).sum();
    let tally = lock(&tally);
    scene.record.report(format!(
        "{} queries served, {} refused or failed; {spoilt} answers of data nodes spoilt; \
         of {} values given to clients {} were made by no data node",
        tally.served, tally.others, tally.values, tally.wrong
    ));
    if tally.served == 0 || (scene.trouble && spoilt == 0) {
        return Err("nothing was served or spoilt".to_owned());
    }
    Ok(if tally.wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

fn start_coordinator(
    scene: &Scene,
    number: usize,
    discovery: u16,
    entries: &[String],
) -> Result<u16, String> {
    let folder = temporary_folder(&format!("n{number}"))?;
    let port = free_port()?;
    let file = folder.join("config.json");
    let seed = scene.seed + number as u64;
    let known = discovery::list(41, entries);
    let settings = settings(number);
    let config = format!(
        "{{\"name\":\"n{number}\",\"listen\":\"127.0.0.1:{port}\",\
         \"discovery\":\"127.0.0.1:{discovery}\",\"seed\":\"{seed:016x}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
         \"known\":{known},\"settings\":{settings}}}"
    );
    fs::write(&file, config).map_err(text)?;
    let variables = [
        ("NODE_CONFIG", file.display().to_string()),
        ("TMPDIR", folder.display().to_string()),
    ];
    let log = scene.folder.join(format!("program-{number}.log"));
    let program = Program::start("", &variables, &log)?;
    program.wait_until_ready(port, "/up")?;
    Ok(port)
}

/// Returns the settings of a small deployment: 12 data nodes, two coordinators, three classes.
fn settings(me: usize) -> String {
    let class = |name: &str, effect: &str, aim_ms: u64, deadline_s: u64, late: f64, points: f64| {
        format!(
            "{{\"aim\":{aim_ms}000000,\"deadline\":{deadline_s}000000000,\"dedup-scope\":\"all\",\
             \"dedup-window\":5000000000,\"effect\":\"{effect}\",\"late-worth\":{late:?},\
             \"name\":\"{name}\",\"points\":{points:?},\"stream\":false}}"
        )
    };
    let classes = [
        class("audience-lookup", "read_like", 1_500, 4, 0.0, 1.0),
        class("direct-send", "non_idempotent", 1_500, 5, 0.0, 2.0),
        class("delivery-report", "read_like", 2_000, 6, 0.1, 3.0),
    ]
    .join(",");
    format!(
        r#"{{"balancers":{COORDINATORS},"callers":{{"marks-retry":false}},"classes":[{classes}],
"discovery":"push","failure-domains":["ops-building"],"family":"fanout",
"family-info":{{"bundle-max":1,"call-cost":0,"cells":{CELLS},"class-need":[1.0,1.0,1.0],
"follow-up":[0,0,0],"in-a-row":2,"least-share":[1.0,1.0,0.8],"partial-earns":[0.9,0.9,0.8],
"slices":{SHARDS},"warm-keys":false}},
"invariants":{{"answer-slack":20000000,"drain-grace":250000000,"must-ask-in":10000000000,
"overload-factor":2.5,"overload-for":1500000000,"start-capacity":0.2,"warm-up":17000000000}},
"kinds":["std-2core"],
"limits":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":600000,"dial-timeout":250000000,
"idle-close":15000000000,"max-attempts":4,"max-retry-after":500000000,"may-tell":false,
"most-held":267,"probing":true,"retry-after":true,"second-copies":false,"streams-per-conn":100}},
"me":{me},"my-zone":0,"over-share-worth":0.1,
"penalties":{{"connection":0.0,"cross-zone":0.0,"discovery":0.0,"handshake":0.02,"late-fail":0.03,
"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.07}},
"report":{{"names":["busy","rif"],"via":"inline"}},
"result-mix":{{"whole":0.7,"worst-class":0.2,"worst-tenant":0.0,"worst-window":0.1}},
"stages":["roster-fleet"],"tenants":[],"tick":5000000,"tier":0,"weight-kind":"rough",
"worth-by":"request"}}"#
    )
}

/// A query as a client sends it.
struct Query {
    id: String,
    class: &'static str,
    shards: Vec<u64>,
}

impl Query {
    fn draw(random: &mut Random) -> Query {
        let (class, parts) = match random.between(1, 100) {
            1..=55 => ("audience-lookup", random.between(4, 7)),
            56..=77 => ("direct-send", random.between(1, 2)),
            _ => ("delivery-report", 14),
        };
        let first = random.between(0, SHARDS - 1);
        Query {
            id: format!("{:016x}", random.next()),
            class,
            shards: (0..parts).map(|part| (first + part) % SHARDS).collect(),
        }
    }

    fn send(&self, port: u16, nodes: &[DataNode], record: &crate::record::Record) -> Tally {
        let share = 1.0 / self.shards.len() as f64;
        let tablet = |shard: &u64| format!("{{\"tablet\":{shard},\"fraction\":{share:.6}}}");
        let tablets: Vec<String> = self.shards.iter().map(tablet).collect();
        let id = &self.id;
        let body = format!(
            "{{\"tablets\":[{}],\"statement\":\"{id}\"}}",
            tablets.join(",")
        );
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {}\r\n\
             X-Expires-In: {CLIENT_TIME_S:.3}\r\nContent-Length: {}\r\n\r\n{body}",
            self.class,
            body.len()
        );
        let timeout = Duration::from_secs_f64(CLIENT_TIME_S + 2.0);
        let mut tally = Tally::default();
        let response = match http_client::send(port, &request, timeout) {
            Ok(response) if response.status == 200 => response,
            other => {
                let status = other.map(|response| response.status).map_err(text);
                record.note(format!("client: {id} {} got {status:?}", self.class));
                tally.others = 1;
                return tally;
            }
        };
        tally.served = 1;
        record.note(format!("client: {id} {} got {}", self.class, response.body));
        for (shard, value) in pieces(&response.body) {
            let part = format!("{id}.{shard}");
            let made = nodes.iter().any(|node| node.values(&part).contains(&value));
            tally.values += 1;
            if !made {
                tally.wrong += 1;
                let whole = response.body.contains("\"full\":true");
                record.note(format!(
                    "BROKEN: {part} was served with {value}, which no data node made (whole: {whole})"
                ));
            }
        }
        tally
    }
}

/// Returns the shards and values of an answer.
fn pieces(body: &str) -> Vec<(String, String)> {
    let piece = |text: &str| {
        let shard = text.split(',').next()?.to_owned();
        let value = text.split("\"cell\":\"").nth(1)?.split('"').next()?;
        Some((shard, value.to_owned()))
    };
    body.split("{\"tablet\":")
        .skip(1)
        .filter_map(piece)
        .collect()
}
