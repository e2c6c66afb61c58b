//! Stand-ins for data nodes.

use super::frames::{read_call, serve_parts, write_answer, write_answer_with_short_length};
use super::http::accept_on_thread;
use super::threads::OwnedThreadGroup;
use std::io::{Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time within which the connections of a process that has exited must close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);
/// The payload of every part: the statement of the queries that tests send.
const PAYLOAD: &str = "c41e77d0";
/// The number of bytes by which a length field is too small; less than the size of such a field.
const MISSING_LENGTH: usize = 2;
/// Bytes that are no part of a frame. They begin like text.
const NOISE: &[u8] = b"P\xa7nS-\x1b\x02\xf3\r\n";

/// What a data node does when it receives a part.
#[derive(Clone, Copy, PartialEq)]
pub enum NodeBehaviour {
    /// Answers with the shard's value.
    Serve,
    /// Answers that the part failed.
    Fail,
    /// Answers that the part was not started.
    Reject,
    /// Sends no answer to the part.
    Hang,
    /// Closes the connection without an answer.
    Disconnect,
    /// Answers with the shard's value and closes the connection.
    ServeAndClose,
    /// Sends no answer to this part or to any later part on the connection.
    StopAnswering,
    /// Sends the beginning of an answer and nothing else on the connection.
    TruncatedAnswer,
    /// Sends a complete answer whose length field is too small, and nothing else on the connection.
    ServeWithShortLength,
    /// Answers with the shard's value, followed by noise, and sends nothing else on the connection.
    ServeWithNoise,
}

/// What a data node has received, and its connections.
#[derive(Default)]
struct NodeRecord {
    /// The ids of the received parts, in order.
    received_part_ids: Mutex<Vec<String>>,
    /// The number of accepted connections.
    connection_count: Mutex<usize>,
    /// The number of connections that the node closed before the process did.
    closed_connection_count: Mutex<usize>,
}

impl NodeRecord {
    /// Records a part and returns its number. The first part has number 1.
    fn record_part(&self, id: &str) -> usize {
        let mut received = self
            .received_part_ids
            .lock()
            .expect("the mutex is not poisoned");
        received.push(id.to_owned());
        received.len()
    }
}

/// A data node that receives calls of one part each.
pub struct DataNode {
    /// The address at which the node listens.
    pub address: SocketAddr,
    record: Arc<NodeRecord>,
    threads: OwnedThreadGroup,
}

impl DataNode {
    /// Starts a node that answers every part.
    pub fn serving() -> DataNode {
        DataNode::start(|_| NodeBehaviour::Serve)
    }

    /// Starts a node that answers no part.
    pub fn hanging() -> DataNode {
        DataNode::start(|_| NodeBehaviour::Hang)
    }

    /// Starts a node whose behaviour depends on the number of the part. The first part has number
    /// 1.
    pub fn start(behaviour: impl Fn(usize) -> NodeBehaviour + Send + Sync + 'static) -> DataNode {
        let record = Arc::new(NodeRecord::default());
        let shared = record.clone();
        let behaviour = Arc::new(behaviour);
        let threads = OwnedThreadGroup::default();
        let thread_group = threads.0.clone();
        let address = accept_on_thread(&threads.0, move |stream| {
            *shared
                .connection_count
                .lock()
                .expect("the mutex is not poisoned") += 1;
            let record = shared.clone();
            let behaviour = behaviour.clone();
            thread_group.spawn(move || {
                if serve(stream, &record, &*behaviour).is_ok() {
                    *record
                        .closed_connection_count
                        .lock()
                        .expect("the mutex is not poisoned") += 1;
                }
            });
        });
        DataNode {
            address,
            record,
            threads,
        }
    }

    /// Returns the ids of the received parts, in order.
    pub fn received_part_ids(&self) -> Vec<String> {
        self.record
            .received_part_ids
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    /// Returns the number of accepted connections.
    pub fn connection_count(&self) -> usize {
        *self
            .record
            .connection_count
            .lock()
            .expect("the mutex is not poisoned")
    }

    /// Returns the number of connections that the node closed after it had received a part.
    /// Connections that the process closed first are not counted.
    pub fn closed_connection_count(&self) -> usize {
        *self
            .record
            .closed_connection_count
            .lock()
            .expect("the mutex is not poisoned")
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
        let (line, payload) = call.split_once('\n').expect("the call has a first line");
        let fields: Vec<&str> = line.split(' ').collect();
        assert_eq!(fields.len(), 4);
        assert!(fields[2].starts_with("d="), "{line}");
        assert_eq!(payload, PAYLOAD);
        ReceivedPart {
            id: fields[0],
            shard: fields[1],
        }
    }
}

/// Receives parts on a connection until it ends. Returns an error if the process ended it.
fn serve(
    mut stream: TcpStream,
    record: &NodeRecord,
    behaviour: &dyn Fn(usize) -> NodeBehaviour,
) -> Result<()> {
    let mut answering = true;
    loop {
        let call = read_call(&mut stream)?;
        let ReceivedPart { id, shard } = ReceivedPart::parse(&call);
        let number = record.record_part(id);
        if !answering {
            continue;
        }
        match behaviour(number) {
            NodeBehaviour::Hang => {}
            NodeBehaviour::StopAnswering => answering = false,
            NodeBehaviour::TruncatedAnswer => {
                answering = false;
                stream.write_all(&[0, 0, 0, 90, b'a', b'9'])?;
            }
            NodeBehaviour::ServeWithShortLength => {
                answering = false;
                write_answer_with_short_length(
                    &mut stream,
                    &served_answer(id, shard),
                    MISSING_LENGTH,
                )?;
            }
            NodeBehaviour::ServeWithNoise => {
                answering = false;
                write_answer(&mut stream, &served_answer(id, shard))?;
                stream.write_all(NOISE)?;
            }
            NodeBehaviour::Disconnect => return Ok(()),
            NodeBehaviour::Fail => write_answer(&mut stream, &format!("{id} broke 0 -\n"))?,
            NodeBehaviour::Reject => write_answer(&mut stream, &format!("{id} skipped 0 -\n"))?,
            NodeBehaviour::Serve => write_answer(&mut stream, &served_answer(id, shard))?,
            NodeBehaviour::ServeAndClose => {
                write_answer(&mut stream, &served_answer(id, shard))?;
                return close_and_wait(&mut stream);
            }
        }
    }
}

fn served_answer(id: &str, shard: &str) -> String {
    format!("{id} served 18 inflight=1,util=0.5\ncell{shard}")
}

/// Closes the sending side and waits until the process closes its side, which it does when it
/// notices the close.
fn close_and_wait(stream: &mut TcpStream) -> Result<()> {
    stream.shutdown(Shutdown::Write)?;
    stream.read(&mut [0; 64]).map(drop)
}

/// Returns the addresses of the nodes, in the same order.
pub fn addresses_of(nodes: &[DataNode]) -> Vec<SocketAddr> {
    nodes.iter().map(|node| node.address).collect()
}

/// A data node whose accept queue is full: no connection to it is established before
/// [`RecordingNode::start`] accepts them.
pub struct UnreachableNode {
    listener: TcpListener,
    /// The connection that fills the accept queue.
    queued: TcpStream,
}

impl UnreachableNode {
    /// Listens without accepting connections.
    pub fn new() -> UnreachableNode {
        use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
        let socket =
            socket(AddressFamily::INET, SocketType::STREAM, None).expect("the socket is created");
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        listen(&socket, 0).expect("the socket listens");
        let listener = TcpListener::from(socket);
        // An accept queue of length 0 holds one connection.
        let queued = TcpStream::connect(listener.local_addr().expect("the listener is bound"))
            .expect("the accept queue is empty");
        UnreachableNode { listener, queued }
    }

    /// Returns the address at which the node will be reachable.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("the listener is bound")
    }
}

/// The parts and connections of a [`RecordingNode`].
#[derive(Default)]
struct Recording {
    /// The ids of the received parts, in order.
    part_ids: Vec<String>,
    open_connections: usize,
}

/// A data node that answers every part and reads every connection until it ends.
pub struct RecordingNode {
    recording: Arc<Mutex<Recording>>,
    threads: OwnedThreadGroup,
}

impl RecordingNode {
    /// Makes a node reachable and starts to answer every part.
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
                recording
                    .lock()
                    .expect("the mutex is not poisoned")
                    .open_connections += 1;
                thread_group.spawn(move || {
                    let record = |id: &str| {
                        recording
                            .lock()
                            .expect("the mutex is not poisoned")
                            .part_ids
                            .push(id.to_owned())
                    };
                    let _ = serve_parts(stream, record);
                    recording
                        .lock()
                        .expect("the mutex is not poisoned")
                        .open_connections -= 1;
                });
            }
        });
        RecordingNode { recording, threads }
    }

    /// Waits until no connection is open and returns the ids of all received parts, in order.
    pub fn wait_until_closed(self) -> Vec<String> {
        let started = Instant::now();
        loop {
            let recording = self.recording.lock().expect("the mutex is not poisoned");
            if recording.open_connections == 0 {
                return recording.part_ids.clone();
            }
            drop(recording);
            assert!(started.elapsed() < CLOSE_TIMEOUT, "a connection stays open");
            std::thread::yield_now();
        }
    }
}
