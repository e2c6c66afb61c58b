//! Stand-ins for data nodes.

use super::frames::{read_call, serve_parts, write_answer};
use super::http::accept_on_thread;
use super::threads::OwnedThreadGroup;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time in which the connections of a process that has ended must close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// The payload of each part that tests send.
const PAYLOAD: &str = "c41e77d0";

/// The behaviour of a data node towards a part.
#[derive(Clone, Copy, PartialEq)]
pub enum NodeBehaviour {
    /// Answers with the shard's value.
    Serve,
    /// Answers that the part failed.
    Fail,
    /// Answers that the part was not started.
    Reject,
    /// Answers nothing.
    Hang,
    /// Ends the connection with the part on it.
    Disconnect,
    /// Serves and ends the connection.
    ServeAndClose,
    /// Answers nothing on this connection from now on; others are served.
    StopResponding,
    /// Sends the beginning of an answer, and nothing on this connection from now on.
    PartialResponse,
}

/// The record of a data node.
#[derive(Default)]
struct NodeLog {
    /// The ids of the parts, in order.
    received_part_ids: Mutex<Vec<String>>,
    /// The number of accepted connections.
    connection_count: Mutex<usize>,
    /// The number of connections that the node closed by itself.
    closed_connection_count: Mutex<usize>,
}

impl NodeLog {
    /// Records a part and returns its number, from 1.
    fn record_part(&self, id: &str) -> usize {
        let mut received = self.received_part_ids.lock().expect("log");
        received.push(id.to_owned());
        received.len()
    }
}

/// A data node that accepts connections and reads calls of one part each.
pub struct DataNode {
    /// The address at which the node listens.
    pub address: SocketAddr,
    log: Arc<NodeLog>,
    threads: OwnedThreadGroup,
}

impl DataNode {
    /// Starts a node that serves every part.
    pub fn serving() -> DataNode {
        DataNode::start(|_| NodeBehaviour::Serve)
    }

    /// Starts a node that answers nothing.
    pub fn hanging() -> DataNode {
        DataNode::start(|_| NodeBehaviour::Hang)
    }

    /// Starts a node whose behaviour depends on the number of the part, from 1.
    pub fn start(behaviour: impl Fn(usize) -> NodeBehaviour + Send + Sync + 'static) -> DataNode {
        let log = Arc::new(NodeLog::default());
        let shared = log.clone();
        let behaviour = Arc::new(behaviour);
        let threads = OwnedThreadGroup::default();
        let thread_group = threads.0.clone();
        let address = accept_on_thread(&threads.0, move |stream| {
            *shared.connection_count.lock().expect("count") += 1;
            let log = shared.clone();
            let behaviour = behaviour.clone();
            thread_group.spawn(move || {
                if serve(stream, &log, &*behaviour).is_ok() {
                    *log.closed_connection_count.lock().expect("count") += 1;
                }
            });
        });
        DataNode {
            address,
            log,
            threads,
        }
    }

    /// Returns the ids of the received parts, in order.
    pub fn received_part_ids(&self) -> Vec<String> {
        self.log.received_part_ids.lock().expect("log").clone()
    }

    /// Returns the number of accepted connections.
    pub fn connection_count(&self) -> usize {
        *self.log.connection_count.lock().expect("count")
    }

    /// Returns the number of connections that the node closed by itself after a part; those that
    /// the process gave up do not count.
    pub fn closed_connection_count(&self) -> usize {
        *self.log.closed_connection_count.lock().expect("count")
    }
}

/// A part of a call.
struct ReceivedPart<'a> {
    id: &'a str,
    shard: &'a str,
}

impl ReceivedPart<'_> {
    /// Parses a call of one part with the payload that tests send.
    fn parse(call: &str) -> ReceivedPart<'_> {
        let (line, payload) = call.split_once('\n').expect("a line");
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!(words.len(), 4);
        assert!(words[2].starts_with("d="), "{line}");
        assert_eq!(payload, PAYLOAD);
        ReceivedPart {
            id: words[0],
            shard: words[1],
        }
    }
}

fn serve(
    mut stream: TcpStream,
    log: &NodeLog,
    behaviour: &dyn Fn(usize) -> NodeBehaviour,
) -> Result<()> {
    let mut responding = true;
    loop {
        let call = read_call(&mut stream)?;
        let ReceivedPart { id, shard } = ReceivedPart::parse(&call);
        let number = log.record_part(id);
        if !responding {
            continue;
        }
        match behaviour(number) {
            NodeBehaviour::Hang => {}
            NodeBehaviour::StopResponding => responding = false,
            NodeBehaviour::PartialResponse => {
                responding = false;
                stream.write_all(&[0, 0, 0, 90, b'a', b'9'])?;
            }
            NodeBehaviour::Disconnect => return Ok(()),
            NodeBehaviour::Fail => write_answer(&mut stream, &format!("{id} broke 0 -\n"))?,
            NodeBehaviour::Reject => write_answer(&mut stream, &format!("{id} skipped 0 -\n"))?,
            NodeBehaviour::Serve => write_served(&mut stream, id, shard)?,
            NodeBehaviour::ServeAndClose => {
                write_served(&mut stream, id, shard)?;
                return close_and_wait(&mut stream);
            }
        }
    }
}

fn write_served(stream: &mut TcpStream, id: &str, shard: &str) -> Result<()> {
    write_answer(
        stream,
        &format!("{id} served 18 inflight=1,util=0.5\ncell{shard}"),
    )
}

/// Closes this side and waits until the process has closed too, which shows that it has seen the
/// close.
fn close_and_wait(stream: &mut TcpStream) -> Result<()> {
    stream.shutdown(Shutdown::Write)?;
    stream.read(&mut [0; 64]).map(drop)
}

/// Returns the addresses of nodes, in their order.
pub fn addresses_of(nodes: &[DataNode]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.address).collect()
}

/// A data node whose accept queue is full: no connection to it is established before the test
/// accepts them.
pub struct UnreachableNode {
    listener: TcpListener,
    /// The connection that fills the accept queue.
    queued: TcpStream,
}

impl UnreachableNode {
    /// Starts to listen, without accepting.
    pub fn new() -> UnreachableNode {
        use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
        let socket = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        listen(&socket, 0).expect("it listens");
        let listener = TcpListener::from(socket);
        // The queue has one place, for a connection that nobody accepts.
        let queued =
            TcpStream::connect(listener.local_addr().expect("bound")).expect("the one place");
        UnreachableNode { listener, queued }
    }

    /// Returns the address at which the node will be reachable.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }
}

/// The record of a [`RecordingNode`].
#[derive(Default)]
struct Recording {
    /// The ids of the received parts, in order.
    parts: Vec<String>,
    open_connections: usize,
}

/// A data node that serves every part and reads its connections to their ends.
pub struct RecordingNode {
    recording: Arc<Mutex<Recording>>,
    threads: OwnedThreadGroup,
}

impl RecordingNode {
    /// Makes a node reachable and serves every part that arrives.
    pub fn start(node: UnreachableNode) -> RecordingNode {
        let recording = Arc::new(Mutex::new(Recording::default()));
        let shared = recording.clone();
        let threads = OwnedThreadGroup::default();
        let thread_group = threads.0.clone();
        threads.0.spawn_detached(move || {
            drop(node.listener.accept());
            drop(node.queued);
            for stream in node.listener.incoming().flatten() {
                let recording = shared.clone();
                recording.lock().expect("recording").open_connections += 1;
                thread_group.spawn(move || {
                    let record = |id: &str| {
                        recording
                            .lock()
                            .expect("recording")
                            .parts
                            .push(id.to_owned())
                    };
                    let _ = serve_parts(stream, record);
                    recording.lock().expect("recording").open_connections -= 1;
                });
            }
        });
        RecordingNode { recording, threads }
    }

    /// Waits until no connection is open and returns the ids of all received parts.
    pub fn wait_until_closed(self) -> Vec<String> {
        let started = Instant::now();
        loop {
            let recording = self.recording.lock().expect("recording");
            if recording.open_connections == 0 {
                return recording.parts.clone();
            }
            drop(recording);
            assert!(started.elapsed() < CLOSE_TIMEOUT, "a connection stays open");
            std::thread::yield_now();
        }
    }
}
