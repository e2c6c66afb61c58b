//! Data nodes that record every frame on every connection and leave the answers to the test.

use super::frames::{call_part_ids, read_frame, Frame, CALL};
use super::process::Process;
use super::threads::OwnedThreadGroup;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// The time in which a frame that a test waits for must arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);
/// The time in which the connections must end after the process.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// A frame that a node received, and the connection on which its answer is written.
pub struct ReceivedFrame {
    /// The index of the node.
    pub node: usize,
    /// The kind of the frame.
    pub kind: u8,
    /// The text of the frame.
    text: String,
    /// The connection that the frame arrived on.
    pub stream: TcpStream,
}

impl ReceivedFrame {
    /// Returns the ids of the parts of a call.
    pub fn part_ids(&self) -> Vec<String> {
        assert_eq!(self.kind, CALL);
        call_part_ids(&self.text)
    }
}

/// Nodes that accept all connections and pass on every frame, unanswered.
pub struct FrameRecorder {
    frames: Receiver<ReceivedFrame>,
    addresses: Vec<SocketAddr>,
    /// Whether the process has ended: the next connection at each node is the recorder's own.
    over: Arc<AtomicBool>,
    threads: OwnedThreadGroup,
}

impl FrameRecorder {
    /// Starts to accept at each listener, whose index is the node's.
    pub fn start(listeners: [TcpListener; 2]) -> FrameRecorder {
        let (sender, frames) = channel();
        let threads = OwnedThreadGroup::default();
        let over = Arc::new(AtomicBool::new(false));
        let mut addresses = Vec::new();
        for (node, listener) in listeners.into_iter().enumerate() {
            addresses.push(listener.local_addr().expect("bound"));
            let (sender, over, thread_group) = (sender.clone(), over.clone(), threads.0.clone());
            threads.0.spawn(move || {
                for stream in listener.incoming() {
                    let stream = stream.expect("a connection");
                    if over.load(Relaxed) && is_own(&stream) {
                        return;
                    }
                    let sender = sender.clone();
                    thread_group.spawn(move || record_frames(node, stream, &sender));
                }
            });
        }
        FrameRecorder {
            frames,
            addresses,
            over,
            threads,
        }
    }

    /// Waits for the next frame at any node and returns it.
    pub fn wait_for_frame(&self) -> ReceivedFrame {
        let frame = self.frames.recv_timeout(FRAME_TIMEOUT);
        frame.expect("a frame arrives")
    }

    /// Waits for the next call at any node and returns it; cancels before it are skipped.
    pub fn wait_for_call(&self) -> ReceivedFrame {
        loop {
            let frame = self.wait_for_frame();
            if frame.kind == CALL {
                return frame;
            }
        }
    }

    /// Ends the process, reads its connections to their ends, and asserts that no further call was
    /// on any of them.
    pub fn assert_no_further_call(self, process: Process) {
        drop(process);
        self.over.store(true, Relaxed);
        // Connections of the process are before these in the backlog.
        let own = self.addresses.iter().map(TcpStream::connect);
        let own: Vec<_> = own.map(|stream| stream.expect("it listens")).collect();
        let ended = self.threads.0.wait_until_idle(END_TIMEOUT);
        assert!(ended, "connections of a process that has ended stay open");
        drop(own);
        let calls = self.frames.try_iter().filter(|frame| frame.kind == CALL);
        let further: Vec<_> = calls.map(|frame| frame.part_ids()).collect();
        assert!(further.is_empty(), "further calls: {further:?}");
    }
}

/// Returns whether a connection that was accepted after the process ended was made by the
/// recorder: one of the process has ended already.
fn is_own(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("set");
    let waits = stream.peek(&mut [0]).is_err();
    stream.set_nonblocking(false).expect("set");
    waits
}

/// Passes on the frames of a connection until it ends, or until the test has ended.
fn record_frames(node: usize, mut stream: TcpStream, frames: &Sender<ReceivedFrame>) {
    while let Ok(Frame { kind, text }) = read_frame(&mut stream) {
        let frame = ReceivedFrame {
            node,
            kind,
            text,
            stream: stream.try_clone().expect("a handle"),
        };
        if frames.send(frame).is_err() {
            return;
        }
    }
}
