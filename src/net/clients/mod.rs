//! Client connections: accepted, read, answered, and closed when there are too many or they stand idle.

use super::lifecycle::{Lifecycle, ShutdownEvent};
use super::{spawn, try_read, try_write, IoOutcome};
use crate::coordinator::{log_rarely, Answer, Input, Token, COUNTERS};
use crate::front::{Front, Reaction, Render};
use crate::limits::BASE_MEMORY;
use crate::proto::http::{HttpError, Server};
use crate::time::{Clock, Micros};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A request must be here whole by then, and the first one of a connection begun: the clients are owed an error or a
/// close within 3 s.
const MAX_REQUEST: Micros = Micros::from_millis(2_200);
/// An idle connection is kept so long,
const MAX_IDLE: Micros = Micros::from_secs(30);
/// or so long while more than half of the places are taken.
const MAX_IDLE_CROWDED: Micros = Micros::from_millis(2_500);
/// Whoever was heard of so lately may just be about to ask, and does not give way to others. No longer than a way: in a
/// crowd everybody behind, who may have asked long since, waits for this.
const MIN_SILENCE: Micros = Micros::from_millis(30);
/// After an error what still comes is read and dropped for so long, and so much of it: a close with unread input is a
/// reset, which can eat the error.
const MAX_LINGER: Micros = Micros::from_secs(1);
/// See [`MAX_LINGER`].
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// A connection that was accepted while the program leaves is given so long for its request: it was on its way.
const MIN_FIRST_REQUEST: Micros = Micros::from_millis(300);
/// An answer must be taken by then.
const MAX_WRITE_STALL: Micros = Micros::from_secs(15);
/// The pause when no connection can be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What client connections may take of the process, by its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections at a time.
    pub connections: usize,
    /// Of those, the ones between two queries: clients that asked once may never ask again, yet hold places that the
    /// platform grants to clients in all.
    pub idle: usize,
    /// Bytes of requests that are not answered yet.
    pub bytes: usize,
}

impl ClientLimits {
    /// The bounds under these limits of the process. The usual clients need a third of the descriptors; another third
    /// is for those that say nothing until they are shed, and the last for servers, the watch and the runtime.
    pub fn new(sockets: usize, memory: usize) -> Self {
        let sockets = sockets.saturating_sub(super::admin::reserved(sockets));
        let bytes = (memory.saturating_sub(BASE_MEMORY) / 3).max(1024 * 1024);
        ClientLimits { connections: (sockets * 2 / 3).max(1), idle: sockets / 6, bytes }
    }

    /// What is left while two processes share the limits. The idle keep theirs: they are part of the connections.
    fn halved(self) -> Self {
        let connections = (self.connections / 2).max(1);
        ClientLimits { connections, idle: self.idle.min(connections / 2), bytes: self.bytes / 2 }
    }

    /// A share of them, where so many fronts share the process.
    pub fn shared(self, fronts: usize) -> Self {
        let fronts = fronts.max(1);
        let connections = (self.connections / fronts).max(1);
        ClientLimits { connections, idle: self.idle / fronts, bytes: self.bytes / fronts }
    }
}

#[derive(Default)]
struct Connection {
    state: Mutex<ConnectionState>,
}

#[derive(Default)]
struct ConnectionState {
    server: Server,
    waker: Option<WaitIoWaker>,
    waiting: Option<(Token, Render)>,
    /// When the first byte of the present request came; `None` between requests.
    request_started_at: Option<Micros>,
    /// When something last happened.
    last_activity_at: Micros,
    /// When it was accepted.
    accepted_at: Micros,
    /// A request came whole on it.
    received_request: bool,
    /// One of them was a query, and not just answered at once.
    submitted_query: bool,
    /// Since when what comes is dropped, and how much was: its last answer is an error.
    lingering: Option<(Micros, usize)>,
    /// What it holds in memory, as last counted.
    buffered_bytes: usize,
    /// It is to end now, whatever is under way.
    abort_requested: bool,
}

impl Connection {
    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl ConnectionState {
    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    fn abort(&mut self) {
        self.abort_requested = true;
        self.wake();
    }

    /// Who gives way first when there is no room: those that were answered with an error, those that have brought no
    /// query, then those between queries; the longest in that state first.
    fn eviction_priority(&self, now: Micros) -> Option<(u8, Micros)> {
        if self.abort_requested || self.server.winding_up() || self.server.busy() {
            return None;
        }
        match self.lingering {
            Some((since, _)) => Some((0, since)),
            None if !self.submitted_query => {
                let since = if self.received_request { self.last_activity_at } else { self.accepted_at };
                (now.since(since) > MIN_SILENCE).then_some((1, since))
            }
            None => self.server.idle().then_some((2, self.last_activity_at)),
        }
    }

    /// Makes it end. A request that is here already but unread is still taken.
    fn evict(&mut self) {
        COUNTERS.evicted.add();
        if self.received_request && self.server.idle() {
            self.server.close_when_idle();
            self.wake();
        } else {
            self.abort();
        }
    }
}

/// All client connections.
pub struct ClientConnections {
    connections: Mutex<HashMap<u64, Arc<Connection>>>,
    awaiting: Mutex<HashMap<Token, Arc<Connection>>>,
    next: AtomicU64,
    bounds: ClientLimits,
    /// Kept until the process ends: what the runtime knows of a socket that another process has too must outlive its use.
    listener: Arc<CoIo<TcpListener>>,
    /// What all of them hold in memory.
    bytes: AtomicUsize,
    front: Box<dyn Front>,
    inbox: Sender<Input>,
    clock: Clock,
    lifecycle: Lifecycle,
}

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

impl ClientConnections {
    /// No connections yet, and never more than the bounds allow.
    pub fn new(
        front: Box<dyn Front>,
        listener: Arc<CoIo<TcpListener>>,
        bounds: ClientLimits,
        inbox: Sender<Input>,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(ClientConnections {
            listener,
            connections: Mutex::default(),
            awaiting: Mutex::default(),
            next: AtomicU64::new(1),
            bounds,
            bytes: AtomicUsize::new(0),
            front,
            inbox,
            clock,
            lifecycle: Lifecycle::default(),
        })
    }

    /// Open connections.
    pub fn open_connections(&self) -> usize {
        guard(&self.connections).len()
    }

    /// Those of them that bring a request, await its answer or have not taken it.
    pub fn owed_connections(&self) -> usize {
        let owed = |c: &&Arc<Connection>| {
            let state = c.lock();
            let server = &state.server;
            state.lingering.is_none() && (server.busy() || server.began() || !server.output().is_empty())
        };
        guard(&self.connections).values().filter(owed).count()
    }

    /// The phases of this front, which other threads may read.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn bounds(&self) -> ClientLimits {
        if self.lifecycle.limits_shared() {
            self.bounds.halved()
        } else {
            self.bounds
        }
    }

    /// Accepts for as long as the program listens. `beside`: another process serves at the same address, so nothing is
    /// accepted before this one knows its servers, or the other has gone.
    pub fn accept(self: &Arc<Self>, beside: impl Fn() -> bool) {
        while beside() && !self.lifecycle.endpoints_known() {
            may::coroutine::sleep(ACCEPT_RETRY_INTERVAL);
        }
        loop {
            if !self.lifecycle.service_phase().accepts_connections() {
                may::coroutine::sleep(ACCEPT_RETRY_INTERVAL);
                continue;
            }
            if self.open_connections() >= self.bounds().connections {
                if self.evict_one() {
                    // The one that gives way ends in its own coroutine.
                    may::coroutine::yield_now();
                } else {
                    // Left in the backlog: the machine has accepted it, so it must not be cut.
                    may::coroutine::sleep(ACCEPT_RETRY_INTERVAL);
                }
                continue;
            }
            match self.listener.inner().accept() {
                Ok((stream, _)) => {
                    self.adopt(stream);
                    self.evict_excess_idle();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.listener.wait_io();
                }
                Err(e) => {
                    // Most likely no descriptor is left (EMFILE): an idle connection gives way.
                    log_rarely(&COUNTERS.accept_errors, || format!("accept: {e}"));
                    self.evict_one();
                    may::coroutine::sleep(ACCEPT_RETRY_INTERVAL);
                }
            }
        }
    }

    fn adopt(self: &Arc<Self>, stream: TcpStream) {
        COUNTERS.accepted.add();
        let _ = stream.set_nodelay(true);
        let stream = match CoIo::new(stream) {
            Ok(stream) => stream,
            Err(e) => {
                return log_rarely(&COUNTERS.accept_errors, || {
                    format!("a connection cannot be waited on: {e}")
                })
            }
        };
        let conn = Arc::new(Connection::default());
        {
            let mut state = conn.lock();
            state.accepted_at = self.clock.now();
            state.last_activity_at = state.accepted_at;
            state.waker = Some(stream.waker());
            state.server.allow_body(self.front.max_body());
        }
        let number = self.next.fetch_add(1, Relaxed);
        guard(&self.connections).insert(number, conn.clone());
        let clients = self.clone();
        let started = spawn(self.front.stack_words(), move || {
            while clients.drive(&conn, &stream) {
                clients.evict_for_memory();
                stream.wait_io();
            }
            clients.release(&conn);
            let _ = stream.inner().shutdown(Shutdown::Both);
            guard(&clients.connections).remove(&number);
        });
        if let Err(e) = started {
            log_rarely(&COUNTERS.accept_errors, || format!("no coroutine for a connection: {e}"));
            guard(&self.connections).remove(&number);
        }
    }

    /// Reads, takes requests and writes. False: the connection has ended.
    fn drive(self: &Arc<Self>, conn: &Arc<Connection>, stream: &CoIo<TcpStream>) -> bool {
        let mut state = conn.lock();
        let socket = stream.inner();
        // A request that is here already when a new connection gives way is still taken: its client has no answer else.
        let mut open =
            (!state.abort_requested || !state.received_request) && self.exchange(conn, &mut state, socket);
        if open && state.abort_requested {
            open = state.server.busy();
            state.abort_requested = false;
            state.server.close_when_idle();
        }
        let bytes = if open { state.server.memory() } else { 0 };
        self.bytes.fetch_add(bytes, Relaxed);
        self.bytes.fetch_sub(std::mem::replace(&mut state.buffered_bytes, bytes), Relaxed);
        open
    }

    fn exchange(
        self: &Arc<Self>,
        conn: &Arc<Connection>,
        state: &mut ConnectionState,
        socket: &TcpStream,
    ) -> bool {
        // A client that was told to go on elsewhere, or was answered while more of its bytes were here already.
        self.handle_requests(conn, state);
        while state.lingering.is_none() && (state.server.wants_input() || state.server.overrun()) {
            match try_read(socket, state.server.input().room()) {
                IoOutcome::Transferred(n) => {
                    state.server.input().filled(n);
                    state.last_activity_at = self.clock.now();
                    state.request_started_at = state.request_started_at.or(Some(state.last_activity_at));
                    self.handle_requests(conn, state);
                }
                IoOutcome::WouldBlock => break,
                IoOutcome::EndOfStream | IoOutcome::Broken => {
                    // A client that closes its connection has gone away.
                    if state.server.busy() {
                        return false;
                    }
                    state.server.end();
                    self.handle_requests(conn, state);
                    break;
                }
            }
        }
        while !state.server.output().is_empty() {
            match try_write(socket, state.server.output()) {
                IoOutcome::Transferred(n) => {
                    state.server.wrote(n);
                    state.last_activity_at = self.clock.now();
                }
                IoOutcome::WouldBlock => break,
                IoOutcome::EndOfStream | IoOutcome::Broken => return false,
            }
        }
        if state.server.idle() {
            state.request_started_at = None;
        }
        if !state.server.finished() {
            return true;
        }
        if state.lingering.is_none() {
            if !state.server.must_linger() || socket.shutdown(Shutdown::Write).is_err() {
                return false;
            }
            state.lingering = Some((self.clock.now(), 0));
        }
        linger(state, socket)
    }

    /// Takes the requests that are here whole.
    fn handle_requests(self: &Arc<Self>, conn: &Arc<Connection>, state: &mut ConnectionState) {
        while let Some(polled) = state.server.poll() {
            let close = self.lifecycle.service_phase().closes_after_response();
            match polled {
                Err(error) => {
                    COUNTERS.bad_requests.add();
                    let response = self.front.malformed_response(error);
                    state.server.respond(response, true);
                }
                Ok(request) => {
                    state.received_request = true;
                    let token = Token(self.next.fetch_add(1, Relaxed));
                    // A request's time counts from its last byte, which came with the last read.
                    let sent = state.last_activity_at;
                    let ready = self.lifecycle.is_ready();
                    match self.front.handle(request, token, sent, ready) {
                        Reaction::Respond(response) => {
                            state.server.respond(response, close);
                            state.request_started_at = state.server.began().then_some(state.last_activity_at);
                        }
                        Reaction::Submit(request, render) => {
                            state.submitted_query = true;
                            state.waiting = Some((token, render));
                            guard(&self.awaiting).insert(token, conn.clone());
                            let _ = self.inbox.send(Input::Submit(request));
                        }
                    }
                }
            }
        }
    }

    /// The connection is over: whoever waited on it is gone.
    fn release(&self, conn: &Connection) {
        let mut state = conn.lock();
        state.waker = None;
        if let Some((token, _)) = state.waiting.take() {
            guard(&self.awaiting).remove(&token);
            let _ = self.inbox.send(Input::ClientLeft(token));
        }
    }

    /// Gives a request its answer.
    pub fn deliver(&self, token: Token, answer: Answer) {
        let Some(conn) = guard(&self.awaiting).remove(&token) else { return };
        let mut state = conn.lock();
        let Some((_, render)) = state.waiting.take_if(|w| w.0 == token) else { return };
        let response = match render(answer) {
            Reaction::Respond(response) => response,
            Reaction::Submit(request, render) => {
                state.waiting = Some((token, render));
                guard(&self.awaiting).insert(token, conn.clone());
                let _ = self.inbox.send(Input::Submit(request));
                return;
            }
        };
        let close = self.lifecycle.service_phase().closes_after_response();
        state.server.respond(response, close);
        state.last_activity_at = self.clock.now();
        // What came of a next request while this one was answered has its time from now on.
        state.request_started_at = state.server.began().then_some(state.last_activity_at);
        state.wake();
    }

    /// Makes room for another connection. False: nobody gives way.
    fn evict_one(&self) -> bool {
        let now = self.clock.now();
        let conns = guard(&self.connections);
        let first =
            conns.values().filter_map(|c| Some((c.lock().eviction_priority(now)?, c))).min_by_key(|c| c.0);
        let Some((_, conn)) = first else { return false };
        conn.lock().evict();
        true
    }

    /// Keeps those between queries within their bound: the longest idle end.
    fn evict_excess_idle(&self) {
        let now = self.clock.now();
        let conns = guard(&self.connections);
        let idle = |c: &Arc<Connection>| c.lock().eviction_priority(now).filter(|d| d.0 == 2);
        let mut idle: Vec<_> = conns.values().filter_map(|c| Some((idle(c)?.1, c))).collect();
        let most = self.bounds().idle;
        if idle.len() > most {
            idle.sort_by_key(|c| c.0);
            let over = idle.len() - most;
            idle[..over].iter().for_each(|(_, conn)| conn.lock().evict());
        }
    }

    /// Keeps what clients have sent within its bound: those that hold the most and wait for no answer give way.
    fn evict_for_memory(&self) {
        if self.bytes.load(Relaxed) <= self.bounds().bytes {
            return;
        }
        let conns = guard(&self.connections);
        let held = |c: &Arc<Connection>| {
            let state = c.lock();
            (!state.abort_requested && !state.server.busy()).then_some(state.buffered_bytes)
        };
        if let Some((_, conn)) = conns.values().filter_map(|c| Some((held(c)?, c))).max_by_key(|c| c.0) {
            COUNTERS.evicted.add();
            conn.lock().abort();
        }
    }

    /// Closes what has stood idle for long, says nothing, sends half a request, or takes no answer.
    pub fn reap(&self, now: Micros) {
        self.evict_excess_idle();
        let conns = guard(&self.connections);
        let crowded = conns.len() * 2 > self.bounds().connections;
        let most_idle = if crowded { MAX_IDLE_CROWDED } else { MAX_IDLE };
        for conn in conns.values() {
            let mut state = conn.lock();
            let quiet = now.since(state.last_activity_at);
            if state.lingering.is_some_and(|(since, _)| now.since(since) > MAX_LINGER) {
                state.abort();
            } else if !state.server.output().is_empty() {
                if quiet > MAX_WRITE_STALL {
                    COUNTERS.client_timeouts.add();
                    state.abort();
                }
            } else if !state.received_request && state.server.idle() {
                // A connection that was never used is owed nothing but its end.
                if now.since(state.accepted_at) > MAX_REQUEST {
                    COUNTERS.client_timeouts.add();
                    state.abort();
                }
            } else if state.server.idle() {
                if quiet > most_idle {
                    state.server.close_when_idle();
                    state.wake();
                }
            } else if !state.server.busy() && state.lingering.is_none() {
                // The first request has its time from the connection's begin: who sends a byte now and then gains
                // none.
                let since = if state.received_request {
                    state.request_started_at.unwrap_or(state.last_activity_at)
                } else {
                    state.accepted_at
                };
                if now.since(since) > MAX_REQUEST {
                    COUNTERS.client_timeouts.add();
                    let response = self.front.malformed_response(HttpError::TooSlow);
                    state.server.give_up(response);
                    state.wake();
                }
            }
        }
    }

    /// Drains, as the process was told to exit. Connections between requests stay open, since their clients may be about to
    /// send one. Where a successor accepts at the listening socket, nothing is accepted here any more and each response
    /// closes its connection; if the successor exits first, the backlog is this process's again.
    pub fn drain(&self, successor_accepts: bool) {
        let before = self.lifecycle.service_phase();
        let event =
            if successor_accepts { ShutdownEvent::DrainBesideSuccessor } else { ShutdownEvent::DrainAlone };
        let after = self.lifecycle.shut_down(event);
        if before.accepts_connections() && !after.accepts_connections() {
            self.listener.waker().wakeup();
        }
    }

    /// Closes connections between requests, and from now on each other one with its response. New connections are still
    /// accepted and answered: the kernel completes them in any case, and would reset them when the process exits.
    pub fn close_idle(&self, now: Micros) {
        self.lifecycle.shut_down(ShutdownEvent::Close);
        for conn in guard(&self.connections).values() {
            let mut state = conn.lock();
            if state.received_request || now.since(state.accepted_at) > MIN_FIRST_REQUEST {
                state.server.close_when_idle();
                state.wake();
            }
        }
    }

    /// Does nobody wait at the socket? Whoever does is accepted: at the program's end he would be reset.
    pub fn backlog_is_empty(self: &Arc<Self>) -> bool {
        if !self.lifecycle.service_phase().accepts_connections() {
            return true;
        }
        match self.listener.inner().accept() {
            Ok((stream, _)) => {
                self.adopt(stream);
                false
            }
            Err(_) => true,
        }
    }
}

/// Drops what still comes after the last answer. False: the client has read it, or the bound is reached.
fn linger(state: &mut ConnectionState, socket: &TcpStream) -> bool {
    let Some((since, mut bytes)) = state.lingering else { return false };
    let open = loop {
        let input = state.server.input();
        let left = input.data().len();
        input.used(left);
        match try_read(socket, input.room()) {
            IoOutcome::Transferred(n) => {
                bytes += n;
                if bytes > MAX_LINGER_BYTES {
                    break false;
                }
            }
            IoOutcome::WouldBlock => break true,
            IoOutcome::EndOfStream | IoOutcome::Broken => break false,
        }
    };
    state.lingering = Some((since, bytes));
    open
}

#[cfg(test)]
mod tests;
