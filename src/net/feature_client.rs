//! Attempts at feature servers: each a request over one connection, taken from those that stand idle.

use super::{spawn, try_read, try_write, IoOutcome, Upstream, LARGE_STACK_WORDS};
use crate::coordinator::{AttemptEnd, AttemptKey, AttemptRequest, ClassMetrics, Input, COUNTERS};
use crate::front::ogc::config::Edge;
use crate::front::ogc::visit::Visit;
use crate::interface::{Outcome, ReplicaId};
use crate::limits::{ConcurrencyLimiter, LimitRule, RequestOutcome, ServerCapacity};
use crate::proto::fetch::{Fetch, Progress};
use crate::time::{Clock, Micros};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use may::sync::mpsc::Sender;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Connections to all servers at a time: what the clients' bound leaves, with some to spare.
const MAX_OPEN: usize = 200;

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

struct Server {
    address: Option<SocketAddr>,
    ready: bool,
    idle: Vec<(TcpStream, Micros)>,
    busy: usize,
    limiter: ConcurrencyLimiter,
    /// What waits for others to end, the longest first.
    waiting: VecDeque<Driver>,
}

/// Attempts that wait at a server, as a multiple of its limit: more would only find out late that they come too late.
const MAX_WAITING: usize = 4;

impl Server {
    /// One of which nothing is known yet.
    fn new(rule: LimitRule) -> Self {
        let limiter = ConcurrencyLimiter::new(rule);
        Server { address: None, ready: false, idle: Vec::new(), busy: 0, limiter, waiting: VecDeque::new() }
    }

    /// What waits and may begin now.
    fn next(&mut self, now: Micros) -> Vec<Driver> {
        let mut next = Vec::new();
        while self.ready && self.limiter.has_capacity(self.busy, now) {
            let Some(driver) = self.waiting.pop_front() else { break };
            if !guard(&driver.slot).called_off {
                self.busy += 1;
                next.push(driver);
            }
        }
        next
    }
}

#[derive(Default)]
struct Slot {
    called_off: bool,
    waker: Option<WaitIoWaker>,
}

/// All attempts and connections to feature servers.
pub struct FeatureClient {
    servers: HashMap<ReplicaId, Arc<Mutex<Server>>>,
    out: HashMap<AttemptKey, Arc<Mutex<Slot>>>,
    inbox: Sender<Input>,
    clock: Clock,
    most_body: usize,
    dial_timeout: Micros,
    idle_limit: Micros,
    rule: LimitRule,
    bears: Arc<ServerCapacity>,
}

impl FeatureClient {
    /// None yet.
    pub fn new(edge: &Edge, inbox: Sender<Input>, clock: Clock, bears: Arc<ServerCapacity>) -> Self {
        FeatureClient {
            servers: HashMap::new(),
            out: HashMap::new(),
            inbox,
            clock,
            most_body: edge.most_bytes,
            dial_timeout: Micros::from_millis(edge.dial_timeout_ms),
            idle_limit: Micros::from_millis(edge.idle_ms),
            rule: edge.limit_rule(),
            bears,
        }
    }

    /// Is there room for one more connection? Idle ones give way.
    fn room(&self) -> bool {
        let sum =
            |count: fn(&Server) -> usize| self.servers.values().map(|s| count(&guard(s))).sum::<usize>();
        if sum(|s| s.busy + s.idle.len()) >= MAX_OPEN {
            self.servers.values().for_each(|s| guard(s).idle.clear());
        }
        sum(|s| s.busy) < MAX_OPEN
    }

    fn start(&mut self, replica: ReplicaId, job: &AttemptRequest) -> Result<(), Outcome> {
        if !self.room() {
            // Like a server that has all the connections it takes: nothing was sent.
            return Err(Outcome::ConnectFailed);
        }
        let now = self.clock.now();
        let server = self.servers.get(&replica).ok_or(Outcome::NotSent)?;
        let visit = job.context.as_ref().and_then(|e| e.get::<Visit>()).ok_or(Outcome::NotSent)?;
        let slot = Arc::new(Mutex::new(Slot::default()));
        let driver = {
            let mut state = guard(server);
            let address = state.address.filter(|_| state.ready).ok_or(Outcome::NotSent)?;
            let (limiter, waiting) = (&state.limiter, state.waiting.len());
            if limiter.is_backing_off(now) || waiting >= MAX_WAITING * limiter.limit() {
                // It wishes to be left alone, or more wait than it can serve in time: nothing was sent.
                return Err(Outcome::Rejected);
            }
            let begins = limiter.has_capacity(state.busy, now) && waiting == 0;
            let driver = Driver {
                fetch: Fetch::new(visit.request(&address.to_string()), self.most_body),
                visit,
                address,
                replica,
                server: server.clone(),
                slot: slot.clone(),
                key: job.key,
                tally: job.metrics.clone(),
                inbox: self.inbox.clone(),
                clock: self.clock,
                dial_timeout: self.dial_timeout,
                idle_limit: self.idle_limit,
                bears: self.bears.clone(),
            };
            if begins {
                state.busy += 1;
                Some(driver)
            } else {
                state.waiting.push_back(driver);
                None
            }
        };
        self.out.insert(job.key, slot);
        driver.into_iter().for_each(begin);
        Ok(())
    }
}

/// Starts an attempt whose place is taken already.
fn begin(driver: Driver) {
    let (server, inbox, key) = (driver.server.clone(), driver.inbox.clone(), driver.key);
    if spawn(LARGE_STACK_WORDS, move || driver.run()).is_err() {
        guard(&server).busy -= 1;
        let _ = inbox.send(Input::AttemptEnded { key, end: AttemptEnd::Failed(Outcome::NotSent) });
    }
}

impl Upstream for FeatureClient {
    fn update_server(&mut self, replica: ReplicaId, address: &str, ready: bool, _now: Micros) {
        let server =
            self.servers.entry(replica).or_insert_with(|| Arc::new(Mutex::new(Server::new(self.rule))));
        let mut state = guard(server);
        let address = address.parse().ok();
        if state.address != address || !ready {
            state.idle.clear();
        }
        state.address = address;
        state.ready = ready;
        let rate = state.limiter.throughput().filter(|_| ready);
        self.bears.report(replica, rate);
        // A server that drains gets nothing that has not begun.
        let waiting = if ready { VecDeque::new() } else { std::mem::take(&mut state.waiting) };
        drop(state);
        for driver in waiting {
            let _ = self
                .inbox
                .send(Input::AttemptEnded { key: driver.key, end: AttemptEnd::Failed(Outcome::NotSent) });
        }
    }

    fn dispatch(&mut self, replica: ReplicaId, jobs: &[AttemptRequest], _now: Micros) {
        for job in jobs {
            if let Err(outcome) = self.start(replica, job) {
                let _ =
                    self.inbox.send(Input::AttemptEnded { key: job.key, end: AttemptEnd::Failed(outcome) });
            }
        }
    }

    fn cancel(&mut self, _replica: ReplicaId, key: AttemptKey, _now: Micros) {
        if let Some(slot) = self.out.remove(&key) {
            let mut state = guard(&slot);
            state.called_off = true;
            if let Some(waker) = &state.waker {
                waker.wakeup();
            }
        }
    }

    fn remove_server(&mut self, replica: ReplicaId) {
        self.servers.remove(&replica);
        self.bears.report(replica, None);
    }

    fn close_idle(&mut self, replica: ReplicaId) {
        if let Some(server) = self.servers.get(&replica) {
            guard(server).idle.clear();
        }
    }

    fn reap(&mut self, now: Micros, out: &dyn Fn(AttemptKey) -> bool) {
        for server in self.servers.values() {
            let mut state = guard(server);
            let before = state.idle.len();
            state.idle.retain(|(_, since)| now.since(*since) < self.idle_limit);
            COUNTERS.server_connections_idle_closed.add(before - state.idle.len());
            // Whoever was called off waits no more; and a server's wish to be left alone may be over.
            state.waiting.retain(|d| !guard(&d.slot).called_off);
            let next = state.next(now);
            drop(state);
            next.into_iter().for_each(begin);
        }
        self.out.retain(|key, _| out(*key));
    }
}

struct Driver {
    fetch: Fetch,
    visit: Arc<Visit>,
    address: SocketAddr,
    replica: ReplicaId,
    server: Arc<Mutex<Server>>,
    slot: Arc<Mutex<Slot>>,
    key: AttemptKey,
    tally: Arc<ClassMetrics>,
    inbox: Sender<Input>,
    clock: Clock,
    dial_timeout: Micros,
    idle_limit: Micros,
    bears: Arc<ServerCapacity>,
}

impl Driver {
    fn run(mut self) {
        let began = self.clock.now();
        let stream = self.idle_connection().or_else(|| self.dial(self.address));
        let progress = match &stream {
            Some(stream) => self.drive(stream),
            None => self.fetch.broken(),
        };
        let now = self.clock.now();
        let sound = matches!(progress, Progress::Came(_)) && self.fetch.reusable();
        let (mut how, mut wish) = (RequestOutcome::Ignored, None);
        let host = self.address.to_string();
        let end = match progress {
            // The server's name is where it is: what goes on there is asked by that.
            Progress::Came(fetched) => {
                if matches!(fetched.status, 429 | 503) {
                    how = RequestOutcome::Overloaded;
                    wish = fetched.headers.get("Retry-After").and_then(|s| s.trim().parse().ok());
                }
                let end = self.visit.judge(&host, &host, fetched);
                if let AttemptEnd::Served(value) = &end {
                    how = RequestOutcome::Success(self.visit.page(value).map_or(0, |p| p.given));
                }
                end
            }
            Progress::Broke(outcome) => {
                if guard(&self.slot).called_off && self.fetch.may_have_run() {
                    how = RequestOutcome::Cancelled;
                }
                AttemptEnd::Failed(outcome)
            }
            Progress::On => AttemptEnd::Failed(Outcome::Error),
        };
        let mut server = guard(&self.server);
        let beside = server.busy;
        server.busy -= 1;
        server.limiter.record(now, how, now.since(began), beside);
        if let Some(seconds) = wish {
            server.limiter.back_off(now, Micros::from_secs(seconds));
        }
        self.bears.report(self.replica, server.limiter.throughput().filter(|_| server.ready));
        if let Some(stream) = stream.filter(|_| sound && server.ready) {
            guard(&self.slot).waker = None;
            server.idle.push((stream, now));
        }
        let next = server.next(now);
        drop(server);
        // The core passes over the end of an attempt that it called off.
        let _ = self.inbox.send(Input::AttemptEnded { key: self.key, end });
        next.into_iter().for_each(begin);
    }

    fn dial(&self, address: SocketAddr) -> Option<TcpStream> {
        COUNTERS.dials.increment();
        let stream = TcpStream::connect_timeout(&address, self.dial_timeout.to_duration());
        if stream.is_err() {
            COUNTERS.dials_failed.increment();
        }
        stream.ok()
    }

    /// Goes on over this connection until the response is here or never will be.
    fn drive(&mut self, stream: &TcpStream) -> Progress {
        // Only speed is lost without it.
        let _ = stream.set_nodelay(true);
        guard(&self.slot).waker = Some(stream.waker());
        loop {
            match self.step(stream.inner()) {
                Progress::On => {
                    stream.wait_io();
                }
                done => return done,
            }
        }
    }

    /// An idle connection that is still open: a request on one that the server has closed would be lost.
    fn idle_connection(&self) -> Option<TcpStream> {
        let mut server = guard(&self.server);
        while let Some((stream, since)) = server.idle.pop() {
            let fresh = self.clock.now().since(since) < self.idle_limit;
            if fresh && matches!(try_read(stream.inner(), &mut [0]), IoOutcome::WouldBlock) {
                return Some(stream);
            }
        }
        None
    }

    fn step(&mut self, stream: &std::net::TcpStream) -> Progress {
        if guard(&self.slot).called_off {
            return Progress::Broke(self.called_off());
        }
        loop {
            while !self.fetch.output().is_empty() {
                // The last look before it goes out: a server that drains gets nothing new.
                if self.fetch.not_begun() && !guard(&self.server).ready {
                    return Progress::Broke(self.called_off());
                }
                match try_write(stream, self.fetch.output()) {
                    IoOutcome::Transferred(n) => {
                        if self.fetch.wrote(n) {
                            self.tally.attempts.increment();
                            let _ = self.inbox.send(Input::FullyWritten(self.key));
                        }
                    }
                    IoOutcome::WouldBlock => break,
                    IoOutcome::EndOfStream | IoOutcome::Broken => return self.fetch.broken(),
                }
            }
            match try_read(stream, self.fetch.reader.input.free_space()) {
                IoOutcome::Transferred(n) => {
                    self.fetch.reader.input.commit(n);
                    match self.fetch.advance() {
                        Progress::On => {}
                        done => return done,
                    }
                }
                IoOutcome::WouldBlock => return Progress::On,
                IoOutcome::EndOfStream => return self.fetch.ended(),
                IoOutcome::Broken => return self.fetch.broken(),
            }
        }
    }

    fn called_off(&self) -> Outcome {
        if self.fetch.may_have_run() {
            Outcome::Error
        } else {
            Outcome::NotSent
        }
    }
}
