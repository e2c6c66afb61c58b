//! Stand-ins for the discovery agent, and the endpoint lists that they send.

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

/// The time after which the test program exits with a failure, so that a test that waits in vain
/// does not hang.
const WATCHDOG_TIMEOUT: Duration = Duration::from_secs(150);

/// An entry of an endpoint list.
#[derive(Clone, Copy)]
pub struct ListedEndpoint {
    /// The pod group, from which the unique id is derived too.
    index: usize,
    address: SocketAddr,
    state: &'static str,
    /// The time of the server's last start since the Unix epoch; 0 if it has run for a long time.
    started_unix_ms: u64,
}

impl ListedEndpoint {
    /// Sets the time of the server's last start, in milliseconds since the Unix epoch.
    pub fn started_at(self, started_unix_ms: u64) -> ListedEndpoint {
        ListedEndpoint {
            started_unix_ms,
            ..self
        }
    }
}

/// Returns the entry of a server in service.
pub fn in_service(index: usize, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        index,
        address,
        state: "in_service",
        started_unix_ms: 0,
    }
}

/// Returns the entry of a server that drains.
pub fn terminating(index: usize, address: SocketAddr) -> ListedEndpoint {
    ListedEndpoint {
        index,
        address,
        state: "terminating",
        started_unix_ms: 0,
    }
}

/// Returns the entries of these servers in service. The index of each is its position.
pub fn all_in_service(addresses: &[SocketAddr]) -> Vec<ListedEndpoint> {
    addresses
        .iter()
        .enumerate()
        .map(|(index, address)| in_service(index, *address))
        .collect()
}

/// The kind of an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// The list has the entries of all servers.
    Complete,
    /// The list has only the entries that have changed.
    Change,
}

/// Returns the text of a complete endpoint list.
pub fn complete_list(revision: u64, endpoints: &[ListedEndpoint]) -> String {
    endpoint_list_json(revision, ListKind::Complete, endpoints).to_string()
}

/// Returns the text of a list of the entries that changed with this revision.
pub fn changed_endpoints(revision: u64, endpoints: &[ListedEndpoint]) -> String {
    endpoint_list_json(revision, ListKind::Change, endpoints).to_string()
}

/// Returns an endpoint list as JSON.
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

/// Returns whether the process has closed a watch, which it does if no answer arrives in time.
fn is_closed_by_process(stream: &TcpStream) -> bool {
    stream
        .set_nonblocking(true)
        .expect("the stream is set to non-blocking");
    let closed = matches!(stream.peek(&mut [0]), Ok(0));
    stream
        .set_nonblocking(false)
        .expect("the stream is set to blocking");
    closed
}

/// A discovery agent that answers every watch with the same first line. The test sends the lines
/// that follow.
pub struct Discovery {
    /// The address at which the agent listens.
    pub address: SocketAddr,
    /// The lines to send on the open watch.
    updates: Sender<String>,
    /// The request lines of the watches.
    requests: Arc<Mutex<Vec<String>>>,
    threads: OwnedThreadGroup,
}

impl Discovery {
    /// Starts an agent that answers every watch with this line.
    pub fn start(first_line: String) -> Discovery {
        let (updates, pending_updates) = channel::<String>();
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let shared = requests.clone();
        let threads = OwnedThreadGroup::default();
        let address = accept_on_thread(&threads.0, move |mut stream| {
            let request = read_request_line(&mut lines_of(&stream)).unwrap_or_default();
            if is_closed_by_process(&stream) {
                return;
            }
            shared
                .lock()
                .expect("the mutex is not poisoned")
                .push(request);
            let _ = write_chunked_head(&mut stream);
            let _ = write_line_chunk(&mut stream, &first_line);
            while pending_updates
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
        self.updates
            .send(line.to_owned())
            .expect("the discovery agent is running");
    }

    /// Returns the request lines of all watches so far, in order.
    pub fn requests(&self) -> Vec<String> {
        self.requests
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }
}

/// Starts a discovery agent that answers every watch with this line only and keeps all watches
/// open. Returns its address.
pub fn serve_constant_list(list: String) -> SocketAddr {
    let mut open_watches = Vec::new();
    accept_on_thread(&ThreadGroup::default(), move |mut stream| {
        let _ = write_chunked_head(&mut stream);
        let _ = write_line_chunk(&mut stream, &list);
        open_watches.push(stream);
    })
}

/// A discovery agent whose watches the test accepts and answers.
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

/// Starts a thread that exits the test program after [`WATCHDOG_TIMEOUT`].
fn start_watchdog() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        std::thread::spawn(|| {
            std::thread::sleep(WATCHDOG_TIMEOUT);
            eprintln!("the tests did not finish within the watchdog timeout");
            std::process::exit(101);
        });
    });
}

impl ControlledDiscovery {
    /// Starts to listen, and starts the watchdog of the test program.
    pub fn new() -> ControlledDiscovery {
        start_watchdog();
        ControlledDiscovery {
            listener: bind_loopback(),
        }
    }

    /// Returns the address at which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("the listener is bound")
    }

    /// Accepts the next watch that the process opens, and does not answer it.
    pub fn accept_watch(&self) -> Watch {
        loop {
            let (stream, _) = self.listener.accept().expect("the process opens a watch");
            let request = read_request_line(&mut lines_of(&stream)).unwrap_or_default();
            if !is_closed_by_process(&stream) {
                return Watch { stream, request };
            }
        }
    }

    /// Accepts the next watch and answers it with this line.
    pub fn answer_watch(&self, first_line: &str) -> Watch {
        self.accept_watch().answer(first_line)
    }
}

impl Watch {
    /// Sends the head of the response and this first line.
    pub fn answer(mut self, first_line: &str) -> Watch {
        write_chunked_head(&mut self.stream).expect("the watch is open");
        self.send(first_line);
        self
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        write_line_chunk(&mut self.stream, line).expect("the watch is open");
    }

    /// Closes the connection of the watch with a reset.
    pub fn reset(self) {
        let linger = rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        linger.expect("the linger time is set");
    }
}

/// The interval at which [`FaultyDiscovery`] sends the list again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// The state of a [`FaultyDiscovery`].
struct FaultyDiscoveryState {
    endpoints: Vec<ListedEndpoint>,
    revision: u64,
    /// Whether the agent sends nothing.
    silent: bool,
    /// The open watches on which the first list was sent.
    watches: Vec<TcpStream>,
    /// The watches that were opened while the agent was silent. They are kept open and never
    /// answered.
    unanswered_watches: Vec<TcpStream>,
}

/// A discovery agent with planted faults: the test can stop it from sending, and make it truncate a
/// list.
pub struct FaultyDiscovery {
    /// The address at which the agent listens.
    pub address: SocketAddr,
    state: Arc<Mutex<FaultyDiscoveryState>>,
    threads: OwnedThreadGroup,
}

impl FaultyDiscovery {
    /// Starts an agent that lists these servers in service.
    pub fn start(addresses: &[SocketAddr]) -> FaultyDiscovery {
        let state = Arc::new(Mutex::new(FaultyDiscoveryState {
            endpoints: all_in_service(addresses),
            revision: 1,
            silent: false,
            watches: Vec::new(),
            unanswered_watches: Vec::new(),
        }));
        let threads = OwnedThreadGroup::default();
        let shared = state.clone();
        let address = accept_on_thread(&threads.0, move |mut stream| {
            let _ = read_request_line(&mut lines_of(&stream));
            let mut state = shared.lock().expect("the mutex is not poisoned");
            if state.silent {
                state.unanswered_watches.push(stream);
            } else if write_chunked_head(&mut stream).is_ok() {
                let list = complete_list(state.revision, &state.endpoints);
                let _ = write_line_chunk(&mut stream, &list);
                state.watches.push(stream);
            }
        });
        let weak_state = Arc::downgrade(&state);
        threads.0.spawn_detached(move || {
            while let Some(state) = weak_state.upgrade() {
                state.lock().expect("the mutex is not poisoned").send_list();
                drop(state);
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        FaultyDiscovery {
            address,
            state,
            threads,
        }
    }

    /// Replaces the entry with the same index and sends the change on all watches.
    pub fn update_endpoint(&self, revision: u64, endpoint: ListedEndpoint) {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        state.revision = revision;
        state.endpoints[endpoint.index] = endpoint;
        state.send(&changed_endpoints(revision, &[endpoint]));
    }

    /// Stops or resumes sending. Watches that are opened while the agent is silent are never
    /// answered.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().expect("the mutex is not poisoned").silent = silent;
    }

    /// Sends the first half of a list on all watches and resets their connections.
    pub fn send_truncated_list(&self, list: &str) {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        for mut watch in state.watches.drain(..) {
            let half = &list.as_bytes()[..list.len() / 2];
            let _ = write!(watch, "{:x}\r\n", list.len() + 1);
            let _ = watch.write_all(half);
            let reset = rustix::net::sockopt::set_socket_linger(&watch, Some(Duration::ZERO));
            reset.expect("the linger time is set");
        }
    }
}

impl FaultyDiscoveryState {
    fn send_list(&mut self) {
        self.send(&complete_list(self.revision, &self.endpoints));
    }

    /// Sends a line on all open watches, unless the agent is silent.
    fn send(&mut self, line: &str) {
        if !self.silent {
            self.watches
                .retain_mut(|watch| write_line_chunk(watch, line).is_ok());
        }
    }
}
