//! Case: the inventory gives a server another address, and the program is told by SIGHUP. The old
//! address is no longer in the inventory: nothing new may be sent to it.

use crate::feature_server::{FeatureServer, FeatureServerRules};
use crate::program::{free_port, temporary_folder, Program};
use crate::record::{lock, Record};
use crate::{http_client, Scene, Verdict};
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLIENTS: usize = 12;
const TIME_BEFORE_CHANGE: Duration = Duration::from_secs(3);
const TIME_AFTER_CHANGE: Duration = Duration::from_secs(15);
/// A new configuration counts as told so long after SIGHUP.
const TOLD_AFTER: Duration = Duration::from_secs(4);
/// New work ends within this time, and 50 ms more on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
const CLIENT_TIME: Duration = Duration::from_secs(6);

const EDGE: &str = r#"
attempts = 4
most_held = 400
sockets = 1024
memory_mb = 192

[[class]]
name = "exact"
aim_ms = 3000
deadline_ms = 6000
floor = 1.0
effect = "safe"

[[collection]]
id = "devices"
"#;

/// Plays the case.
pub fn play(scene: &Scene) -> Result<Verdict, String> {
    let server = |name: &str, collections: &[&str]| {
        let rules = FeatureServerRules {
            name: name.to_owned(),
            collections: collections.iter().map(|name| (*name).to_owned()).collect(),
            features: 40,
            tag: name.to_owned(),
            work: Duration::from_millis(130),
            queue_full: Vec::new(),
        };
        FeatureServer::start(rules, &scene.record).map_err(|e| e.to_string())
    };
    let old = server("features-1-old", &["devices-north"])?;
    let new = server("features-1-new", &["devices-north"])?;
    let second = server("features-2", &["devices-north", "devices-south"])?;
    let third = server("features-3", &["devices-south"])?;
    let folder = temporary_folder("edge")?;
    let inventory = folder.join("inventory.csv");
    write_inventory(&inventory, [old.port, second.port, third.port])?;
    let port = free_port()?;
    let file = folder.join("edge.toml");
    let edge = format!("listen = \"127.0.0.1:{port}\"\ninventory = \"inventory.csv\"\n{EDGE}");
    fs::write(&file, edge).map_err(|e| e.to_string())?;
    let variables = [("TMPDIR", folder.display().to_string())];
    let log = scene.folder.join("program-edge.log");
    let program = Program::start(&format!("--edge {}", file.display()), &variables, &log)?;
    program.wait_until_ready(port, "/conformance")?;

    let clients = Clients::start(port, &scene.record);
    std::thread::sleep(TIME_BEFORE_CHANGE);
    // Without the disruption, the same inventory is written and reloaded.
    let first = if scene.trouble { new.port } else { old.port };
    write_inventory(&inventory, [first, second.port, third.port])?;
    scene.record.note(format!(
        "inventory written: features-1 is at port {first}; SIGHUP"
    ));
    program.signal("HUP")?;
    let told_at = scene.record.now() + TOLD_AFTER;
    std::thread::sleep(TIME_AFTER_CHANGE);
    let served = clients.stop()?;

    let last_allowed = told_at + DRAIN_GRACE;
    let removed = scene.trouble.then_some(&old);
    let late: Vec<_> = removed
        .map(FeatureServer::received)
        .unwrap_or_default()
        .into_iter()
        .filter(|received| received.at > last_allowed)
        .collect();
    for received in &late {
        let at = received.at.as_secs_f64();
        let over = (received.at - last_allowed).as_secs_f64();
        scene.record.note(format!(
            "BROKEN: at {at:.3} the removed address got {}, {over:.3} s too late",
            received.target
        ));
    }
    let stale = served
        .iter()
        .filter(|answer| scene.trouble && answer.sent_at > last_allowed && answer.from_old)
        .count();
    scene.record.report(format!(
        "{} answers; {} requests to the removed address later than {:.2} s after SIGHUP; \
         {stale} clients that asked after that got its features; requests to the new address: {}",
        served.len(),
        late.len(),
        (TOLD_AFTER + DRAIN_GRACE).as_secs_f64(),
        new.received().len()
    ));
    let reloaded = fs::read_to_string(&log).is_ok_and(|text| text.contains("inventory reloaded"));
    if served.is_empty() || !reloaded {
        return Err("nothing was served, or the inventory was not reloaded".to_owned());
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

/// Writes the inventory under another name and renames it, as a careful tool does.
fn write_inventory(file: &Path, ports: [u16; 3]) -> Result<(), String> {
    let [first, second, third] = ports;
    let text = format!(
        "name,address,collections,state\n\
         features-1,127.0.0.1:{first},devices/devices-north,in_service\n\
         features-2,127.0.0.1:{second},devices/devices-north;devices/devices-south,in_service\n\
         features-3,127.0.0.1:{third},devices/devices-south,in_service\n"
    );
    let unfinished = file.with_extension("new");
    fs::write(&unfinished, text).map_err(|e| e.to_string())?;
    fs::rename(&unfinished, file).map_err(|e| e.to_string())
}

/// An answer that a client has received.
struct Answer {
    sent_at: Duration,
    from_old: bool,
}

/// Clients that ask again as soon as they are answered.
struct Clients {
    stopped: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    fn start(port: u16, record: &Arc<Record>) -> Clients {
        let stopped: Arc<AtomicBool> = Arc::default();
        let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
        let client = |number: usize| {
            let (stopped, answers, record) = (stopped.clone(), answers.clone(), record.clone());
            std::thread::spawn(move || {
                while !stopped.load(Relaxed) {
                    ask(number, port, &record, &answers);
                }
            })
        };
        let threads = (0..CLIENTS).map(client).collect();
        Clients {
            stopped,
            answers,
            threads,
        }
    }

    fn stop(self) -> Result<Vec<Answer>, String> {
        self.stopped.store(true, Relaxed);
        for thread in self.threads {
            thread.join().map_err(|_| "a client panicked")?;
        }
        Ok(std::mem::take(&mut lock(&self.answers)))
    }
}

fn ask(number: usize, port: u16, record: &Record, answers: &Mutex<Vec<Answer>>) {
    let request = http_client::get("/collections/devices/items?limit=80", "X-Qos: exact\r\n");
    let sent_at = record.now();
    let response = http_client::send(port, &request, CLIENT_TIME + Duration::from_secs(2));
    let Some(response) = response.ok().filter(|response| response.status == 200) else {
        record.note(format!("client {number}: not served"));
        // Clients wait before they ask again.
        std::thread::sleep(Duration::from_millis(200));
        return;
    };
    let from_old = response.body.contains("\"tag\":\"features-1-old\"");
    record.note(format!(
        "client {number}: served, features of the old address: {from_old}"
    ));
    lock(answers).push(Answer { sent_at, from_old });
}
