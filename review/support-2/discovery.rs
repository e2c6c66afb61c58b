//! A stand-in for the platform's discovery: lists, changes and watches, and times in which it is
//! down. While it is down, watches have ended and calls get 503.

use super::http;
use super::record::Record;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: &'static str,
    pub cell: u32,
    pub state: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        let Entry {
            uid,
            endpoint,
            zone,
            cell,
            state,
        } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{endpoint}\",\"az\":\"{zone}\",\"model\":\"m2\",\
             \"pod_group\":{cell},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}"
        )
    }
}

struct State {
    revision: u64,
    entries: Vec<Entry>,
    /// The changes by revision.
    changes: Vec<(u64, Vec<Entry>)>,
    up: bool,
    /// The open watches, which end when discovery goes down.
    watches: Vec<TcpStream>,
    /// The number of calls.
    calls: usize,
}

/// A running stand-in, at which each caller has an address of its own.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    record: Record,
}

/// Returns an endpoint list in discovery's form.
pub fn list_json(revision: u64, all: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(
        "{{\"rev\":{revision},\"all\":{all},\"targets\":[{}]}}",
        targets.join(",")
    )
}

impl Discovery {
    /// Creates a discovery that is up and has these entries.
    pub fn new(record: &Record, entries: Vec<Entry>) -> Self {
        Discovery {
            state: Arc::new(Mutex::new(State {
                revision: 1,
                entries,
                changes: Vec::new(),
                up: true,
                watches: Vec::new(),
                calls: 0,
            })),
            record: record.clone(),
        }
    }

    /// Opens an address at which one caller asks.
    pub fn listen(&self, caller: &str) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let (accepting, caller) = (self.clone(), caller.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, caller) = (accepting.clone(), caller.clone());
                std::thread::spawn(move || serving.serve(stream, &caller));
            }
        });
        Ok(address)
    }

    /// Changes the state of an entry. Returns the time.
    pub fn change(&self, uid: &str, state_name: &'static str) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let mut changed = Vec::new();
        for entry in state.entries.iter_mut().filter(|entry| entry.uid == uid) {
            entry.state = state_name;
            changed.push(entry.clone());
        }
        state.changes.push((revision, changed));
        self.record.note(format!(
            "discovery: revision {revision}: {uid} is {state_name}"
        ))
    }

    /// Ends all watches and fails all calls from now on.
    pub fn go_down(&self) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        for watch in state.watches.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
        self.record.note("discovery: down, all watches end")
    }

    /// Serves calls again.
    pub fn come_back(&self) -> f64 {
        self.state.lock().unwrap().up = true;
        self.record.note("discovery: up again")
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    fn serve(&self, mut stream: TcpStream, caller: &str) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let Some(target) = http::read_target(&mut reader) else {
            return;
        };
        let since: u64 = http::parameter(&target, "since")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let first = {
            let mut state = self.state.lock().unwrap();
            let failed = !state.up;
            let answer = if failed { "503" } else { "a watch" };
            self.record
                .note(format!("discovery: {caller} calls {target}, gets {answer}"));
            state.calls += 1;
            if failed {
                drop(state);
                let _ = stream.write_all(
                    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
                );
                return;
            }
            if let Ok(watch) = stream.try_clone() {
                state.watches.push(watch);
            }
            if since == 0 || since > state.revision {
                (
                    state.revision,
                    list_json(state.revision, true, &state.entries),
                )
            } else {
                (
                    state.revision,
                    list_json(state.revision, false, &changed_after(&state, since)),
                )
            }
        };
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() || write_line(&mut stream, &first.1).is_err()
        {
            return;
        }
        self.follow(stream, first.0, caller);
    }

    /// Writes the changes to a watch, and an empty line every 2 s while nothing changes.
    fn follow(&self, mut stream: TcpStream, mut told: u64, caller: &str) {
        let mut last_line = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(10));
            let news = {
                let state = self.state.lock().unwrap();
                if !state.up {
                    return;
                }
                (state.revision > told).then(|| {
                    (
                        state.revision,
                        list_json(state.revision, false, &changed_after(&state, told)),
                    )
                })
            };
            let line = match news {
                Some((revision, text)) => {
                    told = revision;
                    self.record
                        .note(format!("discovery: tells {caller} of revision {revision}"));
                    text
                }
                None if last_line.elapsed() >= Duration::from_secs(2) => String::new(),
                None => continue,
            };
            last_line = Instant::now();
            if write_line(&mut stream, &line).is_err() {
                return;
            }
        }
    }
}

/// Returns the entries that changed after a revision, as they are now.
fn changed_after(state: &State, since: u64) -> Vec<Entry> {
    let mut changed: Vec<Entry> = Vec::new();
    for (_, entries) in state
        .changes
        .iter()
        .filter(|(revision, _)| *revision > since)
    {
        for entry in entries {
            changed.retain(|earlier| earlier.uid != entry.uid);
            changed.push(entry.clone());
        }
    }
    changed
}

fn write_line(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}
