//! Client connections: accepted, read, answered, and closed when there are too many or they stand idle.

use super::{spawn, try_read, try_write, Tried, SMALL_STACK};
use crate::core::{log_rarely, Answer, Input, Token, COUNTERS};
use crate::front::{Front, Reaction, Render};
use crate::proto::http::Server;
use crate::time::{Clock, Micros};
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// A request that began must be here whole by then.
const MOST_REQUEST: Micros = Micros::from_secs(10);
/// An idle connection is kept so long.
const MOST_IDLE: Micros = Micros::from_secs(120);
/// An answer must be taken by then.
const MOST_ANSWER: Micros = Micros::from_secs(15);
/// The pause when no connection can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Conn {
    state: Mutex<ConnState>,
}

#[derive(Default)]
struct ConnState {
    server: Server,
    waker: Option<WaitIoWaker>,
    waiting: Option<(Token, Render)>,
    /// When the first byte of the present request came; `None` between requests.
    began: Option<Micros>,
    /// When something last happened.
    active: Micros,
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
}

/// All client connections.
pub struct Clients {
    conns: Mutex<HashMap<u64, Arc<Conn>>>,
    waiting: Mutex<HashMap<Token, Arc<Conn>>>,
    next: AtomicU64,
    most: usize,
    front: Box<dyn Front>,
    inbox: Sender<Input>,
    clock: Clock,
    /// The program is ready to serve.
    pub ready: AtomicBool,
    /// The program is about to end: every answer closes its connection.
    leaving: AtomicBool,
    /// The listener is to stop.
    deaf: AtomicBool,
}

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(|e| e.into_inner())
}

impl Clients {
    /// No connections yet, and at most so many.
    pub fn new(front: Box<dyn Front>, most: usize, inbox: Sender<Input>, clock: Clock) -> Arc<Self> {
        Arc::new(Clients {
            conns: Mutex::default(),
            waiting: Mutex::default(),
            next: AtomicU64::new(1),
            most,
            front,
            inbox,
            clock,
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
        })
    }

    /// Open connections.
    pub fn open(&self) -> usize {
        guard(&self.conns).len()
    }

    /// Accepts for as long as the program listens.
    pub fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.deaf.load(Relaxed) {
            if self.open() >= self.most && !self.evict() {
                // Left in the backlog: the machine has accepted it, so it must not be cut.
                may::coroutine::sleep(ACCEPT_PAUSE);
                continue;
            }
            match listener.accept() {
                Ok((stream, _)) => self.adopt(stream),
                Err(e) => {
                    // Most likely no descriptor is left (EMFILE): an idle connection gives way.
                    log_rarely(&COUNTERS.accept_errors, || format!("accept: {e}"));
                    self.evict();
                    may::coroutine::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn adopt(self: &Arc<Self>, stream: TcpStream) {
        COUNTERS.accepted.add();
        let _ = stream.set_nodelay(true);
        let conn = Arc::new(Conn::default());
        {
            let mut state = conn.lock();
            state.active = self.clock.now();
            state.waker = Some(stream.waker());
        }
        let number = self.next.fetch_add(1, Relaxed);
        guard(&self.conns).insert(number, conn.clone());
        let clients = self.clone();
        let started = spawn(SMALL_STACK, move || {
            while clients.step(&conn, &stream) {
                stream.wait_io();
            }
            clients.leave(&conn);
            let _ = stream.shutdown(Shutdown::Both);
            guard(&clients.conns).remove(&number);
        });
        if let Err(e) = started {
            log_rarely(&COUNTERS.accept_errors, || format!("no coroutine for a connection: {e}"));
            guard(&self.conns).remove(&number);
        }
    }

    /// Reads, takes requests and writes. False: the connection has ended.
    fn step(self: &Arc<Self>, conn: &Arc<Conn>, stream: &TcpStream) -> bool {
        let mut state = conn.lock();
        let sys = stream.inner();
        while state.server.wants_input() {
            match try_read(sys, state.server.input().room()) {
                Tried::Moved(n) => {
                    state.server.input().filled(n);
                    state.active = self.clock.now();
                    state.began = state.began.or(Some(state.active));
                }
                Tried::Wait => break,
                Tried::Ended => {
                    // A client that closes its connection has gone away.
                    if state.server.busy() {
                        return false;
                    }
                    state.server.end();
                    break;
                }
            }
        }
        while let Some(polled) = state.server.poll() {
            let close = self.leaving.load(Relaxed);
            let sent = state.began.unwrap_or_else(|| self.clock.now());
            match polled {
                Err(error) => {
                    COUNTERS.bad_requests.add();
                    let response = self.front.unreadable(error);
                    state.server.respond(&response, true);
                }
                Ok(request) => {
                    let token = Token(self.next.fetch_add(1, Relaxed));
                    match self.front.take(request, token, sent, self.ready.load(Relaxed) && !close) {
                        Reaction::Respond(response) => {
                            state.server.respond(&response, close);
                            state.began = None;
                        }
                        Reaction::Ask(request, render) => {
                            state.waiting = Some((token, render));
                            guard(&self.waiting).insert(token, conn.clone());
                            let _ = self.inbox.send(Input::Ask(request));
                        }
                    }
                }
            }
        }
        while !state.server.output().is_empty() {
            match try_write(sys, state.server.output()) {
                Tried::Moved(n) => {
                    state.server.wrote(n);
                    state.active = self.clock.now();
                }
                Tried::Wait => break,
                Tried::Ended => return false,
            }
        }
        if state.server.idle() {
            state.began = None;
        }
        !state.server.finished() && !state.cut
    }

    /// The connection is over: whoever waited on it is gone.
    fn leave(&self, conn: &Conn) {
        let mut state = conn.lock();
        state.waker = None;
        if let Some((token, _)) = state.waiting.take() {
            guard(&self.waiting).remove(&token);
            let _ = self.inbox.send(Input::Left(token));
        }
    }

    /// Gives a request its answer.
    pub fn answer(&self, token: Token, answer: Answer) {
        let Some(conn) = guard(&self.waiting).remove(&token) else { return };
        let mut state = conn.lock();
        let Some((_, render)) = state.waiting.take_if(|w| w.0 == token) else { return };
        let response = render(answer);
        let close = self.leaving.load(Relaxed);
        state.server.respond(&response, close);
        state.began = None;
        state.active = self.clock.now();
        state.wake();
    }

    /// Closes the connection that has been idle the longest. False: none is idle.
    fn evict(&self) -> bool {
        let conns = guard(&self.conns);
        let idle = |c: &&Arc<Conn>| c.lock().server.idle();
        let Some(conn) = conns.values().filter(idle).min_by_key(|c| c.lock().active) else { return false };
        COUNTERS.evicted.add();
        let mut state = conn.lock();
        state.server.close_when_idle();
        state.wake();
        true
    }

    /// Closes what has stood idle for long, sends half a request, or takes no answer.
    pub fn tidy(&self, now: Micros) {
        for conn in guard(&self.conns).values() {
            let mut state = conn.lock();
            let quiet = now.since(state.active);
            let slow = state.began.is_some_and(|t| now.since(t) > MOST_REQUEST) && !state.server.busy();
            let stuck = !state.server.output().is_empty() && quiet > MOST_ANSWER;
            if state.server.idle() && quiet > MOST_IDLE {
                state.server.close_when_idle();
                state.wake();
            } else if (slow && state.server.output().is_empty()) || stuck {
                COUNTERS.client_timeouts.add();
                state.cut = true;
                state.wake();
            }
        }
    }

    /// From now on every answer closes its connection.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Relaxed);
    }

    /// Stops listening and closes what is between requests.
    pub fn stop_listening(&self) {
        self.deaf.store(true, Relaxed);
        for conn in guard(&self.conns).values() {
            let mut state = conn.lock();
            state.server.close_when_idle();
            state.wake();
        }
    }
}
