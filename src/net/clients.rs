//! Client connections: accepted, read, answered, and closed when there are too many or they stand idle.

use super::{spawn, try_read, try_write, Tried};
use crate::coordinator::{log_throttled, Answer, Input, Token, COUNTERS};
use crate::front::{Front, Reaction, Render};
use crate::limits::BASE_MEMORY;
use crate::proto::http::{HttpError, ServerConnection};
use crate::time::{Clock, Micros};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
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
const NEW: Micros = Micros::from_millis(30);
/// After an error what still comes is read and dropped for so long, and so much of it: a close with unread input is a
/// reset, which can eat the error.
const MAX_LINGER: Micros = Micros::from_secs(1);
/// See [`MAX_LINGER`].
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// A connection that was accepted while the program leaves is given so long for its request: it was on its way.
const LAST_WORD: Micros = Micros::from_millis(300);
/// An answer must be taken by then.
const MAX_ANSWER: Micros = Micros::from_secs(15);
/// The pause when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What client connections may take of the process, by its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Connections at a time.
    pub connections: usize,
    /// Of those, the ones between two queries: clients that asked once may never ask again, yet hold places that the
    /// platform grants to clients in all.
    pub idle: usize,
    /// Bytes of requests that are not answered yet.
    pub bytes: usize,
}

impl Bounds {
    /// The bounds under these limits of the process. The usual clients need a third of the descriptors; another third
    /// is for those that say nothing until they are shed, and the last for servers, the watch and the runtime.
    pub fn new(sockets: usize, memory: usize) -> Self {
        let sockets = sockets.saturating_sub(super::admin::reserved(sockets));
        let bytes = (memory.saturating_sub(BASE_MEMORY) / 3).max(1024 * 1024);
        Bounds { connections: (sockets * 2 / 3).max(1), idle: sockets / 6, bytes }
    }

    /// What is left while two processes share the limits. The idle keep theirs: they are part of the connections.
    fn halved(self) -> Self {
        let connections = (self.connections / 2).max(1);
        Bounds { connections, idle: self.idle.min(connections / 2), bytes: self.bytes / 2 }
    }

    /// A share of them, where so many fronts share the process.
    pub fn shared(self, fronts: usize) -> Self {
        let fronts = fronts.max(1);
        let connections = (self.connections / fronts).max(1);
        Bounds { connections, idle: self.idle / fronts, bytes: self.bytes / fronts }
    }
}

#[derive(Default)]
struct Conn {
    state: Mutex<ConnState>,
}

#[derive(Default)]
struct ConnState {
    server: ServerConnection,
    waker: Option<WaitIoWaker>,
    waiting: Option<(Token, Render)>,
    /// When the first byte of the present request came; `None` between requests.
    began: Option<Micros>,
    /// When something last happened.
    active: Micros,
    /// When it was accepted.
    accepted: Micros,
    /// A request came whole on it.
    asked: bool,
    /// One of them was a query, and not just answered at once.
    queried: bool,
    /// Since when what comes is dropped, and how much was: its last answer is an error.
    lingering: Option<(Micros, usize)>,
    /// What it holds in memory, as last counted.
    bytes: usize,
    /// It is to end now, whatever is under way.
    cut: bool,
}

impl Conn {
    fn lock(&self) -> MutexGuard<'_, ConnState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl ConnState {
    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }

    fn cut(&mut self) {
        self.cut = true;
        self.wake();
    }

    /// Who gives way first when there is no room: those that were answered with an error, those that have brought no
    /// query, then those between queries; the longest in that state first.
    fn dispensable(&self, now: Micros) -> Option<(u8, Micros)> {
        if self.cut || self.server.is_draining() || self.server.awaits_response() {
            return None;
        }
        match self.lingering {
            Some((since, _)) => Some((0, since)),
            None if !self.queried => {
                let since = if self.asked { self.active } else { self.accepted };
                (now.since(since) > NEW).then_some((1, since))
            }
            None => self.server.is_idle().then_some((2, self.active)),
        }
    }

    /// Makes it end. A request that is here already but unread is still taken.
    fn give_way(&mut self) {
        COUNTERS.connections_evicted.increment();
        if self.asked && self.server.is_idle() {
            self.server.close_when_idle();
            self.wake();
        } else {
            self.cut();
        }
    }
}

/// All client connections.
pub struct Clients {
    conns: Mutex<HashMap<u64, Arc<Conn>>>,
    waiting: Mutex<HashMap<Token, Arc<Conn>>>,
    next: AtomicU64,
    bounds: Bounds,
    /// Another process has half of that.
    halved: AtomicBool,
    /// Kept until the process ends: what the runtime knows of a socket that another process has too must outlive its use.
    listener: Arc<CoIo<TcpListener>>,
    /// What all of them hold in memory.
    bytes: AtomicUsize,
    front: Box<dyn Front>,
    inbox: Sender<Input>,
    clock: Clock,
    /// The program is ready to serve.
    pub ready: AtomicBool,
    /// It listens, and the servers' list is news and not an old one.
    pub informed: AtomicBool,
    /// The program is told to end.
    ending: AtomicBool,
    /// It is about to: every answer closes its connection.
    leaving: AtomicBool,
    /// Another process accepts at the same socket, and this one does not.
    deaf: AtomicBool,
    /// What is between requests is closed: there is no way back.
    last: AtomicBool,
}

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

impl Clients {
    /// No connections yet, and never more than the bounds allow.
    pub fn new(
        front: Box<dyn Front>,
        listener: Arc<CoIo<TcpListener>>,
        bounds: Bounds,
        inbox: Sender<Input>,
        clock: Clock,
    ) -> Arc<Self> {
        Arc::new(Clients {
            halved: AtomicBool::new(false),
            listener,
            conns: Mutex::default(),
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
            bounds,
            bytes: AtomicUsize::new(0),
            front,
            inbox,
            clock,
            ready: AtomicBool::new(false),
            informed: AtomicBool::new(false),
            ending: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
            last: AtomicBool::new(false),
        })
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        guard(&self.conns).len()
    }

    /// Those of them that bring a request, await its answer or have not taken it.
    pub fn owed(&self) -> usize {
        let owed = |c: &&Arc<Conn>| {
            let state = c.lock();
            let server = &state.server;
            state.lingering.is_none()
                && (server.awaits_response() || server.has_partial_request() || !server.output().is_empty())
        };
        guard(&self.conns).values().filter(owed).count()
    }

    /// Would a request of a client be served? If not, why.
    pub fn health(&self) -> Result<(), &'static str> {
        match () {
            () if self.ending.load(Relaxed) => Err("it is told to end"),
            () if !self.informed.load(Relaxed) => Err("the servers are not known yet"),
            () => Ok(()),
        }
    }

    fn bounds(&self) -> Bounds {
        if self.halved.load(Relaxed) {
            self.bounds.halved()
        } else {
            self.bounds
        }
    }

    /// Another process shares the limits, or does no more.
    pub fn share(&self, shared: bool) {
        self.halved.store(shared, Relaxed);
    }

    /// Accepts for as long as the program listens. `beside`: another process serves at the same address, so nothing is
    /// accepted before this one knows its servers, or the other has gone.
    pub fn accept(self: &Arc<Self>, beside: impl Fn() -> bool) {
        while beside() && !self.informed.load(Relaxed) {
            may::coroutine::sleep(ACCEPT_PAUSE);
        }
        loop {
            if self.deaf.load(Relaxed) {
                may::coroutine::sleep(ACCEPT_PAUSE);
                continue;
            }
            if self.open() >= self.bounds().connections {
                if self.evict() {
                    // The one that gives way ends in its own coroutine.
                    may::coroutine::yield_now();
                } else {
                    // Left in the backlog: the machine has accepted it, so it must not be cut.
                    may::coroutine::sleep(ACCEPT_PAUSE);
                }
                continue;
            }
            match self.listener.inner().accept() {
                Ok((stream, _)) => {
                    self.adopt(stream);
                    self.trim();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.listener.wait_io();
                }
                Err(e) => {
                    // Most likely no descriptor is left (EMFILE): an idle connection gives way.
                    log_throttled(&COUNTERS.accept_errors, || format!("accept: {e}"));
                    self.evict();
                    may::coroutine::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn adopt(self: &Arc<Self>, stream: TcpStream) {
        COUNTERS.connections_accepted.increment();
        let _ = stream.set_nodelay(true);
        let stream = match CoIo::new(stream) {
            Ok(stream) => stream,
            Err(e) => {
                return log_throttled(&COUNTERS.accept_errors, || {
                    format!("a connection cannot be waited on: {e}")
                })
            }
        };
        let conn = Arc::new(Conn::default());
        {
            let mut state = conn.lock();
            state.accepted = self.clock.now();
            state.active = state.accepted;
            state.waker = Some(stream.waker());
            state.server.set_max_body(self.front.max_body());
        }
        let number = self.next.fetch_add(1, Relaxed);
        guard(&self.conns).insert(number, conn.clone());
        let clients = self.clone();
        let started = spawn(self.front.stack_words(), move || {
            while clients.step(&conn, &stream) {
                clients.shed_bytes();
                stream.wait_io();
            }
            clients.leave(&conn);
            let _ = stream.inner().shutdown(Shutdown::Both);
            guard(&clients.conns).remove(&number);
        });
        if let Err(e) = started {
            log_throttled(&COUNTERS.accept_errors, || format!("no coroutine for a connection: {e}"));
            guard(&self.conns).remove(&number);
        }
    }

    /// Reads, takes requests and writes. False: the connection has ended.
    fn step(self: &Arc<Self>, conn: &Arc<Conn>, stream: &CoIo<TcpStream>) -> bool {
        let mut state = conn.lock();
        let sys = stream.inner();
        // A request that is here already when a new connection gives way is still taken: its client has no answer else.
        let mut open = (!state.cut || !state.asked) && self.exchange(conn, &mut state, sys);
        if open && state.cut {
            open = state.server.awaits_response();
            state.cut = false;
            state.server.close_when_idle();
        }
        let bytes = if open { state.server.memory() } else { 0 };
        self.bytes.fetch_add(bytes, Relaxed);
        self.bytes.fetch_sub(std::mem::replace(&mut state.bytes, bytes), Relaxed);
        open
    }

    fn exchange(self: &Arc<Self>, conn: &Arc<Conn>, state: &mut ConnState, sys: &TcpStream) -> bool {
        // A client that was told to go on elsewhere, or was answered while more of its bytes were here already.
        self.take(conn, state);
        while state.lingering.is_none() && (state.server.wants_input() || state.server.discard_excess()) {
            match try_read(sys, state.server.input().free_space()) {
                Tried::Moved(n) => {
                    state.server.input().commit(n);
                    state.active = self.clock.now();
                    state.began = state.began.or(Some(state.active));
                    self.take(conn, state);
                }
                Tried::Wait => break,
                Tried::Ended | Tried::Broke => {
                    // A client that closes its connection has gone away.
                    if state.server.awaits_response() {
                        return false;
                    }
                    state.server.end_of_input();
                    self.take(conn, state);
                    break;
                }
            }
        }
        while !state.server.output().is_empty() {
            match try_write(sys, state.server.output()) {
                Tried::Moved(n) => {
                    state.server.advance_output(n);
                    state.active = self.clock.now();
                }
                Tried::Wait => break,
                Tried::Ended | Tried::Broke => return false,
            }
        }
        if state.server.is_idle() {
            state.began = None;
        }
        if !state.server.is_finished() {
            return true;
        }
        if state.lingering.is_none() {
            if !state.server.must_linger() || sys.shutdown(Shutdown::Write).is_err() {
                return false;
            }
            state.lingering = Some((self.clock.now(), 0));
        }
        linger(state, sys)
    }

    /// Takes the requests that are here whole.
    fn take(self: &Arc<Self>, conn: &Arc<Conn>, state: &mut ConnState) {
        while let Some(polled) = state.server.next_request() {
            let close = self.leaving.load(Relaxed);
            match polled {
                Err(error) => {
                    COUNTERS.bad_requests.increment();
                    let response = self.front.malformed_response(error);
                    state.server.respond(response, true);
                }
                Ok(request) => {
                    state.asked = true;
                    let token = Token(self.next.fetch_add(1, Relaxed));
                    // A request's time counts from its last byte, which came with the last read.
                    let sent = state.active;
                    let ready = self.ready.load(Relaxed) && !self.ending.load(Relaxed);
                    match self.front.handle(request, token, sent, ready) {
                        Reaction::Respond(response) => {
                            state.server.respond(response, close);
                            state.began = state.server.has_partial_request().then_some(state.active);
                        }
                        Reaction::Submit(request, render) => {
                            state.queried = true;
                            state.waiting = Some((token, render));
                            guard(&self.waiting).insert(token, conn.clone());
                            let _ = self.inbox.send(Input::Submit(request));
                        }
                    }
                }
            }
        }
    }

    /// The connection is over: whoever waited on it is gone.
    fn leave(&self, conn: &Conn) {
        let mut state = conn.lock();
        state.waker = None;
        if let Some((token, _)) = state.waiting.take() {
            guard(&self.waiting).remove(&token);
            let _ = self.inbox.send(Input::ClientLeft(token));
        }
    }

    /// Gives a request its answer.
    pub fn answer(&self, token: Token, answer: Answer) {
        let Some(conn) = guard(&self.waiting).remove(&token) else { return };
        let mut state = conn.lock();
        let Some((_, render)) = state.waiting.take_if(|w| w.0 == token) else { return };
        let response = match render(answer) {
            Reaction::Respond(response) => response,
            Reaction::Submit(request, render) => {
                state.waiting = Some((token, render));
                guard(&self.waiting).insert(token, conn.clone());
                let _ = self.inbox.send(Input::Submit(request));
                return;
            }
        };
        let close = self.leaving.load(Relaxed);
        state.server.respond(response, close);
        state.active = self.clock.now();
        // What came of a next request while this one was answered has its time from now on.
        state.began = state.server.has_partial_request().then_some(state.active);
        state.wake();
    }

    /// Makes room for another connection. False: nobody gives way.
    fn evict(&self) -> bool {
        let now = self.clock.now();
        let conns = guard(&self.conns);
        let first = conns.values().filter_map(|c| Some((c.lock().dispensable(now)?, c))).min_by_key(|c| c.0);
        let Some((_, conn)) = first else { return false };
        conn.lock().give_way();
        true
    }

    /// Keeps those between queries within their bound: the longest idle end.
    fn trim(&self) {
        let now = self.clock.now();
        let conns = guard(&self.conns);
        let idle = |c: &Arc<Conn>| c.lock().dispensable(now).filter(|d| d.0 == 2);
        let mut idle: Vec<_> = conns.values().filter_map(|c| Some((idle(c)?.1, c))).collect();
        let most = self.bounds().idle;
        if idle.len() > most {
            idle.sort_by_key(|c| c.0);
            let over = idle.len() - most;
            idle[..over].iter().for_each(|(_, conn)| conn.lock().give_way());
        }
    }

    /// Keeps what clients have sent within its bound: those that hold the most and wait for no answer give way.
    fn shed_bytes(&self) {
        if self.bytes.load(Relaxed) <= self.bounds().bytes {
            return;
        }
        let conns = guard(&self.conns);
        let held = |c: &Arc<Conn>| {
            let state = c.lock();
            (!state.cut && !state.server.awaits_response()).then_some(state.bytes)
        };
        if let Some((_, conn)) = conns.values().filter_map(|c| Some((held(c)?, c))).max_by_key(|c| c.0) {
            COUNTERS.connections_evicted.increment();
            conn.lock().cut();
        }
    }

    /// Closes what has stood idle for long, says nothing, sends half a request, or takes no answer.
    pub fn tidy(&self, now: Micros) {
        self.trim();
        let conns = guard(&self.conns);
        let crowded = conns.len() * 2 > self.bounds().connections;
        let most_idle = if crowded { MAX_IDLE_CROWDED } else { MAX_IDLE };
        for conn in conns.values() {
            let mut state = conn.lock();
            let quiet = now.since(state.active);
            if state.lingering.is_some_and(|(since, _)| now.since(since) > MAX_LINGER) {
                state.cut();
            } else if !state.server.output().is_empty() {
                if quiet > MAX_ANSWER {
                    COUNTERS.client_timeouts.increment();
                    state.cut();
                }
            } else if !state.asked && state.server.is_idle() {
                // A connection that was never used is owed nothing but its end.
                if now.since(state.accepted) > MAX_REQUEST {
                    COUNTERS.client_timeouts.increment();
                    state.cut();
                }
            } else if state.server.is_idle() {
                if quiet > most_idle {
                    state.server.close_when_idle();
                    state.wake();
                }
            } else if !state.server.awaits_response() && state.lingering.is_none() {
                // The first request has its time from the connection's begin: who sends a byte now and then gains
                // none.
                let since = if state.asked { state.began.unwrap_or(state.active) } else { state.accepted };
                if now.since(since) > MAX_REQUEST {
                    COUNTERS.client_timeouts.increment();
                    let response = self.front.malformed_response(HttpError::TooSlow);
                    state.server.respond_and_close(response);
                    state.wake();
                }
            }
        }
    }

    /// The program is told to end: nobody new is to be sent here.
    pub fn not_ready(&self) {
        self.ending.store(true, Relaxed);
    }

    /// Another process has the listening socket and this one is told to end: nobody new comes here, and whoever is here
    /// goes there with the next answer. Those between requests may be about to ask, so they are left open.
    pub fn hand_over(&self) {
        if !self.deaf.swap(true, Relaxed) {
            self.leaving.store(true, Relaxed);
            self.listener.waker().wakeup();
        }
    }

    /// The other process has gone before this one: whoever stands in the queue of the socket is this one's again.
    pub fn take_back(&self) {
        if self.deaf.swap(false, Relaxed) {
            self.leaving.store(self.last.load(Relaxed), Relaxed);
        }
    }

    /// Closes what is between requests, and from now on every other with its answer. Who comes now is still accepted, and
    /// answered: the machine accepts him anyway, and what it accepted would be reset at the end.
    pub fn leave_all(&self, now: Micros) {
        self.last.store(true, Relaxed);
        self.leaving.store(true, Relaxed);
        for conn in guard(&self.conns).values() {
            let mut state = conn.lock();
            if state.asked || now.since(state.accepted) > LAST_WORD {
                state.server.close_when_idle();
                state.wake();
            }
        }
    }

    /// Does nobody wait at the socket? Whoever does is accepted: at the program's end he would be reset.
    pub fn queue_is_empty(self: &Arc<Self>) -> bool {
        if self.deaf.load(Relaxed) {
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
fn linger(state: &mut ConnState, sys: &TcpStream) -> bool {
    let Some((since, mut bytes)) = state.lingering else { return false };
    let open = loop {
        let input = state.server.input();
        let left = input.data().len();
        input.consume(left);
        match try_read(sys, input.free_space()) {
            Tried::Moved(n) => {
                bytes += n;
                if bytes > MAX_LINGER_BYTES {
                    break false;
                }
            }
            Tried::Wait => break true,
            Tried::Ended | Tried::Broke => break false,
        }
    };
    state.lingering = Some((since, bytes));
    open
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::proto::http::{HttpRequest, Response};
    use may::sync::mpsc::channel;

    struct Nothing;

    impl Front for Nothing {
        fn handle(&self, _: HttpRequest, _: Token, _: Micros, _: bool) -> Reaction {
            Reaction::Respond(Response::new(404, "", ""))
        }
        fn malformed_response(&self, error: HttpError) -> Response {
            Response::new(error.status(), "", "")
        }
    }

    /// Connections without sockets, each as old as it says.
    fn clients(bounds: Bounds, conns: Vec<ConnState>) -> (Arc<Clients>, Vec<Arc<Conn>>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let listener = Arc::new(CoIo::new(listener).expect("waited on"));
        let clients = Clients::new(Box::new(Nothing), listener, bounds, channel().0, Clock::start());
        let conns: Vec<_> = conns.into_iter().map(|c| Arc::new(Conn { state: Mutex::new(c) })).collect();
        guard(&clients.conns).extend((0..).zip(conns.iter().cloned()));
        (clients, conns)
    }

    fn conn(age_s: u64, asked: bool, queried: bool) -> ConnState {
        let accepted = Clock::start().now() - Micros::from_secs(age_s);
        ConnState { accepted, active: accepted, asked, queried, ..ConnState::default() }
    }

    fn ending(conns: &[Arc<Conn>]) -> Vec<bool> {
        conns.iter().map(|c| c.lock().cut || c.lock().server.is_draining()).collect()
    }

    #[test]
    fn the_longest_idle_end_so_that_new_clients_find_a_place() {
        // Clients that asked once kept all the places that the platform grants to clients, for two minutes.
        let bounds = Bounds { connections: 100, idle: 2, bytes: 1 };
        let mut busy = conn(50, true, true);
        busy.server.input().extend(b"GET / HTTP/1.1\r\n\r\n");
        assert!(matches!(busy.server.next_request(), Some(Ok(_))));
        let states =
            vec![conn(9, true, true), busy, conn(3, true, true), conn(7, true, true), conn(99, true, false)];
        let (clients, conns) = clients(bounds, states);
        clients.trim();
        assert_eq!(ending(&conns), [true, false, false, false, false]);
    }

    #[test]
    fn who_brought_no_query_gives_way_before_who_did() {
        // A crowd that asked for /up and stayed had the usual clients' connections closed, which were idle for longer.
        let bounds = Bounds { connections: 3, idle: 3, bytes: 1 };
        let states =
            vec![conn(50, true, true), conn(5, true, false), conn(4, false, false), conn(0, false, false)];
        let (clients, conns) = clients(bounds, states);
        for expected in [[false, true, false, false], [false, true, true, false], [true, true, true, false]] {
            assert!(clients.evict());
            assert_eq!(ending(&conns), expected);
        }
        assert!(!clients.evict(), "the last one has only just come");
    }

    #[test]
    fn a_new_connection_that_gives_way_is_answered_if_its_request_is_here() {
        // It was closed unread, so the client had a reset for an answer.
        let (clients, conns) =
            clients(Bounds { connections: 1, idle: 1, bytes: 1 }, vec![conn(1, false, false)]);
        let mut client =
            TcpStream::connect(clients.listener.inner().local_addr().expect("bound")).expect("it listens");
        std::io::Write::write_all(&mut client, b"GET /up HTTP/1.1\r\n\r\n").expect("sent");
        let stream = loop {
            match clients.listener.inner().accept() {
                Ok((stream, _)) => break stream,
                Err(_) => std::thread::yield_now(),
            }
        };
        stream.peek(&mut [0]).expect("it is here");
        let stream = CoIo::new(stream).expect("waited on");
        assert!(clients.evict());
        assert!(!clients.step(&conns[0], &stream), "it gives way");
        drop(stream);
        let mut head = [0; 12];
        std::io::Read::read_exact(&mut client, &mut head).expect("an answer");
        assert_eq!(&head, b"HTTP/1.1 404");
    }

    #[test]
    fn bounds_follow_the_limits_however_small() {
        // Half of the descriptors or more went to clients, but with 256 nothing was left for a crowd beside the usual.
        let of = |sockets, mb: usize| Bounds::new(sockets, mb * 1024 * 1024);
        for (sockets, mb) in [(256, 32), (384, 48), (1024, 192)] {
            let bounds = of(sockets, mb);
            assert!(bounds.connections > sockets / 2 && bounds.connections + sockets / 4 < sockets);
            // The usual clients may hold a third of the descriptors: there is always room for new ones among them.
            assert!(bounds.idle > 0 && bounds.idle < sockets / 3 - sockets / 8);
            assert!(bounds.bytes >= 5 * 1024 * 1024 && bounds.bytes < mb * 1024 * 1024 / 2);
        }
        assert_eq!(of(40, 0), Bounds { connections: 24, idle: 6, bytes: 1024 * 1024 });
        assert_eq!(of(1, 32).shared(2).connections, 1);
        // Two processes of an upgrade keep the limits of one, and the old one's idle clients are not cut for it.
        let (whole, half) = (of(384, 48), of(384, 48).halved());
        assert!(half.connections * 2 <= whole.connections && half.bytes * 2 <= whole.bytes);
        assert_eq!(half.idle, whole.idle);
    }
}
