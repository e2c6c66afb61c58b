//! Stand-ins for the platform: data nodes and discovery that act as told, and a client of the program before them.
#![allow(dead_code)]

use super::{Process, Response};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};

/// What a data node does with a part.
#[derive(Clone, Copy, PartialEq)]
pub enum NodeBehaviour {
    Serve,
    Fail,
    Reject,
    /// Says nothing.
    Hang,
    /// Ends the connection with the part on it.
    Disconnect,
    /// Serves and ends the connection.
    ServeAndClose,
    /// Says nothing on this connection from now on; others are served.
    StopResponding,
    /// Sends the begin of an answer, and says nothing on this connection from now on.
    PartialResponse,
}

pub struct DataNode {
    pub address: SocketAddr,
    /// The ids of the parts that came, in order.
    pub seen: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<Mutex<usize>>,
    /// Connections that it has ended by itself after a part; one that the program gave up does not count.
    pub closed: Arc<Mutex<usize>>,
}

pub fn write_frame(stream: &mut TcpStream, letter: u8, rest: &str) -> std::io::Result<()> {
    let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(letter);
    bytes.extend_from_slice(rest.as_bytes());
    stream.write_all(&bytes)
}

impl DataNode {
    /// A node that serves every part.
    pub fn serving() -> DataNode {
        DataNode::start(|_| NodeBehaviour::Serve)
    }

    /// A node that answers nothing.
    pub fn hanging() -> DataNode {
        DataNode::start(|_| NodeBehaviour::Hang)
    }

    /// A node whose behaviour depends on the number of the part, from 1.
    pub fn start(act: impl Fn(usize) -> NodeBehaviour + Send + Sync + 'static) -> DataNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let seen: Arc<Mutex<Vec<String>>> = Arc::default();
        let (connections, closed): (Arc<Mutex<usize>>, Arc<Mutex<usize>>) = Default::default();
        let (log, count, ends, act) = (seen.clone(), connections.clone(), closed.clone(), Arc::new(act));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                *count.lock().expect("count") += 1;
                let (log, ends, act) = (log.clone(), ends.clone(), act.clone());
                std::thread::spawn(move || {
                    if serve(stream, &log, &*act).is_ok() {
                        *ends.lock().expect("count") += 1;
                    }
                });
            }
        });
        DataNode { address, seen, connections, closed }
    }
}

fn serve(
    mut stream: TcpStream,
    log: &Mutex<Vec<String>>,
    act: &dyn Fn(usize) -> NodeBehaviour,
) -> std::io::Result<()> {
    let mut mute = false;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let mut rest = vec![0; length - 1];
        stream.read_exact(&mut rest)?;
        if head[4] != b'q' {
            continue;
        }
        let text = String::from_utf8(rest).expect("text");
        let (line, query) = text.split_once('\n').expect("a line");
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!((words.len(), words[2].starts_with("d="), query), (4, true, "c41e77d0"));
        let number = {
            let mut log = log.lock().expect("log");
            log.push(words[0].to_owned());
            log.len()
        };
        let id = words[0];
        if mute {
            continue;
        }
        match act(number) {
            NodeBehaviour::Hang => {}
            NodeBehaviour::StopResponding => mute = true,
            NodeBehaviour::PartialResponse => {
                mute = true;
                stream.write_all(&[0, 0, 0, 90, b'a', b'9'])?;
            }
            NodeBehaviour::Disconnect => return Ok(()),
            NodeBehaviour::Fail => write_frame(&mut stream, b'a', &format!("{id} broke 0 -\n"))?,
            NodeBehaviour::Reject => write_frame(&mut stream, b'a', &format!("{id} skipped 0 -\n"))?,
            served => {
                write_frame(
                    &mut stream,
                    b'a',
                    &format!("{id} served 18 inflight=1,util=0.5\ncell{}", words[1]),
                )?;
                if served == NodeBehaviour::ServeAndClose {
                    // Until the program has closed too: that this side has says nothing of when the other learns it.
                    stream.shutdown(Shutdown::Write)?;
                    return stream.read(&mut [0; 64]).map(drop);
                }
            }
        }
    }
}

/// What a test has of discovery: where changes go, and what was asked of it.
pub struct Discovery {
    pub updates: Sender<String>,
    pub requests: Arc<Mutex<Vec<String>>>,
}

/// A call for the watch that was asked beside another one, which was answered first: the program has closed it.
pub fn is_abandoned(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).expect("set");
    ended
}

/// Discovery: the first line answers each watch, those sent later follow.
pub fn start_discovery(first: String) -> (SocketAddr, Discovery) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (more, changes): (Sender<String>, Receiver<String>) = channel();
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let log = asked.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut lines = BufReader::new(stream.try_clone().expect("a handle")).lines();
            let request = lines.next().and_then(Result::ok).unwrap_or_default();
            while lines.next().and_then(Result::ok).is_some_and(|l| !l.is_empty()) {}
            if is_abandoned(&stream) {
                continue;
            }
            log.lock().expect("log").push(request);
            let mut stream = stream;
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let mut say = |line: &str| write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1);
            let _ = say(&first);
            while changes.recv().is_ok_and(|line| say(&line).is_ok()) {}
        }
    });
    (address, Discovery { updates: more, requests: asked })
}

/// Discovery that answers any number of watches with this line and has nothing more to say.
pub fn serve_constant_list(first: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let _ = write!(stream, "{head}{:x}\r\n{first}\n\r\n", first.len() + 1);
            open.push(stream);
        }
    });
    address
}

pub fn endpoint_list(rev: u64, all: bool, nodes: &[(&DataNode, &str)]) -> String {
    let target = |(n, (node, state)): (usize, &(&DataNode, &str))| {
        json!({"uid": format!("s-{n}"), "endpoint": node.address.to_string(), "az": "a", "model": "m", "pod_group": n,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0})
    };
    let targets: Vec<_> = nodes.iter().enumerate().map(target).collect();
    json!({"rev": rev, "all": all, "targets": targets}).to_string()
}

pub fn start_platform(test: &str, nodes: &[&DataNode], descriptors: usize) -> (Process, Discovery) {
    start_with_objective(test, nodes, descriptors, 10_000)
}

pub fn start_with_objective(
    test: &str,
    nodes: &[&DataNode],
    descriptors: usize,
    aim: u64,
) -> (Process, Discovery) {
    let ready: Vec<_> = nodes.iter().map(|n| (*n, "in_service")).collect();
    let (address, changes) = start_discovery(endpoint_list(1, true, &ready));
    (start_with_discovery(test, nodes, descriptors, aim, address), changes)
}

/// Starts the program with discovery at this address.
pub fn start_with_discovery(
    test: &str,
    nodes: &[&DataNode],
    descriptors: usize,
    aim: u64,
    address: SocketAddr,
) -> Process {
    let ready: Vec<_> = nodes.iter().map(|n| (*n, "in_service")).collect();
    let class = |name, effect, aim: u64| {
        json!({"name": name, "effect": effect, "aim": aim * 1_000_000, "deadline": 2 * aim * 1_000_000,
            "points": 1.0, "late-worth": 0.0})
    };
    let cells = nodes.len();
    let settings = json!({
        "balancers": 1, "tick": 5_000_000, "discovery": "push",
        "classes": [class("lookup", "read_like", aim), class("brief", "read_like", 300),
            class("send", "non_idempotent", aim)],
        "family-info": {"bundle-max": 1, "cells": cells, "in-a-row": 2, "slices": cells},
        "limits": {"cancel": true, "max-attempts": 4, "retry-after": true, "max-retry-after": 500_000_000},
    });
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": address.to_string(), "seed": "1f",
        "mgmt": "127.0.0.1:0",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": descriptors}, "settings": settings,
        "known": serde_json::from_str::<serde_json::Value>(&endpoint_list(0, true, &ready)).expect("a list")});
    Process::start_platform(test, &config, descriptors)
}

pub fn query(edge: &Process, id: &str, class: &str, shards: &[u32]) -> Response {
    let share = 1.0 / shards.len() as f64;
    let tablets: Vec<_> = shards.iter().map(|s| json!({"tablet": s, "fraction": share})).collect();
    let body = json!({"tablets": tablets, "statement": "c41e77d0"}).to_string();
    edge.send_request(&format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In: 8\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

pub fn wait_until_ready(edge: &Process) {
    while edge.get("/up").status != 200 {}
}

/// One call at the second address, whole.
pub fn management_call(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.write_all(line.as_bytes()).expect("it reads");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("it replies and ends");
    text
}

pub fn dump_value(dump: &str, name: &str) -> u64 {
    let value = dump.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("no {name} in {dump}")).parse().expect("a number")
}
