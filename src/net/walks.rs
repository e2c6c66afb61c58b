//! Attempts at feature servers: each walks its pages over one connection, taken from those that stand idle.

use super::{spawn, try_read, try_write, Tried, Upstream, LARGE_STACK};
use crate::core::{AttemptKey, End, Input, Job, Tally, COUNTERS};
use crate::front::ogc::config::Edge;
use crate::front::ogc::{lock, SharedCatalog};
use crate::interface::{Outcome, ReplicaId};
use crate::proto::pages::{Bounds, Walk, Walked};
use crate::time::{Clock, Micros};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Connections to all servers at a time: what the clients' bound leaves, with some to spare.
const MOST_OPEN: usize = 200;
/// A server that drains gets no new page request later than this after it was told.
const DRAIN_GRACE: Micros = Micros::from_millis(250);

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

#[derive(Default)]
struct Server {
    address: Option<SocketAddr>,
    ready: bool,
    /// When it was told to drain.
    drained: Option<Micros>,
    idle: Vec<(TcpStream, Micros)>,
    busy: usize,
}

#[derive(Default)]
struct Slot {
    called_off: bool,
    waker: Option<WaitIoWaker>,
}

/// All attempts and connections to feature servers.
pub struct Walks {
    servers: HashMap<ReplicaId, Arc<Mutex<Server>>>,
    out: HashMap<AttemptKey, Arc<Mutex<Slot>>>,
    catalog: SharedCatalog,
    inbox: Sender<Input>,
    clock: Clock,
    bounds: Bounds,
    dial_timeout: Micros,
    idle_limit: Micros,
    most: usize,
}

impl Walks {
    /// None yet.
    pub fn new(edge: &Edge, catalog: SharedCatalog, inbox: Sender<Input>, clock: Clock) -> Self {
        Walks {
            servers: HashMap::new(),
            out: HashMap::new(),
            catalog,
            inbox,
            clock,
            bounds: Bounds { pages: edge.most_pages, bytes: edge.most_bytes },
            dial_timeout: Micros::from_millis(edge.dial_timeout_ms),
            idle_limit: Micros::from_millis(edge.idle_ms),
            most: edge.most_connections,
        }
    }

    /// Is there room for one more connection? Idle ones give way.
    fn room(&self) -> bool {
        let sum =
            |count: fn(&Server) -> usize| self.servers.values().map(|s| count(&guard(s))).sum::<usize>();
        if sum(|s| s.busy + s.idle.len()) >= MOST_OPEN {
            self.servers.values().for_each(|s| guard(s).idle.clear());
        }
        sum(|s| s.busy) < MOST_OPEN
    }

    fn start(&mut self, replica: ReplicaId, job: &Job) -> Result<(), Outcome> {
        if !self.room() {
            // Like a server that has all the connections it takes: nothing was sent.
            return Err(Outcome::ConnectFailed);
        }
        let server = self.servers.get(&replica).ok_or(Outcome::Moot)?;
        let address = {
            let mut state = guard(server);
            let address = state.address.filter(|_| state.ready).ok_or(Outcome::Moot)?;
            if state.busy >= self.most {
                return Err(Outcome::ConnectFailed);
            }
            state.busy += 1;
            address
        };
        let source = lock(&self.catalog).source(job.shard).map(str::to_owned);
        let text = String::from_utf8_lossy(&job.text);
        let path = source.map(|s| format!("/collections/{s}/{text}"));
        let walk = path.and_then(|p| Walk::start(&address.to_string(), &p, self.bounds));
        let slot = Arc::new(Mutex::new(Slot::default()));
        self.out.insert(job.key, slot.clone());
        let driver = walk.map(|walk| Driver {
            walk,
            server: server.clone(),
            slot,
            key: job.key,
            tally: job.tally.clone(),
            inbox: self.inbox.clone(),
            clock: self.clock,
            dial_timeout: self.dial_timeout,
            idle_limit: self.idle_limit,
        });
        let started = driver.is_some_and(|d| spawn(LARGE_STACK, move || d.run(address)).is_ok());
        if !started {
            guard(server).busy -= 1;
            self.out.remove(&job.key);
            return Err(Outcome::Moot);
        }
        Ok(())
    }
}

impl Upstream for Walks {
    fn server(&mut self, replica: ReplicaId, address: &str, ready: bool, now: Micros) {
        let server = self.servers.entry(replica).or_default();
        let mut state = guard(server);
        let address = address.parse().ok();
        if state.address != address || !ready {
            state.idle.clear();
        }
        state.address = address;
        state.drained = if ready { None } else { state.drained.or(Some(now)) };
        state.ready = ready;
    }

    fn launch(&mut self, replica: ReplicaId, jobs: &[Job], _now: Micros) {
        for job in jobs {
            if let Err(outcome) = self.start(replica, job) {
                let _ = self.inbox.send(Input::Ended(job.key, End::Not(outcome)));
            }
        }
    }

    fn call_off(&mut self, _replica: ReplicaId, key: AttemptKey, _now: Micros) {
        if let Some(slot) = self.out.remove(&key) {
            let mut state = guard(&slot);
            state.called_off = true;
            if let Some(waker) = &state.waker {
                waker.wakeup();
            }
        }
    }

    fn forget(&mut self, replica: ReplicaId) {
        self.servers.remove(&replica);
    }

    fn close_idle(&mut self, replica: ReplicaId) {
        if let Some(server) = self.servers.get(&replica) {
            guard(server).idle.clear();
        }
    }

    fn probe(&mut self, replica: ReplicaId, _now: Micros) {
        // The settings of this front allow none.
        let _ = self.inbox.send(Input::Probed(replica, Outcome::Moot, Vec::new()));
    }

    fn tidy(&mut self, now: Micros, out: &dyn Fn(AttemptKey) -> bool) {
        for server in self.servers.values() {
            let mut state = guard(server);
            let before = state.idle.len();
            state.idle.retain(|(_, since)| now.since(*since) < self.idle_limit);
            COUNTERS.links_idle_closed.add_n(before - state.idle.len());
        }
        self.out.retain(|key, _| out(*key));
    }
}

struct Driver {
    walk: Walk,
    server: Arc<Mutex<Server>>,
    slot: Arc<Mutex<Slot>>,
    key: AttemptKey,
    tally: Arc<Tally>,
    inbox: Sender<Input>,
    clock: Clock,
    dial_timeout: Micros,
    idle_limit: Micros,
}

impl Driver {
    fn run(mut self, address: SocketAddr) {
        let mut stream = self.idle_connection().or_else(|| self.dial(address));
        let end = loop {
            let walked = match &stream {
                Some(stream) => self.drive(stream),
                None => self.walk.broken(),
            };
            match walked {
                Walked::Done(end) => break end,
                // Some servers close the connection after every page.
                _ => stream = self.dial(address),
            }
        };
        let mut server = guard(&self.server);
        server.busy -= 1;
        let sound =
            matches!(end, End::Served(_) | End::Not(Outcome::Full)) && self.walk.reusable() && server.ready;
        if let Some(stream) = stream.filter(|_| sound) {
            guard(&self.slot).waker = None;
            server.idle.push((stream, self.clock.now()));
        }
        drop(server);
        // The core passes over the end of an attempt that it called off.
        let _ = self.inbox.send(Input::Ended(self.key, end));
    }

    fn dial(&self, address: SocketAddr) -> Option<TcpStream> {
        COUNTERS.dials.add();
        let stream = TcpStream::connect_timeout(&address, self.dial_timeout.to_duration());
        if stream.is_err() {
            COUNTERS.dials_failed.add();
        }
        stream.ok()
    }

    /// Walks on over this connection until the walk has ended or wants another one.
    fn drive(&mut self, stream: &TcpStream) -> Walked {
        // Only speed is lost without it.
        let _ = stream.set_nodelay(true);
        self.walk.connected();
        guard(&self.slot).waker = Some(stream.waker());
        loop {
            let walked = self.step(stream.inner());
            if walked != Walked::On {
                return walked;
            }
            stream.wait_io();
        }
    }

    /// An idle connection that is still open: a request on one that the server has closed would be lost.
    fn idle_connection(&self) -> Option<TcpStream> {
        let mut server = guard(&self.server);
        while let Some((stream, since)) = server.idle.pop() {
            let fresh = self.clock.now().since(since) < self.idle_limit;
            if fresh && matches!(try_read(stream.inner(), &mut [0]), Tried::Wait) {
                return Some(stream);
            }
        }
        None
    }

    /// May another request of this walk begin? The last look before it is written.
    fn may_write(&self) -> bool {
        let server = guard(&self.server);
        let first = !self.walk.may_have_run();
        match server.drained {
            None => true,
            Some(_) if first => false,
            Some(told) => self.clock.now().since(told) < DRAIN_GRACE,
        }
    }

    fn step(&mut self, stream: &std::net::TcpStream) -> Walked {
        if guard(&self.slot).called_off {
            return Walked::Done(self.called_off());
        }
        loop {
            let more = self.write(stream);
            if more != Walked::On {
                return more;
            }
            match try_read(stream, self.walk.reader.input.room()) {
                Tried::Moved(n) => {
                    self.walk.reader.input.filled(n);
                    match self.walk.advance() {
                        Walked::NextPage if !self.walk.wants_connection() => {}
                        Walked::On => {}
                        walked => return walked,
                    }
                }
                Tried::Wait => return Walked::On,
                Tried::Ended => return self.walk.broken(),
            }
        }
    }

    fn write(&mut self, stream: &std::net::TcpStream) -> Walked {
        while !self.walk.output().is_empty() {
            if self.walk.page_not_begun() && !self.may_write() {
                return Walked::Done(self.called_off());
            }
            match try_write(stream, self.walk.output()) {
                Tried::Moved(n) => {
                    if self.walk.wrote(n) {
                        self.tally.tries.add();
                        let _ = self.inbox.send(Input::Written(self.key));
                    }
                }
                Tried::Wait => break,
                Tried::Ended => return self.walk.broken(),
            }
        }
        Walked::On
    }

    fn called_off(&self) -> End {
        End::Not(if self.walk.may_have_run() { Outcome::Error } else { Outcome::Moot })
    }
}
