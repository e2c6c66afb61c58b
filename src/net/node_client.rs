//! Connections to data nodes: one carries many parts, so a node has one as long as that is sound.

use super::{spawn, try_read, try_write, IoOutcome, Upstream, SMALL_STACK_WORDS};
use crate::coordinator::{log_throttled, AttemptEnd, AttemptKey, AttemptRequest, Input, COUNTERS};
use crate::interface::{Outcome, ReplicaId};
use crate::proto::frames::{Link, LinkEvent};
use crate::settings::CoordinatorSettings;
use crate::time::{Clock, Micros};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};

/// An idle connection is left alone so long before the other side may close it: a write after that is a reset,
/// and a reset part may have run.
const IDLE_MARGIN: Micros = Micros::from_secs(3);
/// A connection on which nothing came while an attempt was out for so many typical response times, and this on top, is
/// silent: the attempt may be slow, but what matters is that nothing new waits behind it.
const SILENT: (u64, Micros) = (4, Micros::from_millis(5));
/// A response time counts in the typical one for at most so many of those, as in the module's: were it more here, a few
/// odd answers would have the module call an attempt off before its connection counts as silent, again and again.
const ODD_RATIO: u64 = 2;
/// The typical response time before any was seen.
const FIRST_TYPICAL: Micros = Micros::from_millis(60);
/// A frame that began to come is here whole by then, or its length is wrong and it never will be: what comes after it
/// would be taken for its end.
const MAX_PARTIAL: Micros = Micros::from_millis(50);
/// Most connections to one node, whatever happens.
const MAX_LINKS: usize = 4;

/// A connection as the pool and its driver share it.
#[derive(Default)]
struct Slot {
    state: Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    link: Link,
    waker: Option<WaitIoWaker>,
    /// It has ended, or never came up.
    dead: bool,
    /// Close it once nothing is out.
    closing: bool,
    /// Nothing came on it for long while something should have.
    suspect: bool,
    /// Since when the begin of a frame has been here without its end.
    partial: Option<Micros>,
    /// What came on it cannot be used: it is to end now.
    spoilt: bool,
    /// When bytes last came, or when it was opened.
    heard: Micros,
    /// When it was last in use.
    used: Micros,
    /// When each attempt that is out on it was launched.
    sent: HashMap<AttemptKey, Micros>,
    /// How long attempts that were called off since something last came had been out with nothing coming, and up to
    /// when that is counted: attempts that were out together count once.
    unheard: Micros,
    counted: Micros,
}

impl SlotState {
    /// An attempt that has ended is out no more; when it was launched.
    fn forget(&mut self, event: &LinkEvent) -> Option<Micros> {
        match event {
            LinkEvent::Ended(key, _) => self.sent.remove(key),
            _ => None,
        }
    }

    /// How long something has been out while nothing came, those that were called off included.
    fn quiet(&self, now: Micros) -> Micros {
        let oldest = self.sent.values().min().map(|oldest| self.heard.max(*oldest).max(self.counted));
        self.unheard + oldest.map_or(Micros::ZERO, |since| now.since(since))
    }

    /// Bytes came.
    fn hear(&mut self, now: Micros) {
        (self.heard, self.unheard) = (now, Micros::ZERO);
    }

    /// An attempt is given up; true: by now the connection counts as silent. A machine that vanished leaves its
    /// connections open and silent, and resets them when it is back: what goes out on such a one is lost. A new one fails
    /// in time and proves that it never ran.
    fn give_up(&mut self, key: AttemptKey, now: Micros, patience: Micros) -> bool {
        let sent = self.sent.remove(&key).unwrap_or(now);
        // A new connection counts as heard of when its first attempt is launched: that proves nothing yet.
        if self.heard > sent {
            return false;
        }
        self.unheard = self.unheard + now.since(sent.max(self.counted));
        self.counted = now;
        self.unheard > patience
    }
}

/// The typical response time of all nodes, as the drivers see it.
#[derive(Debug)]
struct Typical(AtomicU64);

impl Typical {
    fn saw(&self, took: Micros) {
        let before = self.0.load(Relaxed);
        self.0.store(before - before / 32 + took.0.min(before.saturating_mul(ODD_RATIO)) / 32, Relaxed);
    }

    /// What is quiet for longer is silent.
    fn patience(&self) -> Micros {
        self.overdue() + SILENT.1
    }

    /// The same for what was called off. The module calls off what is overdue by its own reckoning, so nothing on top is
    /// needed: with that, an attempt given up after 6 ms where 1 ms is usual left its connection in use, and the next
    /// attempt, on just such a connection of the other replica, had nowhere to go for the rest of the client's time.
    fn overdue(&self) -> Micros {
        Micros(self.0.load(Relaxed) * SILENT.0)
    }
}

impl Slot {
    fn lock(&self) -> MutexGuard<'_, SlotState> {
        // Nothing panics while it holds the lock; if something did, the state is still whole.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

struct Node {
    address: Option<SocketAddr>,
    ready: bool,
    links: Vec<Arc<Slot>>,
}

/// All connections to data nodes.
pub struct NodeClient {
    nodes: HashMap<ReplicaId, Node>,
    typical: Arc<Typical>,
    inbox: Sender<Input>,
    clock: Clock,
    dial_timeout: Micros,
    idle_limit: Micros,
    most_parts: usize,
}

impl NodeClient {
    /// A pool without connections.
    pub fn new(deployment: &CoordinatorSettings, inbox: Sender<Input>, clock: Clock) -> Self {
        let mut links = NodeClient {
            nodes: HashMap::new(),
            typical: Arc::new(Typical(AtomicU64::new(FIRST_TYPICAL.0))),
            inbox,
            clock,
            dial_timeout: Micros::ZERO,
            idle_limit: Micros::ZERO,
            most_parts: 1,
        };
        links.reconfigure(deployment);
        links
    }

    fn slot(&mut self, replica: ReplicaId, now: Micros, jobs: &[AttemptRequest]) -> Option<Arc<Slot>> {
        let node = self.nodes.get_mut(&replica)?;
        let address = node.address.filter(|_| node.ready)?;
        node.links.retain(|l| !l.lock().dead);
        let (limit, most, patience) = (self.idle_limit, self.most_parts, self.typical.patience());
        let mut silent = None;
        for slot in &node.links {
            let mut state = slot.lock();
            if state.link.idle() && now.since(state.used) >= limit {
                state.closing = true;
                wake(&state);
            }
            if state.closing
                || state.link.load() + jobs.len() > most
                || jobs.iter().any(|j| state.link.owes(j))
            {
                continue;
            }
            // A connection can fall silent while its node is sound: what follows takes another one.
            if state.partial.is_none() && state.quiet(now) <= patience {
                drop(state);
                return Some(slot.clone());
            }
            silent = Some(slot.clone());
        }
        if node.links.len() >= MAX_LINKS {
            return silent;
        }
        COUNTERS.dials.increment();
        let slot = Arc::new(Slot::default());
        {
            let mut state = slot.lock();
            (state.heard, state.used) = (now, now);
        }
        node.links.push(slot.clone());
        let driver = Driver {
            slot: slot.clone(),
            inbox: self.inbox.clone(),
            clock: self.clock,
            typical: self.typical.clone(),
        };
        let dial_timeout = self.dial_timeout;
        if spawn(SMALL_STACK_WORDS, move || driver.run(address, dial_timeout)).is_err() {
            slot.lock().dead = true;
            return None;
        }
        Some(slot)
    }
}

impl Upstream for NodeClient {
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, _now: Micros) {
        let address = address.parse().ok();
        let node = self.nodes.entry(replica).or_insert(Node { address, ready, links: Vec::new() });
        let moved = node.address != address;
        (node.address, node.ready) = (address, ready);
        if moved || !ready {
            // Told of a drain, or of another address: nothing that waits for its connection may still go, nor go out anew
            // on another.
            for slot in &node.links {
                let mut events = Vec::new();
                let mut state = slot.lock();
                state.link.take_back(&mut events);
                for event in &events {
                    let _ = state.forget(event);
                }
                state.closing = true;
                wake(&state);
                drop(state);
                forward(&self.inbox, events);
            }
        }
    }

    fn dispatch(&mut self, replica: ReplicaId, jobs: &[AttemptRequest], now: Micros) {
        let slot = self.slot(replica, now, jobs);
        let Some(slot) = slot else {
            let refused =
                jobs.iter().map(|j| LinkEvent::Ended(j.key, AttemptEnd::Failed(Outcome::ConnectFailed)));
            return forward(&self.inbox, refused);
        };
        let mut state = slot.lock();
        state.link.call(jobs);
        state.sent.extend(jobs.iter().map(|j| (j.key, now)));
        state.used = now;
        wake(&state);
    }

    fn cancel(&mut self, replica: ReplicaId, key: AttemptKey, now: Micros) {
        let patience = self.typical.overdue();
        let Some(node) = self.nodes.get(&replica) else { return };
        for slot in &node.links {
            let mut state = slot.lock();
            if state.link.holds(key) {
                state.link.call_off(key);
                state.used = now;
                if state.give_up(key, now, patience) && !state.suspect {
                    COUNTERS.server_connections_unresponsive.increment();
                    state.suspect = true;
                    state.closing = true;
                }
                wake(&state);
            }
        }
    }

    fn remove_server(&mut self, replica: ReplicaId) {
        if let Some(node) = self.nodes.remove(&replica) {
            // No attempt is out on any of them: what still stands open ends here.
            node.links.iter().for_each(|l| close_when_idle(l));
        }
    }

    fn close_idle(&mut self, replica: ReplicaId) {
        if let Some(node) = self.nodes.get(&replica) {
            node.links.iter().filter(|l| l.lock().link.idle()).for_each(|l| close_when_idle(l));
        }
    }

    fn reconfigure(&mut self, deployment: &CoordinatorSettings) {
        let idle = Micros::from_nanos(deployment.idle_timeout);
        self.dial_timeout = Micros::from_nanos(deployment.connect_timeout);
        self.idle_limit = (idle - IDLE_MARGIN).max(Micros(idle.0 / 2));
        self.most_parts = deployment.max_streams_per_connection;
    }

    fn reap(&mut self, now: Micros, _out: &dyn Fn(AttemptKey) -> bool) {
        let limit = self.idle_limit;
        for node in self.nodes.values_mut() {
            node.links.retain(|slot| {
                let mut state = slot.lock();
                if state.partial.is_some_and(|since| now.since(since) > MAX_PARTIAL) && !state.spoilt {
                    log_throttled(&COUNTERS.bad_frames, || {
                        format!("data node {:?}: a frame without its end", node.address)
                    });
                    (state.spoilt, state.closing) = (true, true);
                    wake(&state);
                }
                if state.link.idle() && !state.closing && now.since(state.used) >= limit {
                    COUNTERS.server_connections_idle_closed.increment();
                    state.closing = true;
                    wake(&state);
                }
                !state.dead
            });
        }
    }
}

fn wake(state: &SlotState) {
    if let Some(waker) = &state.waker {
        waker.wakeup();
    }
}

fn close_when_idle(slot: &Slot) {
    let mut state = slot.lock();
    state.closing = true;
    wake(&state);
}

fn forward(inbox: &Sender<Input>, events: impl IntoIterator<Item = LinkEvent>) {
    for event in events {
        let input = match event {
            LinkEvent::Begun(key) => Input::WriteStarted(key),
            LinkEvent::Written(key) => Input::FullyWritten(key),
            LinkEvent::Ended(key, end) => Input::AttemptEnded { key, end },
        };
        // The core outlives every driver.
        let _ = inbox.send(input);
    }
}

struct Driver {
    slot: Arc<Slot>,
    inbox: Sender<Input>,
    clock: Clock,
    typical: Arc<Typical>,
}

impl Driver {
    fn run(self, address: SocketAddr, dial_timeout: Micros) {
        while self.connect_and_drive(address, dial_timeout) {
            // The node closed the connection before anything that waits was written: it is owed another one.
            let mut state = self.slot.lock();
            state.waker = None;
            state.partial = None;
            if state.closing || !state.link.restart() {
                break;
            }
            COUNTERS.server_connections_redialed.increment();
            COUNTERS.dials.increment();
        }
        let mut events = Vec::new();
        {
            let mut state = self.slot.lock();
            state.dead = true;
            state.waker = None;
            if !state.link.idle() {
                COUNTERS.server_connections_lost.increment();
            }
            state.link.broken(&mut events);
        }
        self.forward(events);
    }

    /// False: no connection came up. True: one did, and has ended.
    fn connect_and_drive(&self, address: SocketAddr, dial_timeout: Micros) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&address, dial_timeout.to_duration()) else {
            COUNTERS.dials_failed.increment();
            return false;
        };
        // Only speed is lost without it.
        let _ = stream.set_nodelay(true);
        self.slot.lock().waker = Some(stream.waker());
        let mut heard = false;
        while self.step(stream.inner(), &mut heard) {
            stream.wait_io();
        }
        // One that ends before a whole frame came is no better than none: another would end alike, and one that brings
        // nothing but rubbish would be dialled again without a pause.
        heard
    }

    /// Reads and writes what there is. False: the connection has ended.
    fn step(&self, stream: &std::net::TcpStream, heard: &mut bool) -> bool {
        let mut events = Vec::new();
        let mut state = self.slot.lock();
        let open = !state.spoilt && self.exchange(&mut state, stream, &mut events, heard);
        let done = state.closing && state.link.idle();
        drop(state);
        self.forward(events);
        open && !done
    }

    fn exchange(
        &self,
        state: &mut SlotState,
        stream: &std::net::TcpStream,
        events: &mut Vec<LinkEvent>,
        heard: &mut bool,
    ) -> bool {
        // Reading comes first: a frame must not go out on a connection whose end is here already.
        loop {
            match try_read(stream, state.link.input().free_space()) {
                IoOutcome::Transferred(n) => {
                    state.link.input().commit(n);
                    state.hear(self.clock.now());
                    let read = state.link.read(events);
                    for event in events.iter() {
                        let sent = state.forget(event);
                        if let (Some(sent), LinkEvent::Ended(_, AttemptEnd::Served(_))) = (sent, event) {
                            self.typical.saw(state.heard.since(sent));
                        }
                    }
                    match read {
                        Ok(whole) => {
                            *heard |= whole > 0;
                            let since = state.partial.filter(|_| whole == 0).or(Some(state.heard));
                            state.partial = since.filter(|_| state.link.partial());
                        }
                        Err(bad) => {
                            log_throttled(&COUNTERS.bad_frames, || {
                                format!("data node {}: {}", stream_name(stream), bad.0)
                            });
                            return false;
                        }
                    }
                }
                IoOutcome::WouldBlock => break,
                IoOutcome::EndOfStream | IoOutcome::Broken => return false,
            }
        }
        while !state.link.output().is_empty() {
            match try_write(stream, state.link.output()) {
                IoOutcome::Transferred(n) => state.link.wrote(n, events),
                IoOutcome::WouldBlock => break,
                IoOutcome::EndOfStream | IoOutcome::Broken => return false,
            }
        }
        true
    }

    fn forward(&self, events: Vec<LinkEvent>) {
        forward(&self.inbox, events);
    }
}

fn stream_name(stream: &std::net::TcpStream) -> String {
    stream.peer_addr().map_or_else(|_| "?".to_owned(), |a| a.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::coordinator::ClassMetrics;
    use crate::interface::{AttemptNo, PartId, ShardId};
    use std::net::TcpListener;

    fn key(part: u64) -> AttemptKey {
        AttemptKey { part: PartId(part), attempt: AttemptNo(0) }
    }

    #[test]
    fn silence_adds_up_over_attempts_that_are_called_off() {
        // Each was called off before it alone was overdue here, and the next one went out on the same connection, until a
        // part had no attempt left.
        let (ms, patience) = (Micros::from_millis, Micros::from_millis(25));
        let mut state = SlotState::default();
        for (n, silent) in [(1, false), (2, false), (3, true)] {
            let at = ms(n * 100);
            state.sent.insert(key(n), at);
            assert!(state.quiet(at) <= patience);
            assert_eq!(state.give_up(key(n), at + ms(10), patience), silent, "attempt {n}");
        }
        assert!(state.quiet(ms(400)) > patience, "nothing more goes there");
        let mut fresh = SlotState { heard: ms(100), ..SlotState::default() };
        fresh.sent.insert(key(1), ms(100));
        assert!(fresh.give_up(key(1), ms(150), patience), "nothing ever came on it");
        state.hear(ms(500));
        assert_eq!(state.quiet(ms(900)), Micros::ZERO);
        for n in 5..25 {
            state.sent.insert(key(n), ms(1_000));
        }
        assert!((5..25).all(|n| !state.give_up(key(n), ms(1_010), patience)), "out together: counted once");
    }

    #[test]
    fn nothing_goes_out_on_a_connection_whose_end_is_here() {
        // A part that was written to a connection that its node had closed counts as one that may have run.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stream =
            std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
        drop(listener.accept().expect("a connection"));
        assert_eq!(stream.peek(&mut [0]).expect("its end"), 0);
        stream.set_nonblocking(true).expect("set");
        let driver = Driver {
            slot: Arc::default(),
            inbox: may::sync::mpsc::channel().0,
            clock: Clock::start(),
            typical: Arc::new(Typical(AtomicU64::new(1_000))),
        };
        let slot = driver.slot.clone();
        let mut state = slot.lock();
        state.link.call(&[AttemptRequest {
            key: key(1),
            request_id: "q1".into(),
            shard: ShardId(0),
            payload: Arc::from(&b"c41e77d0"[..]),
            context: None,
            timeout: Micros::from_millis(100),
            metrics: Arc::new(ClassMetrics::default()),
        }]);
        let mut events = Vec::new();
        assert!(!driver.exchange(&mut state, &stream, &mut events, &mut true), "it has ended");
        assert!(events.is_empty(), "nothing was written: {events:?}");
        assert!(state.link.restart(), "the part is owed another connection");
    }

    #[test]
    fn a_connection_that_brought_only_rubbish_is_not_dialled_again_at_once() {
        // It counted as one that had served, so its waiting parts had another one dialled, for as long as they waited.
        for (bytes, served) in [(&b"\0\0\0\x06zwhat"[..], false), (b"\0\0\0\x02l-", true)] {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let stream =
                std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
            let (mut node, _) = listener.accept().expect("a connection");
            std::io::Write::write_all(&mut node, bytes).expect("written");
            drop(node);
            stream.peek(&mut [0]).expect("it is here");
            stream.set_nonblocking(true).expect("set");
            let driver = Driver {
                slot: Arc::default(),
                inbox: may::sync::mpsc::channel().0,
                clock: Clock::start(),
                typical: Arc::new(Typical(AtomicU64::new(1_000))),
            };
            let (slot, mut heard) = (driver.slot.clone(), false);
            while driver.exchange(&mut slot.lock(), &stream, &mut Vec::new(), &mut heard) {}
            assert_eq!(heard, served);
        }
    }

    #[test]
    fn a_few_odd_answers_do_not_lengthen_the_patience() {
        let typical = Typical(AtomicU64::new(1_000));
        (0..5).for_each(|_| typical.saw(Micros::from_secs(2)));
        assert!(typical.patience() < Micros::from_millis(10), "{typical:?}");
        assert_eq!(typical.patience(), typical.overdue() + SILENT.1);
        (0..500).for_each(|_| typical.saw(Micros::from_millis(20)));
        assert!(typical.patience() > Micros::from_millis(80), "what is usual is learned: {typical:?}");
    }
}
