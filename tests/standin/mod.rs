//! Stand-ins on loopback: feature servers that misbehave as told, the program itself, and a client.
#![allow(dead_code)]

pub mod platform;
pub mod site;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};

/// What a stand-in does with a request.
pub enum Reply {
    /// 200 with this body.
    Json(String),
    /// This status, no body to speak of.
    Status(u16),
    /// No answer; the connection stays open.
    Hang,
    /// 200 with this body, whose end is the connection's.
    CloseDelimited(String),
    /// The head and half the body, then the connection ends.
    Truncated(String),
}

type Behaviour = Box<dyn FnMut(&str) -> Reply + Send>;

/// A feature server.
pub struct FeatureServer {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl FeatureServer {
    pub fn start(behaviour: impl FnMut(&str) -> Reply + Send + 'static) -> FeatureServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let behaviour: Arc<Mutex<Behaviour>> = Arc::new(Mutex::new(Box::new(behaviour)));
        let (log, act) = (seen.clone(), behaviour.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, act) = (log.clone(), act.clone());
                std::thread::spawn(move || serve(stream, &log, &act));
            }
        });
        FeatureServer { address, seen, behaviour }
    }

    /// A sound server of these features, in pages of so many.
    pub fn healthy(ids: std::ops::Range<usize>, page: usize) -> FeatureServer {
        FeatureServer::start(move |target| healthy_reply(target, ids.clone(), page))
    }

    pub fn count_requests(&self, what: impl Fn(&str) -> bool) -> usize {
        self.seen.lock().expect("log").iter().filter(|t| what(t)).count()
    }
}

fn serve(stream: TcpStream, log: &Mutex<Vec<String>>, act: &Mutex<Behaviour>) {
    let mut lines = BufReader::new(stream.try_clone().expect("a handle")).lines();
    let mut stream = stream;
    while let Some(Ok(first)) = lines.next() {
        while lines.next().and_then(Result::ok).is_some_and(|l| !l.is_empty()) {}
        let target = first.split(' ').nth(1).unwrap_or_default().to_owned();
        log.lock().expect("log").push(target.clone());
        let reply = (act.lock().expect("behaviour"))(&target);
        let sent = match reply {
            Reply::Json(body) => {
                write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            Reply::Status(s) => write!(stream, "HTTP/1.1 {s} X\r\nContent-Length: 0\r\n\r\n"),
            Reply::Hang => continue,
            Reply::CloseDelimited(body) => {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}");
                return;
            }
            Reply::Truncated(body) => {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _ = stream.write_all(&body.as_bytes()[..body.len() / 2]);
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

pub fn query_parameter(target: &str, name: &str) -> Option<usize> {
    let query = target.split_once('?')?.1;
    query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name)?.1.parse().ok()
}

fn feature(id: usize) -> String {
    format!(
        r#"{{"type":"Feature","id":"d{id}","geometry":{{"type":"Point","coordinates":[{id},1]}},"properties":{{}}}}"#
    )
}

/// A sound answer: a page of features with a next link, or one feature.
pub fn healthy_reply(target: &str, ids: std::ops::Range<usize>, page: usize) -> Reply {
    let path = target.split('?').next().unwrap_or_default();
    if let Some((_, id)) = path.split_once("/items/") {
        let id = id.trim_start_matches('d').parse().unwrap_or(usize::MAX);
        return if ids.contains(&id) { Reply::Json(feature(id)) } else { Reply::Status(404) };
    }
    let from = ids.start + query_parameter(target, "offset").unwrap_or(0);
    let to = (from + page).min(ids.end);
    let list: Vec<String> = (from..to).map(feature).collect();
    let next = if to < ids.end {
        format!(r#"{{"rel":"next","href":"{path}?offset={}"}}"#, to - ids.start)
    } else {
        String::new()
    };
    Reply::Json(format!(r#"{{"type":"FeatureCollection","features":[{}],"links":[{next}]}}"#, list.join(",")))
}

/// The program with the front for feature queries.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    log: Mutex<Receiver<String>>,
    management: Mutex<Option<SocketAddr>>,
}

pub const CLASSES: &str = r#"
[[class]]
name = "exact"
aim_ms = 20000
deadline_ms = 30000
[[class]]
name = "brief"
aim_ms = 400
deadline_ms = 800
[[class]]
name = "part"
aim_ms = 400
deadline_ms = 800
floor = 0.5
[[class]]
name = "once"
aim_ms = 20000
deadline_ms = 30000
effect = "unsafe"
"#;

/// A line of the inventory.
pub fn inventory_row(name: &str, server: &FeatureServer, held: &str, state: &str) -> String {
    format!("{name},{},{held},{state}\n", server.address)
}

impl Process {
    /// Starts it with further settings and the rows of an inventory.
    pub fn start_edge(test: &str, settings: &str, rows: &str) -> Process {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let text = format!("listen = \"127.0.0.1:0\"\ninventory = \"i.csv\"\n{settings}\n{CLASSES}");
        std::fs::write(folder.join("edge.toml"), text).expect("settings");
        write_inventory(&folder, rows);
        let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
        command.arg("--edge").arg(folder.join("edge.toml")).env_remove("NODE_CONFIG").env_remove("TMPDIR");
        Process::spawn(command, folder)
    }

    /// Starts it with the platform's configuration.
    pub fn start_platform(test: &str, config: &serde_json::Value, descriptors: usize) -> Process {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        for file in ["config.json", "start.json"] {
            std::fs::write(folder.join(file), config.to_string()).expect("a configuration");
        }
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {descriptors}; exec \"$0\""))
            .arg(env!("CARGO_BIN_EXE_quinceflow"));
        for name in ["NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME", "NODE_MGMT", "TMPDIR"] {
            command.env_remove(name);
        }
        command.env("NODE_CONFIG", folder.join("config.json"));
        Process::spawn(command, folder)
    }

    /// Starts the next version beside this one, with the same configuration. Both have this folder for temporary files.
    pub fn start_successor(&self, temporary: &std::path::Path) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_quinceflow"));
        let start = self.folder.ancestors().find(|f| f.join("config.json").exists()).expect("its start");
        command.env("NODE_CONFIG", start.join("config.json")).env("TMPDIR", temporary);
        Process::spawn(command, self.folder.join("next"))
    }

    fn spawn(mut command: Command, folder: PathBuf) -> Process {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let (lines, log) = channel();
        let errors = child.stderr.take().expect("piped");
        std::thread::spawn(move || {
            BufReader::new(errors).lines().map_while(Result::ok).for_each(|l| drop(lines.send(l)))
        });
        let (address, management) = (([127, 0, 0, 1], 0).into(), Mutex::default());
        let mut edge = Process { child, address, folder, log: Mutex::new(log), management };
        let line = edge.wait_for_log("listens on");
        edge.address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("its address");
        edge
    }

    /// Where it answers operators.
    pub fn management_address(&self) -> SocketAddr {
        let mut known = self.management.lock().expect("known");
        *known.get_or_insert_with(|| {
            let line = self.wait_for_log("operators are answered on");
            line.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("its management address")
        })
    }

    /// The next log line that holds this.
    pub fn wait_for_log(&self, what: &str) -> String {
        loop {
            let line = self.log.lock().expect("log").recv().expect("the program's log goes on");
            if line.contains(what) {
                return line;
            }
        }
    }

    /// The platform's configuration with another value at this place.
    pub fn configuration_with(&self, pointer: &str, value: serde_json::Value) -> String {
        let text = std::fs::read(self.folder.join("start.json")).expect("a configuration");
        let mut config: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
        *config.pointer_mut(pointer).expect("such a place") = value;
        config.to_string()
    }

    /// Replaces the platform's configuration.
    pub fn write_configuration(&self, text: &str) {
        std::fs::write(self.folder.join("config.json"), text).expect("a configuration");
    }

    pub fn write_inventory(&self, rows: &str) {
        write_inventory(&self.folder, rows);
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.expect("kill runs").success());
    }

    pub fn get(&self, target: &str) -> Response {
        self.get_with_headers(target, "")
    }

    /// A request with further header lines, each ended by CR LF.
    pub fn get_with_headers(&self, target: &str, headers: &str) -> Response {
        self.send_request(&format!(
            "GET {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n{headers}\r\n",
            self.address
        ))
    }

    pub fn send_request(&self, request: &str) -> Response {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.write_all(request.as_bytes()).expect("it reads");
        let mut text = Vec::new();
        stream.read_to_end(&mut text).expect("it answers");
        Response::read(&String::from_utf8(text).expect("text"))
    }

    pub fn wait_for_exit(&mut self) -> bool {
        self.child.wait().expect("it ends").success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write_inventory(folder: &std::path::Path, rows: &str) {
    let text = format!("name,address,collections,state\n{rows}");
    std::fs::write(folder.join("i.csv"), text).expect("an inventory");
}

/// A response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Response {
    fn read(text: &str) -> Response {
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        let mut lines = head.lines();
        let status =
            lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|s| s.parse().ok()).expect("a status");
        let header = |l: &str| l.split_once(": ").map(|(n, v)| (n.to_ascii_lowercase(), v.to_owned()));
        Response { status, headers: lines.filter_map(header).collect(), body: body.to_owned() }
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|e| panic!("{e}: {self:?}"))
    }

    /// The features' ids, in order.
    pub fn ids(&self) -> Vec<String> {
        let json = self.json();
        let list = json["features"].as_array().unwrap_or_else(|| panic!("no features: {self:?}"));
        list.iter().map(|f| f["id"].as_str().expect("an id").to_owned()).collect()
    }

    /// Where the link of that relation leads, without scheme and host.
    pub fn link(&self, rel: &str) -> Option<String> {
        let json = self.json();
        let link = json["links"].as_array()?.iter().find(|l| l["rel"] == rel)?;
        let href = link["href"].as_str()?;
        Some(format!("/{}", href.splitn(4, '/').nth(3)?))
    }
}
