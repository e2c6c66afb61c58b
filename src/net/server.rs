//! The program: one core, one front, and the coroutines that feed them.

use super::clients::Clients;
use super::config::Config;
use super::links::Links;
use super::{spawn, watch, LARGE_STACK};
use crate::core::{Command, Core, Input, COUNTERS};
use crate::front::platform::Platform;
use crate::proto::discovery::read_listing;
use crate::time::{unix_ms, Clock, Micros};
use may::net::TcpListener;
use may::sync::mpsc::{channel, Receiver};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// Descriptors kept for connections to servers, the watch, logs and the runtime.
const RESERVED: usize = 256;
/// The longest sleep of the core; what is tidied now and then is.
const MOST_SLEEP: Micros = Micros::from_millis(250);
/// Without a word from discovery, the list known at the start serves after so long.
const WAIT_FOR_LIST: Micros = Micros::from_millis(400);
/// After SIGTERM connections are accepted so long: the front still deals some out.
const STILL_ACCEPTING: Micros = Micros::from_millis(500);
/// Nothing is waited for longer than this after SIGTERM.
const LAST_EXIT: Micros = Micros::from_secs(8);

/// Runs the coordinator until it is told to end.
pub fn run(config: Config) -> Result<(), String> {
    // One core is all there is; and the worker must not choose which, since others may share it.
    may::config().set_workers(1).set_worker_pin(false);
    let clock = Clock::start();
    let listener =
        TcpListener::bind(config.listen).map_err(|e| format!("listen on {}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (inbox, arrivals) = channel();
    let front = Box::new(Platform::new(&config.deployment));
    let most = config.sockets.saturating_sub(RESERVED).max(config.sockets / 2);
    let clients = Clients::new(front, most, inbox.clone(), clock);
    let listed = Arc::new(AtomicBool::new(false));
    let set = config.deployment.module.clone();
    let core = Core::new(set, config.deployment.most_held, config.seed, clock.now());
    let links = Links::new(&config.deployment, inbox.clone(), clock);

    let mut rev = 0;
    match read_listing(&config.known, true, clock.now(), unix_ms()) {
        Ok(known) => {
            rev = known.rev;
            let _ = inbox.send(Input::Roster(known.roster));
        }
        Err(e) => eprintln!("quinceflow: the known list cannot be read: {e}"),
    }
    let start = |e: std::io::Error| format!("a coroutine: {e}");
    let (watch_inbox, watch_listed, discovery) = (inbox.clone(), listed.clone(), config.discovery);
    spawn(LARGE_STACK, move || watch::follow(discovery, rev, &watch_inbox, clock, &watch_listed))
        .map_err(start)?;
    let accepting = clients.clone();
    spawn(LARGE_STACK, move || accepting.accept(&listener)).map_err(start)?;
    let signals = Arc::new(Signals::default());
    let heard = signals.clone();
    let mut caught =
        signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(|e| e.to_string())?;
    // A thread of its own: waiting for a signal would block the worker.
    std::thread::Builder::new()
        .stack_size(64 * 1024)
        .spawn(move || {
            for signal in caught.forever() {
                match signal {
                    SIGTERM | SIGINT => heard.end.store(true, Relaxed),
                    SIGUSR1 => eprintln!("quinceflow: {COUNTERS}"),
                    _ => heard.reload.store(true, Relaxed),
                }
            }
        })
        .map_err(|e| e.to_string())?;
    eprintln!("quinceflow: {} listens on {address}", config.name);
    let turns = Turns { core, links, clients, clock, arrivals, signals, listed, started: clock.now() };
    let done = spawn(LARGE_STACK, move || turns.run()).map_err(start)?;
    done.join().map_err(|_| "the core panicked".to_owned())?;
    eprintln!("quinceflow: {COUNTERS}");
    Ok(())
}

#[derive(Default)]
struct Signals {
    end: AtomicBool,
    reload: AtomicBool,
}

struct Turns {
    core: Core,
    links: Links,
    clients: Arc<Clients>,
    clock: Clock,
    arrivals: Receiver<Input>,
    signals: Arc<Signals>,
    listed: Arc<AtomicBool>,
    started: Micros,
}

impl Turns {
    fn run(mut self) {
        let mut commands = Vec::new();
        let mut inputs = Vec::new();
        let mut tidied = self.clock.now();
        let mut leaving: Option<Micros> = None;
        loop {
            inputs.extend(self.wait());
            while let Ok(input) = self.arrivals.try_recv() {
                inputs.push(input);
            }
            let now = self.clock.now();
            self.core.turn(now, inputs.drain(..), &mut commands);
            for command in commands.drain(..) {
                self.carry_out(now, command);
            }
            if now.since(tidied) >= MOST_SLEEP {
                tidied = now;
                self.links.tidy(now, |key| self.core.is_out(key));
                self.clients.tidy(now);
            }
            if self.listed.load(Relaxed) || now.since(self.started) >= WAIT_FOR_LIST {
                self.clients.ready.store(true, Relaxed);
            }
            if leaving.is_none() && self.signals.end.load(Relaxed) {
                eprintln!("quinceflow: told to end: {} queries held", self.core.held());
                leaving = Some(now);
                self.clients.start_leaving();
            }
            if let Some(since) = leaving {
                if now.since(since) >= STILL_ACCEPTING {
                    self.clients.stop_listening();
                    let drained = self.core.held() == 0 && self.clients.open() == 0;
                    if drained || now.since(since) >= LAST_EXIT {
                        eprintln!("quinceflow: ends: {} queries held", self.core.held());
                        return;
                    }
                }
            }
        }
    }

    /// Waits for an input, the core's next due time, or the longest sleep.
    fn wait(&self) -> Option<Input> {
        let most = if self.signals.end.load(Relaxed) { Micros::from_millis(20) } else { MOST_SLEEP };
        let wait = self.core.due().map_or(most, |due| due.since(self.clock.now()).min(most));
        if wait == Micros::ZERO {
            return None;
        }
        // Whole milliseconds, rounded up: the runtime keeps a list for each length of wait that it ever saw.
        self.arrivals.recv_timeout(Duration::from_millis(wait.0.div_ceil(1_000))).ok()
    }

    fn carry_out(&mut self, now: Micros, command: Command) {
        match command {
            Command::Server(replica, address, ready) => self.links.server(replica, &address, ready),
            Command::Launch(replica, jobs) => self.links.launch(replica, &jobs, now),
            Command::CallOff(replica, key) => self.links.call_off(replica, key, now),
            Command::CloseIdle(replica) => self.links.close_idle(replica),
            Command::Probe(replica) => self.links.probe(replica, now),
            Command::Reply(token, answer) => self.clients.answer(token, answer),
        }
    }
}
