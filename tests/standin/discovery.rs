//! Stand-ins for discovery: one that answers by itself, and one whose watches the test answers.
//! Owns the lists of endpoints that they send.

use super::http::{
    accept_on_thread, bind_loopback, lines_of, read_request_line, write_chunked_head,
    write_line_chunk,
};
use super::threads::{OwnedThreadGroup, ThreadGroup};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, Once};
use std::time::Duration;

/// After this time a test that waits for what never arrives fails instead of hanging.
const WATCHDOG_TIMEOUT: Duration = Duration::from_secs(150);

/// An endpoint as discovery lists it. The index is the pod group, and the unique id is made from
/// it.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    index: usize,
    address: SocketAddr,
    state: &'static str,
    /// The time of its last start since the Unix epoch; 0 for long ago.
    started_unix_ms: u64,
}

impl ListedEndpoint {
    /// Sets the time of the last start.
    pub fn started_at(self, started_unix_ms: u64) -> ListedEndpoint {
        ListedEndpoint {
            started_unix_ms,
            ..self
        }
    }
}

/// Returns an endpoint in service.
pub fn in_service(index: usize, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        index,
        address,
        state: "in_service",
        started_unix_ms: 0,
    }
}

/// Returns an endpoint that drains.
pub fn terminating(index: usize, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        index,
        address,
        state: "terminating",
        started_unix_ms: 0,
    }
}

/// Returns these endpoints in service, indexed by their places.
pub fn all_in_service(addresses: &[SocketAddr]) -> Vec<ListedEndpoint> {
    addresses
        .iter()
        .enumerate()
        .map(|(index, address)| in_service(index, *address))
        .collect()
}

/// The extent of a list of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The list has all endpoints.
    Complete,
    /// The list has the endpoints that have changed.
    Change,
}

/// Returns the list of all endpoints at this revision, as discovery sends it.
pub fn complete_list(revision: u64, endpoints: &[ListedEndpoint]) -> String {
    endpoint_list_json(revision, ListKind::Complete, endpoints).to_string()
}

/// Returns the list of the endpoints that changed with this revision, as discovery sends it.
pub fn changed_endpoints(revision: u64, endpoints: &[ListedEndpoint]) -> String {
    endpoint_list_json(revision, ListKind::Change, endpoints).to_string()
}

/// Returns a list of endpoints as JSON.
pub fn endpoint_list_json(revision: u64, kind: ListKind, endpoints: &[ListedEndpoint]) -> Value {
    let complete = kind == ListKind::Complete;
    let target = |endpoint: &ListedEndpoint| {
        let ListedEndpoint {
            index,
            address,
            state,
            started_unix_ms,
        } = endpoint;
        json!({"uid": format!("s-{index}"), "endpoint": address.to_string(), "az": "a", "model": "m",
            "pod_group": index, "state": state, "capacity_hint": 1.0, "boot_ms": started_unix_ms})
    };
    json!({"rev": revision, "all": complete, "targets": endpoints.iter().map(target).collect::<Vec<_>>()})
}

/// Whether the process has closed a watch because another one, requested beside it, was answered
/// first.
fn is_abandoned(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).expect("set");
    ended
}

/// Discovery that answers each watch with its first line; lines sent later follow.
pub struct Discovery {
    /// The address at which discovery listens.
    pub address: SocketAddr,
    /// The lines to send on the open watch.
    updates: Sender<String>,
    /// The request lines of the watches.
    requests: Arc<Mutex<Vec<String>>>,
    threads: OwnedThreadGroup,
}

impl Discovery {
    /// Starts discovery with the first line of every watch.
    pub fn start(first: String) -> Discovery {
        let (updates, pending) = channel::<String>();
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let log = requests.clone();
        let threads = OwnedThreadGroup::default();
        let address = accept_on_thread(&threads.0, move |mut stream| {
            let request = read_request_line(&mut lines_of(&stream)).unwrap_or_default();
            if is_abandoned(&stream) {
                return;
            }
            log.lock().expect("log").push(request);
            let _ = write_chunked_head(&mut stream);
            let _ = write_line_chunk(&mut stream, &first);
            while pending
                .recv()
                .is_ok_and(|line| write_line_chunk(&mut stream, &line).is_ok())
            {}
        });
        Discovery {
            address,
            updates,
            requests,
            threads,
        }
    }

    /// Sends a line on the open watch.
    pub fn send(&self, line: &str) {
        self.updates.send(line.to_owned()).expect("discovery runs");
    }

    /// Returns the request lines of the watches so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("log").clone()
    }
}

/// Starts discovery that answers any number of watches with this line and sends nothing more.
pub fn serve_constant_list(first: String) -> SocketAddr {
    let mut open = Vec::new();
    accept_on_thread(&ThreadGroup::default(), move |mut stream| {
        let _ = write_chunked_head(&mut stream);
        let _ = write_line_chunk(&mut stream, &first);
        open.push(stream);
    })
}

/// Discovery whose watches the test accepts and answers.
pub struct ControlledDiscovery {
    /// The listener for watches.
    pub listener: TcpListener,
}

/// A watch that the process has opened.
pub struct Watch {
    /// The connection of the watch.
    pub stream: TcpStream,
    /// The request line.
    pub request: String,
}

/// Ends the test program after [`WATCHDOG_TIMEOUT`].
fn start_watchdog() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        std::thread::spawn(|| {
            std::thread::sleep(WATCHDOG_TIMEOUT);
            eprintln!("a test waits for something that never arrives");
            std::process::exit(101);
        });
    });
}

impl ControlledDiscovery {
    /// Starts to listen, and starts the watchdog of these tests.
    pub fn new() -> ControlledDiscovery {
        start_watchdog();
        ControlledDiscovery {
            listener: bind_loopback(),
        }
    }

    /// Returns the address at which discovery listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Accepts the next watch that the process opens, without an answer.
    pub fn accept_watch(&self) -> Watch {
        loop {
            let (stream, _) = self.listener.accept().expect("a watch");
            let request = read_request_line(&mut lines_of(&stream)).unwrap_or_default();
            if !is_abandoned(&stream) {
                return Watch { stream, request };
            }
        }
    }

    /// Accepts the next watch and answers it with this line.
    pub fn answer_watch(&self, first: &str) -> Watch {
        self.accept_watch().answer(first)
    }
}

impl Watch {
    /// Begins the answer, with this line first.
    pub fn answer(mut self, first: &str) -> Watch {
        write_chunked_head(&mut self.stream).expect("it listens");
        self.send(first);
        self
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        write_line_chunk(&mut self.stream, line).expect("it listens");
    }

    /// Ends the watch by a reset.
    pub fn reset(self) {
        let linger = rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        linger.expect("set");
    }
}

/// The interval at which [`SwitchedDiscovery`] sends the list again.
const HEARTBEAT: Duration = Duration::from_millis(800);

/// What a [`SwitchedDiscovery`] sends.
struct SwitchedState {
    endpoints: Vec<ListedEndpoint>,
    revision: u64,
    /// Whether watches get nothing.
    silent: bool,
    /// The open watches that have their first list.
    watches: Vec<TcpStream>,
    /// The watches that were opened while discovery was silent, which are never answered.
    unanswered: Vec<TcpStream>,
}

/// Discovery that keeps the list of endpoints, and may fall silent or cut a list.
pub struct SwitchedDiscovery {
    /// The address at which discovery listens.
    pub address: SocketAddr,
    state: Arc<Mutex<SwitchedState>>,
    threads: OwnedThreadGroup,
}

impl SwitchedDiscovery {
    /// Starts with these endpoints in service.
    pub fn start(addresses: &[SocketAddr]) -> SwitchedDiscovery {
        let state = Arc::new(Mutex::new(SwitchedState {
            endpoints: all_in_service(addresses),
            revision: 1,
            silent: false,
            watches: Vec::new(),
            unanswered: Vec::new(),
        }));
        let threads = OwnedThreadGroup::default();
        let shared = state.clone();
        let address = accept_on_thread(&threads.0, move |mut stream| {
            let _ = read_request_line(&mut lines_of(&stream));
            let mut state = shared.lock().expect("state");
            if state.silent {
                state.unanswered.push(stream);
            } else if write_chunked_head(&mut stream).is_ok() {
                let list = complete_list(state.revision, &state.endpoints);
                let _ = write_line_chunk(&mut stream, &list);
                state.watches.push(stream);
            }
        });
        let beating = Arc::downgrade(&state);
        threads.0.spawn_detached(move || {
            while let Some(state) = beating.upgrade() {
                state.lock().expect("state").send_list();
                drop(state);
                std::thread::sleep(HEARTBEAT);
            }
        });
        SwitchedDiscovery {
            address,
            state,
            threads,
        }
    }

    /// Replaces an endpoint and sends the change on all watches.
    pub fn announce(&self, revision: u64, endpoint: ListedEndpoint) {
        let mut state = self.state.lock().expect("state");
        state.revision = revision;
        state.endpoints[endpoint.index] = endpoint;
        state.send(&changed_endpoints(revision, &[endpoint]));
    }

    /// Falls silent, or speaks again; watches that were opened meanwhile stay unanswered.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().expect("state").silent = silent;
    }

    /// Sends the beginning of a list and resets all watches.
    pub fn cut_list(&self, list: &str) {
        let mut state = self.state.lock().expect("state");
        for mut watch in state.watches.drain(..) {
            let half = &list.as_bytes()[..list.len() / 2];
            let _ = write!(watch, "{:x}\r\n", list.len() + 1);
            let _ = watch.write_all(half);
            let reset = rustix::net::sockopt::set_socket_linger(&watch, Some(Duration::ZERO));
            reset.expect("set");
        }
    }
}

impl SwitchedState {
    fn send_list(&mut self) {
        self.send(&complete_list(self.revision, &self.endpoints));
    }

    /// Sends a line on all watches that are open, unless discovery is silent.
    fn send(&mut self, line: &str) {
        if !self.silent {
            self.watches
                .retain_mut(|watch| write_line_chunk(watch, line).is_ok());
        }
    }
}
