//! Stand-ins that hold one side of a crossing until the test lets it go: discovery, data nodes, clients.
#![allow(dead_code)]

use super::platform::{is_abandoned, wait_until_ready, write_frame, DataNode};
use super::{Process, Response};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// What a test sets of a deployment; the rest is usual.
pub struct Deployment {
    pub push_discovery: bool,
    pub cancellation: bool,
    pub max_batch: u32,
    pub connect_timeout_ms: u64,
    pub latency_objective_ms: u64,
    pub idle_timeout_ms: u64,
}

pub const DEFAULT_DEPLOYMENT: Deployment = Deployment {
    push_discovery: true,
    cancellation: true,
    max_batch: 1,
    connect_timeout_ms: 20_000,
    latency_objective_ms: 20_000,
    idle_timeout_ms: 60_000,
};

impl Deployment {
    /// Its configuration, with these data nodes known in service.
    pub fn config(&self, discovery: SocketAddr, nodes: &[SocketAddr]) -> Value {
        let ms = 1_000_000;
        let class = |name, effect, floor: f64| {
            let c = json!({"name": name, "effect": effect, "aim": self.latency_objective_ms * ms, "deadline": 2 * self.latency_objective_ms * ms,
                "points": 1.0, "late-worth": 0.0, "dedup-window": 400 * ms});
            (c, floor)
        };
        let classes = [
            class("look", "read_like", 1.0),
            class("once", "non_idempotent", 1.0),
            class("some", "read_like", 0.5),
            class("key", "idempotency_key", 1.0),
        ];
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "1f",
        "mgmt": "127.0.0.1:0",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(0, true, &in_service(nodes)),
        "settings": {
            "balancers": 1, "tick": 5 * ms, "discovery": if self.push_discovery { "push" } else { "ask" },
            "classes": classes.iter().map(|c| c.0.clone()).collect::<Vec<_>>(),
            "invariants": if self.push_discovery { json!({}) } else { json!({"must-ask-in": 600_000 * ms}) },
            "family-info": {"bundle-max": self.max_batch, "cells": nodes.len(), "in-a-row": 2, "slices": 4 * nodes.len(),
                "least-share": classes.iter().map(|c| c.1).collect::<Vec<_>>()},
            "limits": {"cancel": self.cancellation, "max-attempts": 4, "retry-after": true, "max-retry-after": 500 * ms,
                "dial-timeout": self.connect_timeout_ms * ms, "idle-close": self.idle_timeout_ms * ms},
        }})
    }
}

pub fn in_service(nodes: &[SocketAddr]) -> Vec<(usize, SocketAddr, &'static str)> {
    nodes.iter().enumerate().map(|(n, a)| (n, *a, "in_service")).collect()
}

pub fn endpoint_list(rev: u64, all: bool, lines: &[(usize, SocketAddr, &str)]) -> Value {
    let line = |(n, address, state): &(usize, SocketAddr, &str)| {
        json!({"uid": format!("s-{n}"), "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": n,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0})
    };
    json!({"rev": rev, "all": all, "targets": lines.iter().map(line).collect::<Vec<_>>()})
}

/// Discovery whose watches the test holds: each is answered when it says so, and says what it says.
pub struct ControlledDiscovery {
    pub listener: TcpListener,
}

pub struct Watch {
    pub stream: TcpStream,
    pub request: String,
}

/// What never comes would be waited for: then all of these tests fail, and do not hang.
pub fn watchdog() {
    static STARTED: std::sync::Once = std::sync::Once::new();
    STARTED.call_once(|| {
        std::thread::spawn(|| {
            std::thread::sleep(std::time::Duration::from_secs(150));
            eprintln!("a test of crossings waits for what never comes");
            std::process::exit(101);
        });
    });
}

impl ControlledDiscovery {
    pub fn new() -> ControlledDiscovery {
        watchdog();
        ControlledDiscovery { listener: TcpListener::bind("127.0.0.1:0").expect("a port") }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// The next watch that the program opens, unanswered.
    pub fn accept_watch(&self) -> Watch {
        loop {
            let (stream, _) = self.listener.accept().expect("a watch");
            let mut lines =
                BufReader::new(stream.try_clone().expect("a handle")).lines().map_while(Result::ok);
            let request = lines.next().unwrap_or_default();
            lines.by_ref().take_while(|l| !l.is_empty()).for_each(drop);
            if !is_abandoned(&stream) {
                return Watch { stream, request };
            }
        }
    }

    /// The next watch, answered with this.
    pub fn answer_watch(&self, first: &str) -> Watch {
        self.accept_watch().answer(first)
    }
}

impl Watch {
    /// Answers it, first with this.
    pub fn answer(mut self, first: &str) -> Watch {
        self.stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("it listens");
        self.send(first);
        self
    }

    pub fn send(&mut self, text: &str) {
        write!(self.stream, "{:x}\r\n{text}\n\r\n", text.len() + 1).expect("it listens");
    }

    /// Ends it by a reset.
    pub fn reset(self) {
        let linger = rustix::net::sockopt::set_socket_linger(&self.stream, Some(std::time::Duration::ZERO));
        linger.expect("set");
    }
}

/// A data node to which no connection comes up before the test lets it: its queue is full.
pub struct UnreachableNode {
    pub listener: TcpListener,
    pub backlog: Vec<TcpStream>,
}

impl UnreachableNode {
    pub fn new() -> UnreachableNode {
        use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        listen(&socket, 0).expect("it listens");
        let listener = TcpListener::from(socket);
        // One place is there for a connection that nobody accepts.
        let backlog = vec![TcpStream::connect(listener.local_addr().expect("bound")).expect("the one place")];
        UnreachableNode { listener, backlog }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }
}

/// The parts of the next call on this connection; cancels are passed over.
pub fn read_part_ids(stream: &mut TcpStream) -> std::io::Result<Vec<String>> {
    loop {
        let (letter, rest) = read_frame(stream)?;
        if letter != b'q' {
            continue;
        }
        let mut rest = rest.as_str();
        let mut ids = Vec::new();
        while let Some((line, after)) = rest.split_once('\n') {
            let words: Vec<&str> = line.split(' ').collect();
            ids.push(words[0].to_owned());
            rest = &after[words[3].parse::<usize>().expect("a length")..];
        }
        return Ok(ids);
    }
}

pub fn read_frame(stream: &mut TcpStream) -> std::io::Result<(u8, String)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
    stream.read_exact(&mut rest)?;
    Ok((head[4], String::from_utf8(rest).expect("text")))
}

pub fn serve_parts(mut stream: TcpStream, mut came: impl FnMut(&str)) -> std::io::Result<()> {
    loop {
        for id in read_part_ids(&mut stream)? {
            came(&id);
            write_frame(&mut stream, b'a', &format!("{id} served 18 -\ncell"))?;
        }
    }
}

pub fn query_request(id: &str, class: &str, shards: &[u32], more: &str) -> String {
    let share = 1.0 / shards.len() as f64;
    let tablets: Vec<_> = shards.iter().map(|s| json!({"tablet": s, "fraction": share})).collect();
    let body = json!({"tablets": tablets, "statement": "c41e77d0"}).to_string();
    format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In: 30\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn query(edge: &Process, id: &str, class: &str, shards: &[u32]) -> Response {
    edge.send_request(&query_request(id, class, shards, "Connection: close\r\n"))
}

/// A client that has asked and waits.
pub fn send_request(edge: &Process, request: &str) -> TcpStream {
    let mut client = TcpStream::connect(edge.address).expect("it listens");
    client.write_all(request.as_bytes()).expect("it reads");
    client
}

pub fn read_until_close(mut client: TcpStream) -> String {
    let mut text = String::new();
    client.read_to_string(&mut text).expect("an answer, and no reset");
    text
}

/// The next answer on a kept connection: its status, and whether it says that the connection closes.
pub fn read_response(client: &mut BufReader<TcpStream>) -> Option<(u16, bool)> {
    let head: Vec<_> = client.by_ref().lines().map_while(Result::ok).take_while(|l| !l.is_empty()).collect();
    let status = head.first()?.split(' ').nth(1)?.parse().ok()?;
    let length = head.iter().find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok())?;
    client.read_exact(&mut vec![0; length]).ok()?;
    Some((status, head.iter().any(|l| l == "Connection: close")))
}

/// Waits until a counter has this value.
pub fn wait_for_counter(edge: &Process, counter: &str, value: u64) {
    let began = std::time::Instant::now();
    loop {
        edge.signal("USR1");
        let line = edge.wait_for_log("counters");
        let figure =
            line.split(' ').find_map(|w| w.strip_prefix(counter)?.strip_prefix('=')?.parse::<u64>().ok());
        if figure.expect("such a counter") >= value {
            return;
        }
        assert!(began.elapsed().as_secs() < 20, "{counter} never reaches {value}: {line}");
        std::thread::yield_now();
    }
}

pub fn start_deployment(
    test: &str,
    site: &Deployment,
    agent: &ControlledDiscovery,
    nodes: &[SocketAddr],
) -> (Process, Watch) {
    let edge = Process::start_platform(test, &site.config(agent.address(), nodes), 1024);
    let watch = agent.answer_watch(&endpoint_list(1, true, &in_service(nodes)).to_string());
    wait_until_ready(&edge);
    (edge, watch)
}

pub fn received_parts(node: &DataNode) -> Vec<String> {
    node.seen.lock().expect("log").clone()
}

/// A data node whose connections the test reads to their ends.
pub struct RecordingNode {
    pub parts: std::sync::Arc<std::sync::Mutex<(Vec<String>, usize)>>,
}

impl RecordingNode {
    /// Takes the parts that the node tells of, until the program has ended and so have its connections.
    pub fn start(shut: UnreachableNode) -> RecordingNode {
        let parts: std::sync::Arc<std::sync::Mutex<(Vec<String>, usize)>> = Default::default();
        let log = parts.clone();
        std::thread::spawn(move || {
            drop(shut.listener.accept());
            drop(shut.backlog);
            for stream in shut.listener.incoming().flatten() {
                let log = log.clone();
                log.lock().expect("log").1 += 1;
                std::thread::spawn(move || {
                    let _ = serve_parts(stream, |id| log.lock().expect("log").0.push(id.to_owned()));
                    log.lock().expect("log").1 -= 1;
                });
            }
        });
        RecordingNode { parts }
    }

    /// What came in all, once no connection is open any more.
    pub fn wait_until_closed(self) -> Vec<String> {
        loop {
            let log = self.parts.lock().expect("log");
            if log.1 == 0 {
                return log.0.clone();
            }
            drop(log);
            std::thread::yield_now();
        }
    }
}
