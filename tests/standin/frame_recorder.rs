//! Stand-in data nodes that pass every frame to the test, which sends the answers.

use super::frames::{call_part_ids, read_frame, Frame, CALL};
use super::process::Process;
use super::threads::OwnedThreadGroup;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::Duration;

/// The time within which a frame that a test waits for must arrive.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);
/// The time within which the connections must end after the process has exited.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A frame that a node has received.
pub struct ReceivedFrame {
    /// The index of the node.
    pub node: usize,
    /// The letter that denotes the kind of the frame.
    pub kind: u8,
    /// The text of the frame.
    text: String,
    /// The connection on which the frame arrived, for the answer.
    pub stream: TcpStream,
}

impl ReceivedFrame {
    /// Returns the ids of the parts in the frame, which must be a call.
    pub fn part_ids(&self) -> Vec<String> {
        assert_eq!(self.kind, CALL);
        call_part_ids(&self.text)
    }
}

/// Two data nodes that accept all connections and pass every frame to the test.
pub struct FrameRecorder {
    frames: Receiver<ReceivedFrame>,
    addresses: Vec<SocketAddr>,
    /// Whether the process has exited. Each node then accepts one more connection, which the
    /// recorder makes, and stops.
    process_exited: Arc<AtomicBool>,
    threads: OwnedThreadGroup,
}

impl FrameRecorder {
    /// Starts to accept connections. The index of a listener is that of its node.
    pub fn start(listeners: [TcpListener; 2]) -> FrameRecorder {
        let (sender, frames) = channel();
        let threads = OwnedThreadGroup::default();
        let process_exited = Arc::new(AtomicBool::new(false));
        let mut addresses = Vec::new();
        for (node, listener) in listeners.into_iter().enumerate() {
            addresses.push(listener.local_addr().expect("the listener is bound"));
            let (sender, process_exited, thread_group) =
                (sender.clone(), process_exited.clone(), threads.0.clone());
            threads.0.spawn(move || {
                for stream in listener.incoming() {
                    let stream = stream.expect("the connection is accepted");
                    if process_exited.load(Relaxed) && is_recorder_connection(&stream) {
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
            process_exited,
            threads,
        }
    }

    /// Waits for the next frame at any node and returns it.
    pub fn wait_for_frame(&self) -> ReceivedFrame {
        let frame = self.frames.recv_timeout(FRAME_TIMEOUT);
        frame.expect("a frame arrives within the timeout")
    }

    /// Waits for the next call at any node and returns it. Skips frames of other kinds.
    pub fn wait_for_call(&self) -> ReceivedFrame {
        loop {
            let frame = self.wait_for_frame();
            if frame.kind == CALL {
                return frame;
            }
        }
    }

    /// Kills the process, reads its connections until they end, and asserts that no further call
    /// was sent on them.
    pub fn assert_no_further_call(self, process: Process) {
        drop(process);
        self.process_exited.store(true, Relaxed);
        // Each node accepts the connections of the process before these, which end its thread.
        let streams = self.addresses.iter().map(TcpStream::connect);
        let streams: Vec<_> = streams
            .map(|stream| stream.expect("the node listens"))
            .collect();
        let ended = self.threads.0.wait_until_idle(CLOSE_TIMEOUT);
        assert!(ended, "connections of an exited process are still open");
        drop(streams);
        let calls = self.frames.try_iter().filter(|frame| frame.kind == CALL);
        let further: Vec<_> = calls.map(|frame| frame.part_ids()).collect();
        assert!(further.is_empty(), "further calls: {further:?}");
    }
}

/// Returns whether a connection that was accepted after the process had exited is open, and so was
/// made by the recorder: all connections of the process have ended.
fn is_recorder_connection(stream: &TcpStream) -> bool {
    stream
        .set_nonblocking(true)
        .expect("the stream is set to non-blocking");
    let is_open = stream.peek(&mut [0]).is_err();
    stream
        .set_nonblocking(false)
        .expect("the stream is set to blocking");
    is_open
}

/// Passes the frames of a connection to the test until the connection or the test ends.
fn record_frames(node: usize, mut stream: TcpStream, frames: &Sender<ReceivedFrame>) {
    while let Ok(Frame { kind, text }) = read_frame(&mut stream) {
        let frame = ReceivedFrame {
            node,
            kind,
            text,
            stream: stream.try_clone().expect("the socket is duplicated"),
        };
        if frames.send(frame).is_err() {
            return;
        }
    }
}
