//! The driver of one connection to a data node: a coroutine that dials, reads, writes, and reports
//! events to the coordinator.

use super::connection::{ConnectionState, NodeConnection};
use super::silence::ResponseTimeBaseline;
use crate::coordinator::{log_throttled, AttemptEnd, Input, COUNTERS};
use crate::net::{spawn, try_read, try_write, IoOutcome, SMALL_STACK_WORDS};
use crate::proto::frames::AttemptEvent;
use crate::time::{Clock, Micros};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// The context that the drivers of all connections share.
#[derive(Clone)]
pub(super) struct DriverContext {
    /// The coordinator's inbox.
    pub(super) inbox: Sender<Input>,
    /// The clock that the drivers read.
    pub(super) clock: Clock,
    /// The baseline response time of all nodes.
    pub(super) baseline: Arc<ResponseTimeBaseline>,
}

impl DriverContext {
    /// Reports events to the coordinator.
    pub(super) fn forward(&self, events: impl IntoIterator<Item = AttemptEvent>) {
        for event in events {
            let input = match event {
                AttemptEvent::WriteStarted(key) => Input::WriteStarted(key),
                AttemptEvent::FullyWritten(key) => Input::FullyWritten(key),
                AttemptEvent::Ended(key, end) => Input::AttemptEnded { key, end },
            };
            // The coordinator outlives every driver, so the inbox is open.
            let _ = self.inbox.send(input);
        }
    }
}

/// The target of a dial.
#[derive(Clone, Copy)]
pub(super) struct DialTarget {
    /// The address of the node.
    pub(super) address: SocketAddr,
    /// The timeout of the connect.
    pub(super) timeout: Micros,
}

/// The driver of one connection, which runs until the connection ends.
pub(super) struct ConnectionDriver {
    connection: Arc<NodeConnection>,
    context: DriverContext,
}

impl ConnectionDriver {
    /// Creates the driver of a connection.
    pub(super) fn new(connection: Arc<NodeConnection>, context: DriverContext) -> Self {
        ConnectionDriver {
            connection,
            context,
        }
    }

    /// Starts the driver on its own coroutine.
    pub(super) fn start(self, target: DialTarget) -> io::Result<()> {
        spawn(SMALL_STACK_WORDS, move || self.run(target)).map(drop)
    }

    fn run(self, target: DialTarget) {
        while self.connect_and_drive(target) {
            // Attempts that were not written when the node closed the connection are sent on
            // another one.
            if !self.connection.lock().prepare_redial() {
                break;
            }
            COUNTERS.server_connections_redialed.increment();
            COUNTERS.dials.increment();
        }
        self.finish();
    }

    /// Marks the connection as closed and fails the attempts that have not ended.
    fn finish(&self) {
        let mut events = Vec::new();
        {
            let mut state = self.connection.lock();
            state.closed = true;
            state.waker = None;
            if !state.protocol.is_idle() {
                COUNTERS.server_connections_lost.increment();
            }
            state.protocol.fail_all(&mut events);
        }
        self.context.forward(events);
    }

    /// Establishes a connection and drives it to its end. Returns whether the node may be dialed
    /// again at once. It may not if the connection could not be established, or ended before a
    /// complete frame was received: the next connection would probably end in the same way, and a
    /// node that sends only invalid bytes would be dialed without a pause.
    fn connect_and_drive(&self, target: DialTarget) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&target.address, target.timeout.to_duration())
        else {
            COUNTERS.dials_failed.increment();
            return false;
        };
        // Without this option requests are only delayed, so an error is ignored.
        let _ = stream.set_nodelay(true);
        self.on_connected(stream.waker());
        while self.step(stream.inner()) {
            stream.wait_io();
        }
        self.connection.lock().frame_received
    }

    fn on_connected(&self, waker: WaitIoWaker) {
        let mut state = self.connection.lock();
        state.waker = Some(waker);
        state.frame_received = false;
    }

    /// Reads and writes until the socket would block. Returns whether the connection stays open.
    fn step(&self, stream: &std::net::TcpStream) -> bool {
        let mut events = Vec::new();
        let mut state = self.connection.lock();
        let open = !state.corrupt && self.exchange(&mut state, stream, &mut events);
        let finished = state.superseded || (state.closing && state.protocol.is_idle());
        drop(state);
        self.context.forward(events);
        open && !finished
    }

    /// Reads, then writes. Returns whether the connection stays open. Reading comes first and shows
    /// whether the node has closed the connection: no frame may be sent on a closed connection, nor
    /// to a process that has ended.
    fn exchange(
        &self,
        state: &mut ConnectionState,
        stream: &std::net::TcpStream,
        events: &mut Vec<AttemptEvent>,
    ) -> bool {
        let open = self.read_available(state, stream, events);
        state.protocol.confirm_last_answer(events);
        self.record_ended(state, events);
        open && (state.superseded || write_pending(state, stream, events))
    }

    /// Reads until the socket would block. Returns whether the connection stays open.
    fn read_available(
        &self,
        state: &mut ConnectionState,
        stream: &std::net::TcpStream,
        events: &mut Vec<AttemptEvent>,
    ) -> bool {
        loop {
            match try_read(stream, state.protocol.input().free_space()) {
                IoOutcome::Transferred(bytes) => {
                    state.protocol.input().commit(bytes);
                    if !self.process_received(state, stream, events) {
                        return false;
                    }
                }
                IoOutcome::WouldBlock => return true,
                IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => return false,
            }
        }
    }

    /// Processes the bytes of the last read. Returns whether they follow the protocol.
    fn process_received(
        &self,
        state: &mut ConnectionState,
        stream: &std::net::TcpStream,
        events: &mut Vec<AttemptEvent>,
    ) -> bool {
        let now = self.context.clock.now();
        state.silence.record_received(now);
        match state.protocol.process_input(events) {
            Ok(complete_frames) => {
                state.record_frames(complete_frames, now);
                true
            }
            Err(error) => {
                log_throttled(&COUNTERS.bad_frames, || {
                    let address = peer_name(stream);
                    tracing::warn!(
                        address,
                        %error,
                        "data node connection closed after a protocol error"
                    );
                });
                false
            }
        }
    }

    /// Records the attempts that have ended, and the response times of those that were served.
    fn record_ended(&self, state: &mut ConnectionState, events: &[AttemptEvent]) {
        if events.is_empty() {
            return;
        }
        let now = self.context.clock.now();
        for event in events {
            let AttemptEvent::Ended(key, end) = event else {
                continue;
            };
            let dispatched_at = state.silence.record_ended(*key);
            if let (Some(dispatched_at), AttemptEnd::Served(_)) = (dispatched_at, end) {
                self.context.baseline.record(now.since(dispatched_at));
            }
        }
    }
}

/// Writes until the socket would block or nothing is left. Returns whether the connection stays
/// open.
fn write_pending(
    state: &mut ConnectionState,
    stream: &std::net::TcpStream,
    events: &mut Vec<AttemptEvent>,
) -> bool {
    while !state.protocol.output().is_empty() {
        match try_write(stream, state.protocol.output()) {
            IoOutcome::Transferred(bytes) => state.protocol.record_written(bytes, events),
            IoOutcome::WouldBlock => break,
            IoOutcome::EndOfStream | IoOutcome::ConnectionFailed => return false,
        }
    }
    true
}

fn peer_name(stream: &std::net::TcpStream) -> String {
    stream
        .peer_addr()
        .map_or_else(|_| "?".to_owned(), |address| address.to_string())
}

#[cfg(test)]
mod tests;
